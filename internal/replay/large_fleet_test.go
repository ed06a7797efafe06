package replay_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/umberhill/umberhill/internal/replay"
)

// largeFleet returns a load of which each router sees a small part: its view of the engines
// comes through hubs, and is older than the time between two requests of the fleet for the
// same engine.
func largeFleet(routers, engines, domains int, load float64) replay.Pattern {
	p := patterns()["calm"]
	p.Duration = 10 * time.Second
	p.Routers, p.Engines, p.Domains, p.Workspaces = routers, engines, domains, 20
	p.ReportsAreSummed = true
	p.ReportDelay = 160 * time.Millisecond
	p.Spec.Slots = 12
	p.EventGapObjective = 400 * time.Millisecond
	p.Spec.TokensPerEvent = 14
	p.TokensPerSecond = 20_000 * float64(engines)
	n := float64(engines)
	p.Kinds = []replay.RequestKind{
		{Name: "report", RequestsPerSecond: 3.5 * n, Subjects: 7 * engines, SharedTokens: 5000, UniqueTokens: 6500, OutputTokens: 380, FirstTokenObjective: 800 * time.Millisecond, Deadline: 12 * time.Second},
		{Name: "dialogue", RequestsPerSecond: 3.5 * n, Subjects: 5 * engines, SharedTokens: 200, UniqueTokens: 600, OutputTokens: 300, FirstTokenObjective: 400 * time.Millisecond, Deadline: 10 * time.Second},
		{Name: "question", RequestsPerSecond: 6.5 * n, Subjects: 14 * engines, SharedTokens: 600, UniqueTokens: 1800, OutputTokens: 28, FirstTokenObjective: 400 * time.Millisecond, Deadline: 3 * time.Second},
	}
	p.LoadFactor = func(time.Duration) float64 { return load }
	return p
}

// largeFleetSizes are fleets of which each router sees a small part.
var largeFleetSizes = []struct{ routers, engines, domains int }{{40, 20, 1}, {120, 60, 5}}

// expectWorth compares the worth of large fleets with that of one router that sends all
// requests to as many engines in one failure domain: a fleet must reach the given share.
func expectWorth(t *testing.T, load, share float64) {
	for _, size := range largeFleetSizes {
		for seed := uint64(1); seed <= 3; seed++ {
			t.Run(fmt.Sprintf("%d routers, %d engines, seed %d", size.routers, size.engines, seed), func(t *testing.T) {
				t.Parallel()
				one := replay.Simulate(largeFleet(1, size.engines, 1, load), replay.Admit, seed)
				all := replay.Simulate(largeFleet(size.routers, size.engines, size.domains, load), replay.Admit, seed)
				if all.Worth < share*one.Worth {
					t.Errorf("worth %.3f (%d on time, %d late, %d refused, %d abandoned), want at least %.2f of %.3f of one router",
						all.Worth, all.OnTime, all.Late, all.Refused, all.Abandoned, share, one.Worth)
				}
			})
		}
	}
}

// Guards against routers that all send their requests to the engine that the last report
// showed as idle, so that responses are late although the engines can serve all in time.
func TestManyRoutersDoNotOverfillTheSameEngine(t *testing.T) {
	expectWorth(t, 0.3, 0.96)
}

// Guards against a fleet that serves twice the load that it can serve in time late: requests
// that are late already made others late.
func TestManyRoutersServeOverloadInTime(t *testing.T) {
	expectWorth(t, 1.2, 0.6)
}

// Guards against an overload in which each late request delays the next: most responses
// came late, and it stayed so for seconds after the overload.
func TestOverloadOfALargeFleetDoesNotMakeMostResponsesLate(t *testing.T) {
	for _, size := range largeFleetSizes {
		for seed := uint64(1); seed <= 3; seed++ {
			t.Run(fmt.Sprintf("%d routers, %d engines, seed %d", size.routers, size.engines, seed), func(t *testing.T) {
				t.Parallel()
				r := replay.Simulate(largeFleet(size.routers, size.engines, size.domains, 1.2), replay.Admit, seed)
				if r.Late > r.OnTime/2 {
					t.Errorf("%d responses on time and %d late, want at most half as many late as on time", r.OnTime, r.Late)
				}
			})
		}
	}
}

// Guards against a domain with most of the requests that leaves the other domains' engines
// idle: what they can serve must not be refused.
func TestHotDomainUsesTheEnginesOfTheOthers(t *testing.T) {
	for seed := uint64(1); seed <= 3; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			even := largeFleet(120, 60, 5, 0.4)
			hot := even
			hot.FirstDomainShare = 0.9
			base, all := replay.Simulate(even, replay.Admit, seed), replay.Simulate(hot, replay.Admit, seed)
			if all.Worth < 0.9*base.Worth {
				t.Errorf("worth %.3f (%d on time, %d late, %d refused) with nine tenths of the requests in one domain, want at least 0.9 of %.3f with even parts",
					all.Worth, all.OnTime, all.Late, all.Refused, base.Worth)
			}
		})
	}
}
