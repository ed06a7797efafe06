package edge

import (
	"context"
	"math"
	"math/rand/v2"
	"net/http"
	"runtime/metrics"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/umberhill/umberhill/internal/core/pressure"
	"github.com/umberhill/umberhill/internal/ids"
	"github.com/umberhill/umberhill/internal/linkload"
)

const (
	// observeInterval is the interval at which scheduling delays are observed.
	observeInterval = 50 * time.Millisecond
	// schedLatencyMetric is the runtime's histogram of the time that goroutines were
	// runnable before they ran. The lateness of a timer does not show this delay,
	// since the runtime runs expired timers first.
	schedLatencyMetric = "/sched/latencies:seconds"
	// delayQuantile is the quantile of the scheduling delays that is observed.
	delayQuantile = 0.9
	// busyRetryAfter is the Retry-After of a caller whose retry reaches another router or this
	// one once it accepts all load. While it accepts a share of its load, a caller would be accepted
	// after one over that share such retries on average, and comes back after that time at once:
	// the retries would take the processor time of the requests that are accepted.
	// maxBusyRetryAfter bounds it, and is that of a router which the load balancer has yet to take
	// out of rotation, which takes some seconds. All have a jitter of up to twice their value.
	busyRetryAfter    = 100 * time.Millisecond
	maxBusyRetryAfter = time.Second
	// diversionChecks is the number of negative answers to its health checks after which a
	// load balancer is taken to have taken the router out of rotation.
	diversionChecks = 2
	// closeShare is the share of the refused callers that are asked to connect anew while
	// connections are diverted. It is small, so that the load spreads over other routers
	// instead of reaching the next one all at once.
	closeShare = 0.1
)

// LoadShedder refuses a share of the requests while this router is overloaded. The
// measures of overload are the delay with which runnable goroutines are scheduled, and the
// use of the network link.
type LoadShedder struct {
	// refuseShare is the share of requests to refuse, and linkShare that for the link alone,
	// as bits of a float64.
	refuseShare  atomic.Uint64
	linkShare    atomic.Uint64
	shouldDivert atomic.Bool
	// delay is the smoothed scheduling delay as a time.Duration.
	delay atomic.Int64
	// negativeChecks counts the load balancer's health checks answered since connections
	// should be diverted.
	negativeChecks atomic.Int32

	// linkMeter meters the router's network link. It may be nil.
	linkMeter *linkload.Meter
	// controller, linkController and diverter are used only by the goroutine that calls
	// Observe.
	controller     pressure.ShareController
	linkController pressure.LinkController
	diverter       pressure.Diverter

	// draw returns random numbers in [0, 1), nil for those of rand.Float64.
	draw func() float64

	mu      sync.Mutex
	shedder pressure.Shedder

	latenessMu sync.Mutex
	lateness   pressure.Lateness
}

// errNoHistogram is the error of Run if the runtime does not provide the histogram.
// The router then never refuses a request for its own overload or that of its link.
var errNoHistogram = errors.New("the Go runtime provides no histogram " + schedLatencyMetric)

// Run observes the scheduling delays of goroutines until ctx is done. It returns an
// error if the runtime does not provide them.
func (l *LoadShedder) Run(ctx context.Context) error {
	sample := []metrics.Sample{{Name: schedLatencyMetric}}
	var last []uint64
	ticker := time.NewTicker(observeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		metrics.Read(sample)
		if sample[0].Value.Kind() != metrics.KindFloat64Histogram {
			return errNoHistogram
		}
		h := sample[0].Value.Float64Histogram()
		l.Observe(time.Now(), quantileSince(h, last))
		last = append(last[:0], h.Counts...)
	}
}

// SetLinkMeter sets the meter of the router's link. It must be called before Run.
func (l *LoadShedder) SetLinkMeter(m *linkload.Meter) { l.linkMeter = m }

// Observe updates the shedder with a scheduling delay and the use of the link. Run calls it.
// It must not be called by several goroutines.
func (l *LoadShedder) Observe(now time.Time, delay time.Duration) {
	l.latenessMu.Lock()
	l.lateness.Observe(now, delay, observeInterval)
	l.latenessMu.Unlock()
	linkShare := l.linkController.Observe(l.linkMeter.Use(now))
	l.linkShare.Store(math.Float64bits(linkShare))
	share := max(l.controller.Observe(delay), linkShare)
	l.delay.Store(int64(l.controller.Delay()))
	l.refuseShare.Store(math.Float64bits(share))
	overload := share
	if l.linkController.IsReceivingFull() {
		overload = max(overload, pressure.DivertShare)
	}
	shouldDivert := l.diverter.Observe(now, overload)
	if !shouldDivert {
		l.negativeChecks.Store(0)
	}
	l.shouldDivert.Store(shouldDivert)
}

// CheckDivert answers a health check of the load balancer: it reports whether new
// connections should go to other routers.
func (l *LoadShedder) CheckDivert() bool {
	if !l.ShouldDivert() {
		return false
	}
	l.negativeChecks.Add(1)
	return true
}

// newRefusal returns the refusal of a request for the router's own load.
func (l *LoadShedder) newRefusal() *refusal {
	f := &refusal{status: http.StatusServiceUnavailable, reason: "router_busy"}
	base := min(time.Duration(float64(busyRetryAfter)/(1-l.RefuseShare())), maxBusyRetryAfter)
	switch {
	case !l.ShouldDivert():
	case l.negativeChecks.Load() < diversionChecks:
		base = maxBusyRetryAfter
	default:
		if f.closesConn = l.random() < closeShare; f.closesConn {
			base = busyRetryAfter
		}
	}
	f.retryAfter = withJitter(base, l.random())
	return f
}

// quantileSince returns the delayQuantile of the values that were added to a
// histogram since it had the counts last.
func quantileSince(h *metrics.Float64Histogram, last []uint64) time.Duration {
	var total uint64
	added := func(i int) uint64 {
		if i < len(last) {
			return h.Counts[i] - last[i]
		}
		return h.Counts[i]
	}
	for i := range h.Counts {
		total += added(i)
	}
	rank := uint64(delayQuantile * float64(total))
	for i := range h.Counts {
		count := added(i)
		if count > rank {
			return time.Duration(max(0, h.Buckets[i]) * float64(time.Second))
		}
		rank -= count
	}
	return 0
}

// ShouldDivert reports whether new connections should go to other routers, since
// this router has refused a large share of its load for some time, or what it receives has
// filled its link.
func (l *LoadShedder) ShouldDivert() bool { return l.shouldDivert.Load() }

// RefuseShare returns the share of the requests to refuse, 0 to 1.
func (l *LoadShedder) RefuseShare() float64 { return math.Float64frombits(l.refuseShare.Load()) }

// Delay returns the smoothed delay with which runnable goroutines are scheduled.
func (l *LoadShedder) Delay() time.Duration { return time.Duration(l.delay.Load()) }

// LatenessSince returns the longest time since the given one for which this router did not run what
// was due.
func (l *LoadShedder) LatenessSince(since time.Time) time.Duration {
	l.latenessMu.Lock()
	defer l.latenessMu.Unlock()
	return l.lateness.Since(time.Now(), since)
}

// LinkRefuseShare returns the share of the requests that the use of the link alone requires
// to refuse, 0 to 1.
func (l *LoadShedder) LinkRefuseShare() float64 { return math.Float64frombits(l.linkShare.Load()) }

// shouldRefuse reports whether to refuse a request of a workspace.
func (l *LoadShedder) shouldRefuse(now time.Time, ws ids.Workspace) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.shedder.ShouldRefuse(now, ws, l.RefuseShare(), l.random())
}

func (l *LoadShedder) random() float64 {
	if l.draw != nil {
		return l.draw()
	}
	return rand.Float64()
}

// withJitter returns a time between d and three times d for a random number in [0, 1), so
// that callers that were refused together do not return together.
func withJitter(d time.Duration, random float64) time.Duration {
	return d + time.Duration(2*random*float64(d))
}
