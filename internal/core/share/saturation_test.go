package share_test

import (
	"testing"
	"time"

	"github.com/umberhill/umberhill/internal/core/share"
)

// Guards against a workspace that floods and is guaranteed all that it asks for, since the
// engines serve far less than is configured: they may be down, or the configuration wrong.
func TestFloodIsNotGuaranteedWhatTheEnginesCannotServe(t *testing.T) {
	now := time.Unix(1000, 0)
	w := share.New(4 * time.Second)
	// The engines start a tenth of the configured capacity.
	const configured, perStep = 1_000_000, 10_000
	for range 40 {
		now = now.Add(100 * time.Millisecond)
		w.RecordRequested(now, "flood", 5*perStep)
		w.RecordRequested(now, "calm", perStep)
		w.RecordStarted(now, "flood", perStep*8/10)
		w.RecordStarted(now, "calm", perStep*2/10)
		w.Rank(now, "calm", 1000, configured)
	}
	flood, calm := w.Rank(now, "flood", 1000, configured), w.Rank(now, "calm", 1000, configured)
	if flood == share.Guaranteed || calm >= flood {
		t.Errorf("flood, which started four times as much, has rank %d and the other workspace %d, want the other before it and the flood not guaranteed", flood, calm)
	}
	now = now.Add(10 * time.Second)
	if got := w.Rank(now, "flood", 1000, configured); got != share.Guaranteed {
		t.Errorf("rank %d 10 s after the overload, want guaranteed", got)
	}
}
