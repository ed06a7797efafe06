package edge

import (
	"context"
	"math"
	"math/rand/v2"
	"runtime/metrics"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/umberhill/umberhill/internal/core/pressure"
	"github.com/umberhill/umberhill/internal/ids"
)

const (
	// pressureTick, untuned, is the interval at which delays are observed.
	pressureTick = 50 * time.Millisecond
	// latencies is the runtime's histogram of the time that goroutines were
	// ready before they ran: a timer's own lateness does not show it, since the
	// runtime lets woken timers go first.
	latencies = "/sched/latencies:seconds"
	// latePart is the quantile of the delays that is observed.
	latePart = 0.9
	// busyRetryFirst and busyRetrySpread make the Retry-After of a busy router:
	// soon, since a caller comes back at another one.
	busyRetryFirst  = 100 * time.Millisecond
	busyRetrySpread = 200 * time.Millisecond
)

// Pressure knows which share of the requests this router must refuse to keep up.
type Pressure struct {
	share    atomic.Uint64
	relieved atomic.Bool

	// gauge and relief belong to the goroutine that observes.
	gauge  pressure.RateController
	relief pressure.Diverter

	mu   sync.Mutex
	shed pressure.Shedder
}

// errNoDelays: without the histogram the router never refuses for its own sake.
var errNoDelays = errors.New("the runtime has no histogram " + latencies)

// Run observes the delays of goroutines until ctx ends.
func (p *Pressure) Run(ctx context.Context) error {
	sample := []metrics.Sample{{Name: latencies}}
	var last []uint64
	ticker := time.NewTicker(pressureTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		metrics.Read(sample)
		if sample[0].Value.Kind() != metrics.KindFloat64Histogram {
			return errNoDelays
		}
		h := sample[0].Value.Float64Histogram()
		p.Observe(time.Now(), lateQuantile(h, last))
		last = append(last[:0], h.Counts...)
	}
}

// Observe takes by how much work was late. Run calls it; it is for one goroutine.
func (p *Pressure) Observe(now time.Time, late time.Duration) {
	share := p.gauge.Observe(late)
	p.share.Store(math.Float64bits(share))
	p.relieved.Store(p.relief.Observe(now, share))
}

// lateQuantile returns the quantile latePart of what came to a histogram since
// the counts last.
func lateQuantile(h *metrics.Float64Histogram, last []uint64) time.Duration {
	var total uint64
	since := func(i int) uint64 {
		if i < len(last) {
			return h.Counts[i] - last[i]
		}
		return h.Counts[i]
	}
	for i := range h.Counts {
		total += since(i)
	}
	left := uint64(latePart * float64(total))
	for i := range h.Counts {
		n := since(i)
		if n > left {
			return time.Duration(max(0, h.Buckets[i]) * float64(time.Second))
		}
		left -= n
	}
	return 0
}

// Relieved tells whether new connections should go to other routers, since this one
// has refused much of its load for a while.
func (p *Pressure) Relieved() bool { return p.relieved.Load() }

// Share is the share to refuse.
func (p *Pressure) Share() float64 { return math.Float64frombits(p.share.Load()) }

// refuses decides on one request of a workspace.
func (p *Pressure) refuses(ws ids.Workspace) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.shed.ShouldRefuse(time.Now(), ws, p.Share(), rand.Float64())
}

func busyRetry() time.Duration {
	return busyRetryFirst + time.Duration(rand.Float64()*float64(busyRetrySpread))
}
