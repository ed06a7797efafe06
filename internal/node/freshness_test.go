package node

import (
	"fmt"
	"testing"
	"time"

	fleetv1 "github.com/umberhill/umberhill/api/fleet/v1"
	"github.com/umberhill/umberhill/internal/core/catchup"
	"github.com/umberhill/umberhill/internal/core/freshness"
	"github.com/umberhill/umberhill/internal/ids"
)

func TestAgeIsThatOfTheNewestRead(t *testing.T) {
	now := time.Unix(1000, 0)
	var f sharedFreshness
	f.record(freshness.Claim{At: now.Add(-500 * time.Millisecond)})
	f.record(freshness.Claim{At: now.Add(-900 * time.Millisecond)})
	if got := f.age(now.Add(time.Second)); got != 1500*time.Millisecond {
		t.Errorf("age after the newest read: got %v, want 1.5s", got)
	}
}

func TestExactlyOneRouterHasTheFirstRank(t *testing.T) {
	var all []ids.Instance
	for i := range 8 {
		all = append(all, ids.Instance(fmt.Sprintf("router-%d", i)))
	}
	first := 0
	for i, self := range all {
		var others []ids.Instance
		others = append(others, all[:i]...)
		others = append(others, all[i+1:]...)
		if rankOf(self, others) == 0 {
			first++
		}
	}
	if first != 1 {
		t.Errorf("got %d routers with the first rank, want 1", first)
	}
	if rankOf("alone", nil) != 0 {
		t.Error("a router without peers does not have the first rank")
	}
}

// reportCurrent lets a hub report that the state which the node holds is complete.
func reportCurrent(n *Node) {
	now := time.Now()
	for _, s := range []*syncedState{n.configState, n.targetsState} {
		s.recordReport(now, "hub", catchup.Report{Revision: s.revision(), CompleteAt: now})
	}
}

// Guards against a load on the store that grows with the fleet: in a large fleet
// the routers that get the state from hubs must call the store less often.
func TestFollowersCallTheStoreLessOften(t *testing.T) {
	small, large := newNodeInFleet(8), newNodeInFleet(80)
	reportCurrent(large)
	if small.ExtraRetryDelay() != 0 || large.ExtraRetryDelay() == 0 {
		t.Errorf("extra delay after a failed call: %v in a fleet of 8, want none; %v in a fleet of 80, want more than none", small.ExtraRetryDelay(), large.ExtraRetryDelay())
	}
	if small.RouterListInterval() >= large.RouterListInterval() || small.WatchInterval() >= large.WatchInterval() {
		t.Error("routers of a large fleet watch as often as those of a small one")
	}
}

// Guards against a fleet in which each follower reads the list of routers for each router
// that starts or stops: it needs only the hubs of its domain, which its hub confirms.
func TestFollowerDoesNotWatchRoutersThatItsHubConfirms(t *testing.T) {
	const era = 3
	n := newNodeInFleet(80)
	if n.IsRouterListCurrent(era) {
		t.Error("list is current before a report of a hub, want not")
	}
	plan := n.fleet.plan.Load()
	hubName := plan.Hubs["a"][0]
	observe := func(key uint64) {
		reportCurrent(n)
		n.fleet.observeHub(plan, &fleetv1.Report{Scope: fleetv1.Scope_SCOPE_FLEET, HubsKey: key, StoreEra: era, Routers: 81})
	}
	observe(plan.HubsKey("a"))
	if !n.IsRouterListCurrent(era) {
		t.Errorf("list is not current although hub %s has the same hubs", hubName)
	}
	if got := n.server.Routers(); got != 81 {
		t.Errorf("routers that share the retry budget: got %d, want the hub's 81", got)
	}
	if n.IsRouterListCurrent(era - 1) {
		t.Error("list of an earlier era of the store is current, want not: the store may have lost this router's entry")
	}
	observe(plan.HubsKey("a") + 1)
	if n.IsRouterListCurrent(era) {
		t.Error("list is current although the hub has other hubs, want not")
	}
}

// Guards against reports that take half of a small router's link of 10 Mbit/s: in a full mesh
// of 23 routers each sent and received 440 a second.
func TestReportsOfARouterAreBounded(t *testing.T) {
	const maxPerSecond = 250
	for _, routers := range []int{2, 8, 12, 13, 23, 24, 25, 80, 295} {
		plan := newNodeInFleet(routers).fleet.plan.Load()
		if n := float64(len(plan.Links)) / reportIntervalOf(plan).Seconds(); n > maxPerSecond {
			t.Errorf("%d routers: %.0f reports a second of the smallest router, want at most %d", routers, n, maxPerSecond)
		}
	}
}
