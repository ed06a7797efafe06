package share_test

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/umberhill/umberhill/internal/core/share"
	"github.com/umberhill/umberhill/internal/ids"
)

func TestLevelIsMaxMin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		demands := rapid.SliceOfN(rapid.Float64Range(0, 1000), 1, 30).Draw(t, "demands")
		capacity := rapid.Float64Range(1, 5000).Draw(t, "capacity")
		level := share.Level(demands, capacity)
		var asked, given float64
		for _, d := range demands {
			asked += d
			given += math.Min(d, level)
		}
		want := math.Min(asked, capacity)
		if math.Abs(given-want) > 1e-6*capacity {
			t.Fatalf("level %v gives %v of %v", level, given, want)
		}
	})
}

func TestFloodingWorkspaceIsBeyondItsShare(t *testing.T) {
	now := time.Unix(1000, 0)
	w := share.New(4 * time.Second)
	w.Ask(now, "flood", 90_000)
	w.Start(now, "flood", 30_000)
	w.Ask(now, "calm", 2_000)
	w.Report(now, "peer", map[ids.Workspace]share.Use{"flood": {Asked: 10_000, Started: 9_000}})
	const capacity = 10_000 // 40,000 in the window: 38,000 are left to the flood
	if w.Within(now, "flood", 5_000, capacity) {
		t.Error("a workspace that started 39,000 of 38,000 counts as within its share")
	}
	if !w.Within(now, "calm", 2_000, capacity) {
		t.Error("a workspace that started nothing counts as beyond its share")
	}
	later := now.Add(5 * time.Second)
	if !w.Within(later, "flood", 5_000, capacity) {
		t.Error("use older than the window still counts")
	}
}
