package sched_test

import (
	"testing"
	"time"

	"github.com/umberhill/umberhill/internal/api"
	"github.com/umberhill/umberhill/internal/core/sched"
	"github.com/umberhill/umberhill/internal/ids"
	"github.com/umberhill/umberhill/internal/outcome"
)

// TestPatchShares applies a patch before any SetShares event, as happens when a
// router receives its first contract as a change. The limits of the patch must
// take effect.
func TestPatchShares(t *testing.T) {
	s := sched.New(sched.Settings{Self: "r", Incarnation: 1, Domain: "d"})
	now := time.Unix(1_700_000_000, 0)
	s.Step(now, sched.SetRouters{Routers: []sched.Router{{Instance: "r", Domain: "d"}}})
	s.Step(now, sched.SetTargets{Targets: []sched.Target{{ID: "t", Domain: "d", Pools: []ids.Pool{"p"}, Concurrency: 1}}})
	limited := sched.Share{Workspace: "w", Weight: 1, Limits: api.Limits{RequestsPerSecond: 1, QueueLength: 1}}
	s.Step(now, sched.PatchShares{Put: []sched.Share{limited}})
	refused := 0
	submit := func(id sched.RequestID) {
		for _, action := range s.Step(now, sched.Submit{Request: sched.Request{ID: id, Workspace: "w", Pool: "p"}}) {
			if r, ok := action.(sched.Refuse); ok && (r.Code == outcome.CodeRateLimited || r.Code == outcome.CodeQueueFull) {
				refused++
			}
		}
	}
	for id := range sched.RequestID(20) {
		submit(id + 1)
	}
	if refused == 0 {
		t.Error("no request was refused, want the limits of the patch to be enforced")
	}
	s.Step(now, sched.PatchShares{Removed: []ids.Workspace{"w", "unknown"}})
	s.Step(now, sched.Tick{})
}
