package replay_test

import (
	"testing"
	"time"

	"github.com/umberhill/umberhill/internal/replay"
)

// Guards against workspaces that pay for attempts which no engine ran: one whose callers
// use all routers meets each unreachable engine once for each router.
func TestWorkspaceAtAllRoutersKeepsItsShareWhileEnginesAreDown(t *testing.T) {
	for seed := uint64(1); seed <= 3; seed++ {
		p := patterns()["overload"]
		p.Routers, p.Engines, p.Workspaces, p.Duration = 48, 16, 3, 10*time.Second
		p.TokensPerSecond, p.Spec.Slots = 100_000, 16
		p.Kinds = p.Kinds[1:] // small requests, so that shares are exact enough
		p.LoadFactor = func(time.Duration) float64 { return 12 }
		p.RoutersReached = func(workspace int) int {
			if workspace == 0 {
				return p.Routers
			}
			return 2
		}
		p.IsDown = func(engine int, at time.Duration) bool {
			return engine < 5 && at >= 4*time.Second && at < 10*time.Second
		}
		if r := replay.Simulate(p, replay.Admit, seed); r.WorstShare < 0.5 {
			t.Errorf("seed %d: a workspace received %.2f of what it was due, want at least 0.5", seed, r.WorstShare)
		}
	}
}
