package sched

import (
	"testing"
	"time"

	"github.com/umberhill/umberhill/internal/ids"
)

// TestSetTargetsDropsDirtyPools guards against dispatching a request twice. A step
// may leave dirty pools for the next one. If that step replaces the targets, the
// request is enqueued in the new pool and must not be dispatched from the old one
// as well. TestFuzz with seed 5211 shows the failure.
func TestSetTargetsDropsDirtyPools(t *testing.T) {
	now := time.Unix(1000, 0)
	s := New(Settings{Self: "r", Domain: "d"})
	s.Step(now.Add(-time.Second), Tick{})
	s.Step(now, SetRouters{Routers: []Router{{Instance: "r", Domain: "d"}}})
	targets := []Target{{ID: "t", Domain: "d", Pools: []ids.Pool{"p"}, Concurrency: 3}}
	s.Step(now, SetTargets{Targets: targets})
	for id := range RequestID(4) {
		s.Step(now, Submit{Request: Request{ID: id + 1, Workspace: "a", Pool: "p"}})
	}
	// Two permits are free, but the target gets no requests for fullTargetBackoff.
	s.Step(now, Finish{ID: 1, Rejected: true})
	s.Step(now, Finish{ID: 2, Rejected: true})
	now = now.Add(2 * fullTargetBackoff)
	s.markPoolDirty(s.pools["p"])
	dispatched := map[RequestID]bool{}
	record := func(as []Action) {
		for _, a := range as {
			if d, ok := a.(Dispatch); ok && dispatched[d.ID] {
				t.Fatalf("request %d dispatched twice", d.ID)
			} else if ok {
				dispatched[d.ID] = true
			}
		}
	}
	record(s.Step(now, SetTargets{Targets: targets}))
	for range 200 {
		now = now.Add(TickInterval)
		record(s.Step(now, Tick{}))
	}
	if len(dispatched) != 1 {
		t.Errorf("%d requests were dispatched, want 1", len(dispatched))
	}
}
