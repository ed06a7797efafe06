package once

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc/pool"

	"github.com/umberhill/umberhill/internal/bench"
	"github.com/umberhill/umberhill/internal/outcome"
	"github.com/umberhill/umberhill/internal/standin/service"
)

// naiveRouter is a router without once-only guarantees: it keeps the
// idempotency keys that it has seen in its own memory, sends with the default
// HTTP transport, tries the next target after a failure, and answers "not run"
// after all targets have failed.
type naiveRouter struct {
	targets []string
	client  http.Client

	mu   sync.Mutex
	seen map[string]bool
}

func (n *naiveRouter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	key := r.Header.Get("Idempotency-Key")
	n.mu.Lock()
	isRepeat := n.seen[key]
	n.seen[key] = true
	n.mu.Unlock()
	if isRepeat {
		w.Header().Set(outcome.Header, string(outcome.Unknown))
		w.WriteHeader(http.StatusConflict)
		return
	}
	body, _ := io.ReadAll(r.Body)
	path := strings.TrimPrefix(r.URL.RequestURI(), "/services/"+bench.OrdersService)
	for _, target := range n.targets {
		req, _ := http.NewRequest(r.Method, "http://"+target+path, bytes.NewReader(body))
		req.Header.Set("Idempotency-Key", key)
		resp, err := n.client.Do(req)
		if err != nil {
			continue
		}
		defer resp.Body.Close()
		w.WriteHeader(resp.StatusCode)
		_, _ = io.Copy(w, resp.Body)
		return
	}
	w.Header().Set(outcome.Header, string(outcome.NotRun))
	w.WriteHeader(http.StatusBadGateway)
}

// naiveRouters starts n naive routers for targets and returns their addresses.
func naiveRouters(n int, targets ...string) []string {
	var addresses []string
	for range n {
		server := httptest.NewServer(&naiveRouter{targets: targets, seen: map[string]bool{}})
		DeferCleanup(server.Close)
		addresses = append(addresses, server.Listener.Addr().String())
	}
	return addresses
}

// connDropper is a target that runs the first two calls on each connection. It
// answers the first one and closes the connection instead of answering the second.
type connDropper struct {
	listener net.Listener
	ran      sync.Map // idempotency key -> *atomic.Int64
}

func newConnDropper() *connDropper {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	d := &connDropper{listener: listener}
	go d.accept()
	DeferCleanup(listener.Close)
	return d
}

func (d *connDropper) address() string { return d.listener.Addr().String() }

func (d *connDropper) accept() {
	for {
		conn, err := d.listener.Accept()
		if err != nil {
			return
		}
		go d.serve(conn)
	}
}

func (d *connDropper) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for call := 1; ; call++ {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		n, _ := d.ran.LoadOrStore(req.Header.Get("Idempotency-Key"), &atomic.Int64{})
		n.(*atomic.Int64).Add(1)
		if call > 1 {
			return
		}
		response := "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Request-Id: " + req.Header.Get("X-Request-Id") + "\r\n\r\nok"
		if _, err := io.WriteString(conn, response); err != nil {
			return
		}
	}
}

// runsOf returns how many times the calls with an idempotency key ran.
func (d *connDropper) runsOf(key string) int64 {
	n, ok := d.ran.Load(key)
	if !ok {
		return 0
	}
	return n.(*atomic.Int64).Load()
}

// These specs run the orders against routers that break the guarantees, and
// check that bench.CheckOrders reports each violation.
var _ = Describe("Naive routers", func() {
	start := func(name string, opts service.Options) *httptest.Server {
		opts.Name = name
		// A service process that exits drops all its connections. In-process, only
		// the connection of the current request is dropped.
		opts.Exit = func(int) { panic(http.ErrAbortHandler) }
		s, err := service.New(opts)
		Expect(err).NotTo(HaveOccurred())
		server := httptest.NewServer(s)
		DeferCleanup(server.Close)
		inProcessServices = append(inProcessServices, s)
		return server
	}
	var first, second string
	BeforeEach(func() {
		inProcessServices = nil
		first = start("first", service.Options{}).Listener.Addr().String()
		second = start("second", service.Options{}).Listener.Addr().String()
	})

	It("run an order twice that several routers receive at the same time", func(ctx context.Context) {
		order := newOrder()
		p := pool.New()
		for _, address := range naiveRouters(8, first, second) {
			p.Go(func() { repeatOf(order).Send(ctx, directCaller(address)) })
		}
		p.Wait()
		Expect(checkInProcess(order).RanMoreThanOnce).To(Equal(1))
	})

	It("run an order again after its response was lost", func(ctx context.Context) {
		order := newOrder()
		order.Body = append(order.Body, service.CrashMarker(service.CrashAfterRun)...)
		order.Send(ctx, directCaller(naiveRouters(1, first, second)[0]))
		result := checkInProcess(order)
		Expect(result.RanMoreThanOnce).To(Equal(1))
		Expect(result.FalseNotRun).To(Equal(1))
	})

	It("let the transport retry an order without a body after the connection was closed", func(ctx context.Context) {
		target := newConnDropper()
		caller := directCaller(naiveRouters(1, target.address())[0])
		for _, key := range []string{"warm", "again"} {
			o := &bench.Order{Key: key}
			o.Send(ctx, caller)
		}
		Expect(target.runsOf("again")).To(BeEquivalentTo(2))
	})
})

// inProcessServices are the services of a spec that runs without processes.
var inProcessServices []*service.Service

// checkInProcess compares orders with the runs recorded by inProcessServices.
func checkInProcess(orders ...*bench.Order) bench.OrdersResult {
	var all []service.Run
	for _, s := range inProcessServices {
		all = append(all, s.Runs()...)
	}
	return bench.CheckOrders(orders, all)
}
