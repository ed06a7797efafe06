package node

import (
	"fmt"
	"testing"
	"time"

	"github.com/umberhill/umberhill/internal/ids"
)

func TestFreshnessIsThatOfTheNewestReading(t *testing.T) {
	now := time.Unix(1000, 0)
	var f freshness
	f.observe(now, 500*time.Millisecond)
	f.observe(now, 900*time.Millisecond)
	if got := f.age(now.Add(time.Second)); got != 1500*time.Millisecond {
		t.Errorf("age %v", got)
	}
}

func TestEachFleetHasOneRouterThatReadsFirst(t *testing.T) {
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
		t.Errorf("%d routers have the first rank", first)
	}
	if rankOf("alone", nil) != 0 {
		t.Error("a router without peers must read the store itself")
	}
}

// In a large fleet the routers that hubs feed call the store less often.
func TestRoutersWithAHubSpareTheStore(t *testing.T) {
	small, large := newInFleet(8), newInFleet(80)
	if small.OutagePause() != 0 || large.OutagePause() == 0 {
		t.Errorf("after a failed call 8 routers pause for %v more, 80 for %v", small.OutagePause(), large.OutagePause())
	}
	if small.RoutersPause() >= large.RoutersPause() || small.WatchPause() >= large.WatchPause() {
		t.Error("routers of a large fleet watch as often as those of a small one")
	}
}
