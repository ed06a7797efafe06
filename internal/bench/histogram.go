package bench

import (
	"sync"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"
)

const (
	histLowest  = int64(1)
	histHighest = int64(10 * time.Minute / time.Microsecond)
	histDigits  = 3
)

// durationHistogram is a histogram of durations. It is safe for concurrent use.
type durationHistogram struct {
	mu   sync.Mutex
	hist *hdr.Histogram
}

func newDurationHistogram() *durationHistogram {
	return &durationHistogram{hist: hdr.New(histLowest, histHighest, histDigits)}
}

func (t *durationHistogram) add(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	_ = t.hist.RecordValue(max(histLowest, min(d.Microseconds(), histHighest)))
}

// quantile returns the duration that the given percentage of the recorded
// durations do not exceed.
func (t *durationHistogram) quantile(percent float64) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return time.Duration(t.hist.ValueAtQuantile(percent)) * time.Microsecond
}

func (t *durationHistogram) count() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.hist.TotalCount()
}

// milliseconds returns a duration in ms.
func milliseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}
