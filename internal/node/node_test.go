package node

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	logtest "github.com/sirupsen/logrus/hooks/test"

	"github.com/umberhill/umberhill/internal/core/hub"
	"github.com/umberhill/umberhill/internal/duty"
	"github.com/umberhill/umberhill/internal/edge"
	"github.com/umberhill/umberhill/internal/ids"
	"github.com/umberhill/umberhill/internal/routing"
)

// nopHeaderCodec is a HeaderCodec for nodes that get no requests.
type nopHeaderCodec struct{}

func (nopHeaderCodec) DecodeRequest(http.Header) edge.RequestMeta                      { return edge.RequestMeta{} }
func (nopHeaderCodec) DecodeField(_, _ []byte, _ *edge.EarlyMeta)                      {}
func (nopHeaderCodec) EncodeRequest(h http.Header, _ edge.OutgoingRequest) http.Header { return h }
func (nopHeaderCodec) DecodeResponse(*http.Response) edge.ResponseMeta                 { return edge.ResponseMeta{} }
func (nopHeaderCodec) CopyResponse(_, _ http.Header)                                   {}

// newNodeInFleet returns a node in a fleet of the given number of routers, of which
// it has the smallest capacity.
func newNodeInFleet(routers int) *Node {
	logger, _ := logtest.NewNullLogger()
	n := New(Settings{Instance: "r-0", Domain: "a", PeerAddress: "127.0.0.1:1", ShareWindow: time.Second}, nopHeaderCodec{}, logger)
	n.JoinFleet(nil)
	list := make([]Router, 0, routers)
	for i := range routers {
		name := ids.Instance(fmt.Sprintf("r-%d", i))
		list = append(list, Router{Address: "127.0.0.1:1", Router: hub.Router{Instance: name, Domain: "a", Capacity: float64(i)}})
	}
	n.SetRouters(list)
	return n
}

// Guards against a router that keeps serving without one of its controllers: a panic
// in a duty must end the router.
func TestPanicInADutyStopsTheRouter(t *testing.T) {
	logger, _ := logtest.NewNullLogger()
	n := New(Settings{CallerAddress: "127.0.0.1:0", ReadyAddress: "127.0.0.1:0", ShareWindow: time.Second}, nopHeaderCodec{}, logger)
	n.AddDuty(duty.Loop("broken", func(context.Context) { panic("broken") }))
	ended := make(chan error, 1)
	go func() { ended <- n.Run(context.Background()) }()
	select {
	case err := <-ended:
		if err == nil {
			t.Error("Run returned no error after the panic of a duty")
		}
	case <-time.After(5 * time.Second):
		t.Error("the router still runs 5 s after the panic of its duty")
	}
}

// Guards against an overloaded router that keeps receiving new connections: after it
// has refused much of its load for a while it must report that it is not ready, so that
// callers connect to other routers.
func TestOverloadedRouterIsNotReady(t *testing.T) {
	logger, _ := logtest.NewNullLogger()
	n := New(Settings{Instance: "r-0", Domain: "a", ShareWindow: time.Second}, nopHeaderCodec{}, logger)
	n.SetConfig(&routing.Config{Version: 1, Services: map[string]*routing.Service{"s": {Name: "s"}}}, "test")
	n.setTargets([]routing.Target{{ID: "t", Service: "s", Address: "127.0.0.1:1", Slots: 1}}, targetsUpdate{})
	if !n.isReady() {
		t.Fatal("not ready before the overload")
	}
	now := time.Unix(1000, 0)
	observe := func(duration, delay time.Duration) {
		for end := now.Add(duration); now.Before(end); now = now.Add(50 * time.Millisecond) {
			n.loadShedder.Observe(now, delay)
		}
	}
	observe(2*time.Second, 50*time.Millisecond)
	if n.isReady() {
		t.Error("ready during the overload")
	}
	observe(10*time.Second, 0)
	if !n.isReady() {
		t.Error("not ready 10 s after the overload")
	}
}

// Guards against callers that stay connected to an overloaded router, which refuses most
// of their requests, while other routers have room.
func TestOverloadedRouterClosesConnectionsOfRefusedCallers(t *testing.T) {
	logger, _ := logtest.NewNullLogger()
	n := New(Settings{Instance: "r-0", Domain: "a", ShareWindow: time.Second}, nopHeaderCodec{}, logger)
	n.SetConfig(&routing.Config{
		Version:  1,
		Services: map[string]*routing.Service{"s": {Name: "s", Engine: &routing.Engine{}}},
		Routes:   []routing.Route{{Name: "r", Host: "example.com", Prefix: "/", Split: []routing.WeightedService{{Service: "s", Weight: 1}}}},
	}, "test")
	now := time.Unix(1000, 0)
	observe := func(duration time.Duration) {
		for end := now.Add(duration); now.Before(end); now = now.Add(50 * time.Millisecond) {
			n.loadShedder.Observe(now, 50*time.Millisecond)
		}
	}
	// closedShare returns the share of refused callers that are asked to close.
	closedShare := func() float64 {
		refused, closed := 0, 0
		for range 3000 {
			w := httptest.NewRecorder()
			n.serveCaller(w, httptest.NewRequest(http.MethodPost, "http://example.com/", nil))
			if !strings.Contains(w.Body.String(), "router_busy") {
				continue
			}
			refused++
			if w.Header().Get("Connection") == "close" {
				closed++
			}
		}
		if refused < 1000 {
			t.Fatalf("%d requests of 3000 were refused as router_busy, want at least 1000", refused)
		}
		return float64(closed) / float64(refused)
	}
	check := func() int {
		w := httptest.NewRecorder()
		n.serveReady(w, httptest.NewRequest(http.MethodGet, "/", nil))
		return w.Code
	}
	observe(500 * time.Millisecond)
	if closedShare() > 0 {
		t.Error("a caller was asked to close its connection although the router takes new ones")
	}
	observe(2 * time.Second)
	if closedShare() > 0 {
		t.Error("a caller was asked to close its connection before the balancer knew that the router takes no new ones")
	}
	if first, second := check(), check(); first != http.StatusServiceUnavailable || second != first {
		t.Fatalf("health checks got status %d and %d, want 503 twice", first, second)
	}
	if got := closedShare(); got < 0.05 || got > 0.2 {
		t.Errorf("%.2f of the refused callers were asked to close their connections, want about 0.1", got)
	}
}

// Guards against a flood whose connections end the early refusals of an overloaded router, and
// which the router then asks to connect anew for each request (FAIR).
func TestFloodOverManyConnectionsIsStillRefusedEarly(t *testing.T) {
	logger, _ := logtest.NewNullLogger()
	const descriptors, conns, requests = 160, 48, 200 // at most 80 connections
	n := New(Settings{Instance: "r-0", Domain: "a", CallerAddress: "127.0.0.1:0", ReadyAddress: "127.0.0.1:0", MaxFDs: descriptors, ShareWindow: time.Second}, nopHeaderCodec{}, logger)
	n.SetConfig(&routing.Config{
		Version:  1,
		Services: map[string]*routing.Service{"s": {Name: "s", Engine: &routing.Engine{}}},
		Routes:   []routing.Route{{Name: "r", Host: "h", Prefix: "/", Split: []routing.WeightedService{{Service: "s", Weight: 1}}}},
	}, "test")
	l, err := n.openListeners()
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		for _, s := range n.servers {
			_ = s.Close()
		}
	}()
	now := time.Unix(1000, 0)
	for range 40 {
		now = now.Add(50 * time.Millisecond)
		n.loadShedder.Observe(now, 50*time.Millisecond)
	}
	dial := func() net.Conn {
		conn, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = conn.Close() })
		_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
		return conn
	}
	for range conns {
		dial()
	}
	refused, closed := 0, 0
	var conn net.Conn
	var r *bufio.Reader
	for range requests {
		if conn == nil {
			conn = dial()
			r = bufio.NewReader(conn)
		}
		if _, err := io.WriteString(conn, "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody"); err != nil {
			t.Fatal(err)
		}
		if !(screen{n}).Enabled() {
			t.Fatalf("requests are not refused early with %d of %d connections open", conns+1, descriptors/2)
		}
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			t.Fatal(err)
		}
		body, _ := io.ReadAll(resp.Body)
		if strings.Contains(string(body), "router_busy") {
			refused++
			if resp.Close {
				closed++
			}
		}
		if resp.Close {
			_ = conn.Close()
			conn = nil
		}
	}
	if refused < requests/2 || closed > refused/2 {
		t.Errorf("%d of %d requests were refused as router_busy and %d of them asked to connect anew, want most refused and less than half asked", refused, requests, closed)
	}
}
