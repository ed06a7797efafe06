package node

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	logtest "github.com/sirupsen/logrus/hooks/test"

	"github.com/umberhill/umberhill/internal/core/hub"
	"github.com/umberhill/umberhill/internal/duty"
	"github.com/umberhill/umberhill/internal/edge"
	"github.com/umberhill/umberhill/internal/ids"
	"github.com/umberhill/umberhill/internal/routing"
)

// noDialect is for nodes that get no requests.
type noDialect struct{}

func (noDialect) DecodeRequest(http.Header) edge.RequestMeta                      { return edge.RequestMeta{} }
func (noDialect) EncodeRequest(h http.Header, _ edge.OutgoingRequest) http.Header { return h }
func (noDialect) DecodeResponse(*http.Response) edge.ResponseMeta                 { return edge.ResponseMeta{} }
func (noDialect) CopyResponse(_, _ http.Header)                                   {}

// newInFleet returns a node that knows a fleet of so many routers, the smallest of
// which it is.
func newInFleet(routers int) *Node {
	logger, _ := logtest.NewNullLogger()
	n := New(Settings{Instance: "r-0", Domain: "a", Peer: "127.0.0.1:1", ShareWindow: time.Second}, noDialect{}, logger)
	n.JoinFleet(nil)
	list := make([]Router, 0, routers)
	for i := range routers {
		name := ids.Instance(fmt.Sprintf("r-%d", i))
		list = append(list, Router{Address: "127.0.0.1:1", Router: hub.Router{Instance: name, Domain: "a", Capacity: float64(i)}})
	}
	n.SetRouters(list)
	return n
}

// A router that has lost a controller must not go on as if it were whole.
func TestPanicOfADutyEndsTheRouter(t *testing.T) {
	logger, _ := logtest.NewNullLogger()
	n := New(Settings{Callers: "127.0.0.1:0", Ready: "127.0.0.1:0", ShareWindow: time.Second}, noDialect{}, logger)
	n.AddDuty(duty.Loop("broken", func(context.Context) { panic("broken") }))
	ended := make(chan error, 1)
	go func() { ended <- n.Run(context.Background()) }()
	select {
	case err := <-ended:
		if err == nil {
			t.Error("the router ended without an error")
		}
	case <-time.After(5 * time.Second):
		t.Error("the router goes on without its duty")
	}
}

// A router that has refused much of its load for a while takes no new connections;
// callers come to others.
func TestFloodedRouterIsNotReady(t *testing.T) {
	logger, _ := logtest.NewNullLogger()
	n := New(Settings{Instance: "r-0", Domain: "a", ShareWindow: time.Second}, noDialect{}, logger)
	n.SetConfig(&routing.Config{Version: 1, Services: map[string]*routing.Service{"s": {Name: "s"}}}, "test")
	n.setTargets([]routing.Target{{ID: "t", Service: "s", Address: "127.0.0.1:1", Slots: 1}})
	if !n.ready() {
		t.Fatal("not ready before the flood")
	}
	now := time.Unix(1000, 0)
	observe := func(lasting, late time.Duration) {
		for end := now.Add(lasting); now.Before(end); now = now.Add(50 * time.Millisecond) {
			n.pressure.Observe(now, late)
		}
	}
	observe(2*time.Second, 50*time.Millisecond)
	if n.ready() {
		t.Error("ready in the midst of a flood")
	}
	observe(10*time.Second, 0)
	if !n.ready() {
		t.Error("not ready after the flood")
	}
}
