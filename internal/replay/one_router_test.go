package replay_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/umberhill/umberhill/internal/replay"
)

// floodsAtOneRouter returns a load of a large fleet in which three of twelve workspaces send
// many times their usual load through as many routers as reached.
func floodsAtOneRouter(reached int) replay.Pattern {
	p := largeFleet(48, 90, 3, 0.12)
	p.Duration, p.Workspaces = 14*time.Second, 12
	p.RoutersReached = func(workspace int) int {
		if workspace < 3 {
			return reached
		}
		return p.Routers
	}
	p.RateFactor = func(workspace int, at time.Duration) float64 {
		if workspace < 3 && at >= 4*time.Second && at < 12*time.Second {
			return 10
		}
		return 1
	}
	return p
}

// Guards against a workspace whose callers all use one router, which fills the few engines that
// the router prefers and gets less than half of its share while others are idle (FAIR).
func TestWorkspacesAtOneRouterOfALargeFleetKeepTheirShares(t *testing.T) {
	for seed := uint64(1); seed <= 2; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			one := replay.Simulate(floodsAtOneRouter(1), replay.Admit, seed)
			all := replay.Simulate(floodsAtOneRouter(48), replay.Admit, seed)
			t.Logf("worst share %.2f, worth %.3f; with callers at all routers %.2f, %.3f", one.WorstShare, one.Worth, all.WorstShare, all.Worth)
			if one.WorstShare < 0.5 {
				t.Errorf("a workspace received %.2f of what it was due, want at least 0.5", one.WorstShare)
			}
			if one.Worth < 0.9*all.Worth {
				t.Errorf("worth %.3f, want at least 0.9 of %.3f with callers at all routers", one.Worth, all.Worth)
			}
		})
	}
}
