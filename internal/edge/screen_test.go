package edge

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/umberhill/umberhill/internal/connlimit"
	"github.com/umberhill/umberhill/internal/core/admit"
	"github.com/umberhill/umberhill/internal/ids"
	"github.com/umberhill/umberhill/internal/routing"
)

// keyCodec is a HeaderCodec that knows the caller's key only.
type keyCodec struct{}

func (keyCodec) DecodeRequest(h http.Header) RequestMeta                    { return RequestMeta{Key: h.Get("X-Key")} }
func (keyCodec) EncodeRequest(h http.Header, _ OutgoingRequest) http.Header { return h }
func (keyCodec) DecodeResponse(*http.Response) ResponseMeta                 { return ResponseMeta{} }
func (keyCodec) CopyResponse(_, _ http.Header)                              {}
func (keyCodec) DecodeField(name, value []byte, m *EarlyMeta) {
	if bytes.EqualFold(name, []byte("X-Key")) {
		m.Key = value
	}
}

type discardLog struct{}

func (discardLog) Decision(Decision)         {}
func (discardLog) Request(RequestRecord)     {}
func (discardLog) Statement(StatementRecord) {}

// startOverloadedServer starts a server that refuses all requests for engines for its own
// load, and returns its metrics and its address.
func startOverloadedServer(t *testing.T) (tally.TestScope, string) {
	t.Helper()
	l := listenLocal(t)
	return serveOverloaded(t, l), l.Addr().String()
}

func listenLocal(t *testing.T) *net.TCPListener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l.(*net.TCPListener) //nolint:forcetypeassert // it listens on TCP
}

// serveOverloaded serves like startOverloadedServer on a listener.
func serveOverloaded(t *testing.T, l *net.TCPListener) tally.TestScope {
	t.Helper()
	shedder := &LoadShedder{draw: func() float64 { return 0 }}
	for range 100 {
		shedder.Observe(time.Unix(1000, 0), time.Second)
	}
	scope := tally.NewTestScope("", nil)
	s := New(Options{
		Headers: keyCodec{}, LoadShedder: shedder, Log: discardLog{}, Scope: scope,
		Scheduler: NewScheduler(admit.Options{ShareWindow: time.Second}, func(admit.HealthChange) {}),
	})
	s.SetConfig(&routing.Config{
		Version: 1, KeysRequired: true, Keys: map[string]ids.Workspace{"k": "flood"},
		Services: map[string]*routing.Service{"llm": {Name: "llm", Engine: &routing.Engine{}}, "app": {Name: "app"}},
		Routes: []routing.Route{
			{Name: "chat", Host: "h", Prefix: "/chat/", Split: []routing.WeightedService{{Service: "llm", Weight: 1}}},
			{Name: "app", Host: "h", Prefix: "/app/", Split: []routing.WeightedService{{Service: "app", Weight: 1}}},
		},
	})
	conns := connlimit.New(0, func(connlimit.Close) {})
	conns.SetScreen(s)
	server := &http.Server{Handler: s, ConnContext: WithConn, ConnState: conns.Track, ReadHeaderTimeout: time.Minute}
	t.Cleanup(func() { _ = server.Close() })
	go func() { _ = server.Serve(conns.Listen(l)) }()
	return scope
}

// Guards against a router that parses and answers each refused request of a flood as it does a
// served one, and has no processor time left for those that it could serve (FAIR).
func TestRequestsOfAFloodAreRefusedEarly(t *testing.T) {
	scope, address := startOverloadedServer(t)
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	r := bufio.NewReader(conn)
	exchange := func(path, key string) (*http.Response, string) {
		t.Helper()
		if _, err := io.WriteString(conn, "POST "+path+" HTTP/1.1\r\nHost: h\r\nX-Key: "+key+"\r\nContent-Length: 4\r\n\r\nbody"); err != nil {
			t.Fatal(err)
		}
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(resp.Body)
		if err != nil {
			t.Fatal(err)
		}
		return resp, string(body)
	}
	early := func() int64 {
		return scope.Snapshot().Counters()["requests_refused_early+"].Value()
	}

	const requests = 100
	for range requests {
		resp, body := exchange("/chat/x", "k")
		if resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" || body != "router_busy\n" || resp.Close {
			t.Fatalf("got status %d, header %v and body %q, want 503 router_busy with Retry-After on an open connection", resp.StatusCode, resp.Header, body)
		}
	}
	if early() != requests {
		t.Errorf("%d of %d refused requests were refused early", early(), requests)
	}
	for _, c := range []struct {
		name, path, key string
		want            int
	}{
		{"unknown key", "/chat/x", "no", http.StatusUnauthorized},
		{"no route", "/none/x", "k", http.StatusNotFound},
		{"plain service", "/app/x", "k", http.StatusServiceUnavailable},
	} {
		if resp, body := exchange(c.path, c.key); resp.StatusCode != c.want || body == "router_busy\n" {
			t.Errorf("%s: got status %d and body %q, want %d for another reason than the router's load", c.name, resp.StatusCode, body, c.want)
		}
	}
	if early() != requests {
		t.Errorf("%d requests were refused early, want only the %d for engines with a known key", early(), requests)
	}
}

// Guards against requests with bodies larger than a buffer of net/http, which an overloaded router
// parsed and refused at many times the cost of an early refusal (FAIR).
func TestRequestsWithLargeBodiesAreRefusedEarly(t *testing.T) {
	const requests = 20
	l := listenLocal(t)
	var conns []net.Conn
	for i := range requests {
		conn, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		if err := conn.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
			t.Fatal(err)
		}
		body := strings.Repeat("x", 1<<10+2000*i)
		if _, err := io.WriteString(conn, "POST "+largeBodyPath(i)+" HTTP/1.1\r\nHost: h\r\nX-Key: k\r\nContent-Length: "+strconv.Itoa(len(body))+"\r\n\r\n"+body); err != nil {
			t.Fatal(err)
		}
		conns = append(conns, conn)
	}
	// All requests have arrived when the router begins to read, as if it had been late.
	scope := serveOverloaded(t, l)
	for i, conn := range conns {
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			t.Fatalf("request %d: %v", i, err)
		}
		want := "router_busy\n"
		if largeBodyPath(i) != "/chat/x" {
			want = "no_route\n"
		}
		got, err := io.ReadAll(resp.Body)
		if err != nil || string(got) != want || resp.Close {
			t.Fatalf("request %d: got %q (error %v, closed %v), want %q on an open connection", i, got, err, resp.Close, want)
		}
	}
	if early := scope.Snapshot().Counters()["requests_refused_early+"].Value(); early != requests/2 {
		t.Errorf("%d of %d refused requests were refused early, want all", early, requests/2)
	}
}

// largeBodyPath returns the path of a request: each second one has no route, and passes the screen.
func largeBodyPath(i int) string {
	if i%2 == 0 {
		return "/chat/x"
	}
	return "/none/x"
}
