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

// naiveRouter does what a simple router would: it keeps the keys that it has
// seen in its own memory, sends with an ordinary transport, tries the next
// target where one fails, and says "not run" where all have failed.
type naiveRouter struct {
	targets []string
	client  http.Client

	mu   sync.Mutex
	seen map[string]bool
}

func (n *naiveRouter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	key := r.Header.Get("Idempotency-Key")
	n.mu.Lock()
	known := n.seen[key]
	n.seen[key] = true
	n.mu.Unlock()
	if known {
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

// naiveRouters starts n of them and returns their addresses.
func naiveRouters(n int, targets ...string) []string {
	var addresses []string
	for range n {
		server := httptest.NewServer(&naiveRouter{targets: targets, seen: map[string]bool{}})
		DeferCleanup(server.Close)
		addresses = append(addresses, server.Listener.Addr().String())
	}
	return addresses
}

// forgetful is a target that answers the first call of a connection and closes
// it at the second one without an answer, after running it.
type forgetful struct {
	listener net.Listener
	ran      sync.Map // idempotency key -> *atomic.Int64
}

func newForgetful() *forgetful {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	f := &forgetful{listener: listener}
	go f.accept()
	DeferCleanup(listener.Close)
	return f
}

func (f *forgetful) address() string { return f.listener.Addr().String() }

func (f *forgetful) accept() {
	for {
		conn, err := f.listener.Accept()
		if err != nil {
			return
		}
		go f.serve(conn)
	}
}

func (f *forgetful) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for call := 1; ; call++ {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		n, _ := f.ran.LoadOrStore(req.Header.Get("Idempotency-Key"), &atomic.Int64{})
		n.(*atomic.Int64).Add(1)
		if call > 1 {
			return
		}
		answer := "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Request-Id: " + req.Header.Get("X-Request-Id") + "\r\n\r\nok"
		if _, err := io.WriteString(conn, answer); err != nil {
			return
		}
	}
}

// runsOf returns how often a key ran.
func (f *forgetful) runsOf(key string) int64 {
	n, ok := f.ran.Load(key)
	if !ok {
		return 0
	}
	return n.(*atomic.Int64).Load()
}

// The naive way fails, and the oracle sees it.
var _ = Describe("Naive routers", func() {
	start := func(name string, opts service.Options) *httptest.Server {
		opts.Name = name
		// A service that dies drops its connections; here it only drops this one.
		opts.Exit = func(int) { panic(http.ErrAbortHandler) }
		s, err := service.New(opts)
		Expect(err).NotTo(HaveOccurred())
		server := httptest.NewServer(s)
		DeferCleanup(server.Close)
		recorded = append(recorded, s)
		return server
	}
	var first, second string
	BeforeEach(func() {
		recorded = nil
		first = start("first", service.Options{}).Listener.Addr().String()
		second = start("second", service.Options{}).Listener.Addr().String()
	})

	It("run a key twice that several of them get at once", func(ctx context.Context) {
		order := newOrder()
		p := pool.New()
		for _, address := range naiveRouters(8, first, second) {
			p.Go(func() { again(order).Send(ctx, direct(address)) })
		}
		p.Wait()
		Expect(judgeRecorded(order).RanMoreThanOnce).To(Equal(1))
	})

	It("run an order again whose answer was lost", func(ctx context.Context) {
		order := newOrder()
		order.Body = append(order.Body, service.Marker(service.After)...)
		order.Send(ctx, direct(naiveRouters(1, first, second)[0]))
		result := judgeRecorded(order)
		Expect(result.RanMoreThanOnce).To(Equal(1))
		Expect(result.FalseNotRun).To(Equal(1))
	})

	It("let the transport run an empty order again on a dead connection", func(ctx context.Context) {
		target := newForgetful()
		caller := direct(naiveRouters(1, target.address())[0])
		for _, key := range []string{"warm", "again"} {
			o := &bench.Order{Key: key}
			o.Send(ctx, caller)
		}
		Expect(target.runsOf("again")).To(BeEquivalentTo(2))
	})
})

// recorded are the services of a spec without processes.
var recorded []*service.Service

func judgeRecorded(orders ...*bench.Order) bench.OrdersResult {
	var all []service.Run
	for _, s := range recorded {
		all = append(all, s.Runs()...)
	}
	return bench.CheckOrders(orders, all)
}
