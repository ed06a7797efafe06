package edge

import (
	"runtime/metrics"
	"testing"
	"time"
)

func TestQuantileIsThatOfWhatCameSince(t *testing.T) {
	h := &metrics.Float64Histogram{Counts: []uint64{100, 10, 5}, Buckets: []float64{0, 0.001, 0.01, 0.1}}
	if got := lateQuantile(h, nil); got != time.Millisecond {
		t.Errorf("of all %v", got)
	}
	if got := lateQuantile(h, []uint64{100, 10, 0}); got != 10*time.Millisecond {
		t.Errorf("of the last five %v", got)
	}
	if got := lateQuantile(h, h.Counts); got != 0 {
		t.Errorf("of nothing %v", got)
	}
}
