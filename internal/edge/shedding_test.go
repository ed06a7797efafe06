package edge

import (
	"runtime/metrics"
	"testing"
	"time"
)

// The runtime's histogram is cumulative. Without the difference to the last
// counts, old delays would outweigh new ones and an overload would go undetected.
func TestQuantileSinceIgnoresEarlierValues(t *testing.T) {
	h := &metrics.Float64Histogram{Counts: []uint64{100, 10, 5}, Buckets: []float64{0, 0.001, 0.01, 0.1}}
	if got := quantileSince(h, nil); got != time.Millisecond {
		t.Errorf("quantile of all values: got %v, want 1ms", got)
	}
	if got := quantileSince(h, []uint64{100, 10, 0}); got != 10*time.Millisecond {
		t.Errorf("quantile of the last five values: got %v, want 10ms", got)
	}
	if got := quantileSince(h, h.Counts); got != 0 {
		t.Errorf("quantile of no values: got %v, want 0", got)
	}
}
