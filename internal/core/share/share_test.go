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
		level := share.MaxMinLevel(demands, capacity)
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
	w.RecordRequested(now, "flood", 90_000)
	w.RecordStarted(now, "flood", 30_000)
	w.RecordRequested(now, "calm", 2_000)
	w.SetPeerUsage(now, "peer", map[ids.Workspace]share.Usage{"flood": {Requested: 10_000, Started: 9_000}})
	const capacity = 10_000 // 40,000 in the window: 38,000 are left to the flood
	if got := w.Rank(now, "flood", 5_000, capacity); got == share.Guaranteed {
		t.Error("a workspace that started 39,000 of 38,000 counts as within its share")
	}
	if got := w.Rank(now, "calm", 2_000, capacity); got != share.Guaranteed {
		t.Errorf("a workspace that started nothing has rank %d", got)
	}
	later := now.Add(5 * time.Second)
	if got := w.Rank(later, "flood", 5_000, capacity); got != share.Guaranteed {
		t.Errorf("rank %d although the use is older than the window", got)
	}
}

// Two workspaces ask for far more than the stated capacity and engines start
// more than stated: what is above must be even, too.
func TestWhatIsStartedBeyondTheStatedCapacityIsShared(t *testing.T) {
	now := time.Unix(1000, 0)
	w := share.New(4 * time.Second)
	for _, ws := range []ids.Workspace{"ahead", "behind"} {
		w.RecordRequested(now, ws, 1_000_000)
	}
	w.RecordStarted(now, "ahead", 700_000)
	w.RecordStarted(now, "behind", 200_000)
	const capacity = 25_000 // 50,000 each in the window
	if got := w.Rank(now, "ahead", 1_000, capacity); got != share.Excess {
		t.Errorf("the workspace that is ahead has rank %d", got)
	}
	if got := w.TimeUntilFair(now, "ahead"); got < time.Second || got > 3*time.Second {
		t.Errorf("the workspace that is ahead may come again after %v", got)
	}
	if got := w.Rank(now, "behind", 1_000, capacity); got != share.Fair {
		t.Errorf("the workspace that is behind has rank %d", got)
	}
}
