package node

import (
	"fmt"
	"testing"
	"time"

	"github.com/umberhill/umberhill/internal/ids"
)

func TestAgeIsThatOfTheNewestRead(t *testing.T) {
	now := time.Unix(1000, 0)
	var f freshness
	f.observe(now, 500*time.Millisecond)
	f.observe(now, 900*time.Millisecond)
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

// Guards against a load on the store that grows with the fleet: in a large fleet
// the routers that get the state from hubs must call the store less often.
func TestFollowersCallTheStoreLessOften(t *testing.T) {
	small, large := newNodeInFleet(8), newNodeInFleet(80)
	if small.ExtraRetryDelay() != 0 || large.ExtraRetryDelay() == 0 {
		t.Errorf("extra delay after a failed call: %v in a fleet of 8, want none; %v in a fleet of 80, want more than none", small.ExtraRetryDelay(), large.ExtraRetryDelay())
	}
	if small.RouterListInterval() >= large.RouterListInterval() || small.WatchInterval() >= large.WatchInterval() {
		t.Error("routers of a large fleet watch as often as those of a small one")
	}
}
