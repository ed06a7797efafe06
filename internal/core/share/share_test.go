package share_test

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/umberhill/umberhill/internal/core/share"
	"github.com/umberhill/umberhill/internal/ids"
)

func TestMaxMinLevelFillsTheCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		demands := rapid.SliceOfN(rapid.Float64Range(0, 1000), 1, 30).Draw(t, "demands")
		capacity := rapid.Float64Range(1, 5000).Draw(t, "capacity")
		level := share.MaxMinLevel(demands, capacity)
		var requested, granted float64
		for _, d := range demands {
			requested += d
			granted += math.Min(d, level)
		}
		want := math.Min(requested, capacity)
		if math.Abs(granted-want) > 1e-6*capacity {
			t.Fatalf("level %v grants %v, want %v", level, granted, want)
		}
	})
}

func TestFloodingWorkspaceIsBeyondItsShare(t *testing.T) {
	now := time.Unix(1000, 0)
	w := share.New(4 * time.Second)
	w.RecordRequested(now, "flood", 90_000)
	w.RecordStarted(now, "flood", 30_000)
	w.RecordRequested(now, "calm", 2_000)
	w.SetPeerUsage(now, "peer", map[ids.Workspace]share.Usage{"flood": {Requested: 20_000, Started: 18_000}})
	const capacity = 20_000 // 40,000 tokens in the decay time, of which 38,000 remain for the flood
	if got := w.Rank(now, "flood", 5_000, capacity); got == share.Guaranteed {
		t.Error("a workspace that started 39,000 tokens of a share of 38,000 is guaranteed, want fair or excess")
	}
	if got := w.Rank(now, "calm", 2_000, capacity); got != share.Guaranteed {
		t.Errorf("a workspace that started nothing has rank %d, want guaranteed", got)
	}
	later := now.Add(5 * time.Second)
	if got := w.Rank(later, "flood", 5_000, capacity); got != share.Guaranteed {
		t.Errorf("got rank %d although the usage is older than the window, want guaranteed", got)
	}
}

// Two workspaces request far more than the configured capacity, and the engines start
// more than configured: what is started above the capacity must be shared evenly, too.
func TestUsageBeyondTheConfiguredCapacityIsSharedFairly(t *testing.T) {
	now := time.Unix(1000, 0)
	w := share.New(4 * time.Second)
	for _, ws := range []ids.Workspace{"ahead", "behind"} {
		w.RecordRequested(now, ws, 1_000_000)
	}
	w.RecordStarted(now, "ahead", 700_000)
	w.RecordStarted(now, "behind", 200_000)
	const capacity = 25_000 // 25,000 tokens for each workspace in the decay time
	if got := w.Rank(now, "ahead", 1_000, capacity); got != share.Excess {
		t.Errorf("the workspace that is ahead has rank %d, want excess", got)
	}
	// The fair level is 472,500 tokens, to which 700,000 decay in 2 s x ln(700,000/472,500).
	if got := w.TimeUntilFair(now, "ahead"); got < 700*time.Millisecond || got > 900*time.Millisecond {
		t.Errorf("the workspace that is ahead is within its share after %v, want 0.7s to 0.9s", got)
	}
	if got := w.Rank(now, "behind", 1_000, capacity); got != share.Behind {
		t.Errorf("the workspace that started less than half of its share has rank %d, want behind", got)
	}
	w.RecordStarted(now, "behind", 100_000)
	if got := w.Rank(now, "behind", 1_000, capacity); got != share.Fair {
		t.Errorf("the workspace that started more than half of its share has rank %d, want fair", got)
	}
}

// Guards against bursts that repeat with the window's length: a workspace that has used
// its share at once must not be able to do so again when that usage leaves the window.
func TestShareIsNotAvailableAgainAllAtOnce(t *testing.T) {
	const capacity, tokens = 10_000, 100
	now := time.Unix(1000, 0)
	w := share.New(4 * time.Second)
	perSecond := make([]int, 12)
	for i := range perSecond {
		for range 100 {
			now = now.Add(10 * time.Millisecond)
			for range 10 { // 10 times the capacity
				w.RecordRequested(now, "flood", tokens)
				if w.Rank(now, "flood", tokens, capacity) == share.Guaranteed {
					w.RecordStarted(now, "flood", tokens)
					perSecond[i] += tokens
				}
			}
		}
	}
	for i, started := range perSecond[4:] {
		if started < capacity/2 || started > 2*capacity {
			t.Errorf("second %d: %d tokens were started, want half to twice the capacity of %d", i+4, started, capacity)
		}
	}
}
