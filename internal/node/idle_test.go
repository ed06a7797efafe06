package node

import (
	"testing"

	"github.com/umberhill/umberhill/internal/routing"
	"github.com/umberhill/umberhill/internal/upstream"
)

// The idle connections of all routers leave a target room for those under a request.
func TestIdleConnectionsOfTheFleetFitATarget(t *testing.T) {
	const accepts = 100
	for _, routers := range []int{1, 8, 80, 400} {
		n := newInFleet(routers)
		n.SetConfig(&routing.Config{Version: 1, Services: map[string]*routing.Service{"app": {Name: "app", MaxConns: accepts}}}, "test")
		n.setTargets([]routing.Target{{ID: "t", Service: "app"}})
		idle := n.maxIdle(upstream.Endpoint{Target: "t"})
		if idle < 1 || (idle > 1 && idle*routers > accepts*6/10) {
			t.Errorf("%d routers keep %d idle connections each of %d that the target accepts", routers, idle, accepts)
		}
	}
}
