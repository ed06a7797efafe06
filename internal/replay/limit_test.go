package replay_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/umberhill/umberhill/internal/replay"
)

// limitedFlood is a load in which all engines name a limit, of about half of what they get,
// while one workspace floods.
func limitedFlood(routers, engines int) replay.Pattern {
	p := patterns()["flood"]
	p.Routers, p.Engines, p.Workspaces, p.Duration = routers, engines, 8, 24*time.Second
	p.Kinds = p.Kinds[1:] // small requests, so that shares are exact enough
	p.ReportsAreSummed = routers > 12
	if p.ReportsAreSummed {
		p.ReportDelay = 150 * time.Millisecond
	}
	scale := float64(engines) / 8
	p.LoadFactor = func(time.Duration) float64 { return scale }
	p.TokensPerSecond *= scale
	p.FloodFactor = func(at time.Duration) float64 {
		if at >= 10*time.Second && at < 18*time.Second {
			return 6
		}
		return 1
	}
	p.Limit = func(_ int, at time.Duration) float64 {
		if at >= 4*time.Second && at < 20*time.Second {
			return limitedPerSecond
		}
		return 0
	}
	return p
}

// limitedPerSecond is the limit of an engine that gets about 16 requests a second.
const limitedPerSecond = 8

// Guards against limits under which one workspace's flood takes what the others are due, or
// under which engines get more than they accept.
func TestWorkspacesKeepTheirSharesWhileAllEnginesAreLimited(t *testing.T) {
	t.Parallel()
	for _, size := range []struct{ routers, engines int }{{8, 8}, {80, 24}} {
		for seed := range uint64(2) {
			t.Run(fmt.Sprintf("%d routers, seed %d", size.routers, seed), func(t *testing.T) {
				t.Parallel()
				r := replay.Simulate(limitedFlood(size.routers, size.engines), replay.Admit, seed)
				if r.MostOverLimit > 0 {
					t.Errorf("an engine got %.0f requests more than its limit allows", r.MostOverLimit)
				}
				if r.WorstShare < 0.5 {
					t.Errorf("a workspace received %.2f of what it was due, want at least 0.5", r.WorstShare)
				}
			})
		}
	}
}

// Guards against permits that a flood draws to the router at which it arrives, although its
// requests are refused there while those of other workspaces wait at other routers: the
// flood may cost each of them a tenth of what it gets without it.
func TestFloodAtOneRouterDoesNotDrawThePermitsOfLimitedEngines(t *testing.T) {
	t.Parallel()
	for seed := range uint64(3) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			p := limitedFlood(8, 8)
			p.RoutersReached = func(workspace int) int {
				if workspace == 0 {
					return 1
				}
				return p.Routers
			}
			p.FloodFactor = func(time.Duration) float64 { return 1 }
			calm := replay.Simulate(p, replay.Admit, seed)
			p.FloodFactor = func(at time.Duration) float64 {
				if at >= 10*time.Second && at < 18*time.Second {
					return 20
				}
				return 1
			}
			flood := replay.Simulate(p, replay.Admit, seed)
			if ratio := flood.WorstWorkspaceWorth / calm.WorstWorkspaceWorth; ratio < 0.9 {
				t.Errorf("the worst workspace got %.2f of what it gets without the flood, want at least 0.9", ratio)
			}
		})
	}
}

// Guards against workspaces that lose what they are due while all engines are limited and a
// flood of twenty times a workspace's load arrives at an eighth of many routers.
func TestWorkspacesKeepTheirSharesWhileALimitedFleetIsFloodedAtFewRouters(t *testing.T) {
	t.Parallel()
	for seed := range uint64(2) {
		p := limitedFlood(80, 24)
		p.RoutersReached = func(workspace int) int {
			if workspace == 0 {
				return p.Routers / 8
			}
			return p.Routers
		}
		p.FloodFactor = func(at time.Duration) float64 {
			if at >= 10*time.Second && at < 18*time.Second {
				return 20
			}
			return 1
		}
		if r := replay.Simulate(p, replay.Admit, seed); r.WorstShare < 0.5 {
			t.Errorf("seed %d: a workspace received %.2f of what it was due, want at least 0.5", seed, r.WorstShare)
		}
	}
}
