package node

import (
	"testing"

	"github.com/umberhill/umberhill/internal/routing"
	"github.com/umberhill/umberhill/internal/upstream"
)

// Guards against the idle connections of all routers using up the connections that
// a target accepts, so that requests get none.
func TestIdleConnectionsOfTheFleetLeaveRoomForRequests(t *testing.T) {
	const maxConns = 100
	for _, routers := range []int{1, 8, 80, 400} {
		n := newNodeInFleet(routers)
		n.SetConfig(&routing.Config{Version: 1, Services: map[string]*routing.Service{"app": {Name: "app", MaxConns: maxConns}}}, "test")
		n.setTargets([]routing.Target{{ID: "t", Service: "app"}}, targetsUpdate{})
		idle := n.maxIdle(upstream.Endpoint{Target: "t"})
		if idle < 1 || (idle > 1 && idle*routers > maxConns*6/10) {
			t.Errorf("%d routers keep %d idle connections each, of %d that the target accepts; want at least 1 each and at most 60 percent together", routers, idle, maxConns)
		}
	}
}
