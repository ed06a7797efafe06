package sched

import (
	"testing"
	"time"

	"github.com/umberhill/umberhill/internal/ids"
)

// A step may leave pools to look at for the next one. If that brings new
// targets, the old pools' queues must not be dispatched from: found by TestFuzz
// with seed 5211, a request was dispatched twice.
func TestNewTargetsReplacePoolsLeftToLookAt(t *testing.T) {
	now := time.Unix(1000, 0)
	s := New(Settings{Self: "r", Domain: "d"})
	s.Step(now.Add(-time.Second), Tick{})
	s.Step(now, SetRouters{Routers: []Router{{Instance: "r", Domain: "d"}}})
	targets := []Target{{ID: "t", Domain: "d", Pools: []ids.Pool{"p"}, Concurrency: 3}}
	s.Step(now, SetTargets{Targets: targets})
	for id := range RequestID(4) {
		s.Step(now, Submit{Request: Request{ID: id + 1, Workspace: "a", Pool: "p"}})
	}
	// Two permits are free, but the target is left alone for a while.
	s.Step(now, Finish{ID: 1, Refused: true})
	s.Step(now, Finish{ID: 2, Refused: true})
	now = now.Add(2 * fullPause)
	s.markPool(s.pools["p"])
	seen := map[RequestID]bool{}
	note := func(as []Action) {
		for _, a := range as {
			if d, ok := a.(Dispatch); ok && seen[d.ID] {
				t.Fatalf("request %d dispatched twice", d.ID)
			} else if ok {
				seen[d.ID] = true
			}
		}
	}
	note(s.Step(now, SetTargets{Targets: targets}))
	for range 200 {
		now = now.Add(TickInterval)
		note(s.Step(now, Tick{}))
	}
	if len(seen) != 1 {
		t.Errorf("the waiting request was dispatched %d times", len(seen))
	}
}
