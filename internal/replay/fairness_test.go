package replay_test

import (
	"fmt"
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

// overlappingFloods is a load in which four of eight workspaces flood at different times.
func overlappingFloods(seed int) replay.Pattern {
	p := patterns()["overload"]
	p.Routers, p.Engines, p.Workspaces, p.Duration = 24, 16, 8, 24*time.Second
	p.TokensPerSecond, p.Spec.Slots = 100_000, 16
	p.Kinds = p.Kinds[1:]                  // small requests, so that shares are exact enough
	p.ReportDelay = 150 * time.Millisecond // through hubs
	p.LoadFactor = func(time.Duration) float64 { return 2 }
	p.RoutersReached = func(workspace int) int {
		if workspace%2 == 0 {
			return p.Routers
		}
		return 2
	}
	p.RateFactor = func(workspace int, at time.Duration) float64 {
		from := time.Duration(3+(5*workspace+3*seed)%13) * time.Second
		to := from + time.Duration(6+workspace+seed%3)*time.Second
		if workspace < 4 && at >= from && at < to {
			return 8
		}
		return 0.6
	}
	return p
}

func expectShares(t *testing.T, seeds int, pattern func(seed int) replay.Pattern) {
	for seed := range seeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			if r := replay.Simulate(pattern(seed), replay.Admit, uint64(seed)); r.WorstShare < 0.5 {
				t.Errorf("a workspace received %.2f of what it was due, want at least 0.5", r.WorstShare)
			}
		})
	}
}

// Guards against shares that are exact only over long times: workspaces that flood at
// different times must not be denied what they are due for seconds.
func TestWorkspacesKeepTheirSharesWhileFloodsOverlap(t *testing.T) {
	expectShares(t, 8, overlappingFloods)
}

// Guards against the same while a third of the engines is unreachable.
func TestWorkspacesKeepTheirSharesWhileFloodsOverlapAndEnginesAreDown(t *testing.T) {
	expectShares(t, 24, func(seed int) replay.Pattern {
		p := overlappingFloods(seed)
		p.Routers = 48
		p.RoutersReached = func(workspace int) int {
			if workspace%2 == 0 {
				return p.Routers
			}
			return 2
		}
		p.IsDown = func(engine int, at time.Duration) bool {
			return engine < 5 && at >= 8*time.Second && at < 12*time.Second
		}
		return p
	})
}
