package permit

import (
	"math"
	"time"
)

const (
	// decreaseFactor multiplies a limit on congestion.
	decreaseFactor = 0.9
	// congestionThreshold is the number of consecutive load reports with waiting
	// requests that count as congestion. A single one may show a request that is
	// about to take a slot that has just become free.
	congestionThreshold = 2
	// minDecreaseInterval is the least time between two decreases. Load reports
	// lag, so the effect of one decrease must show before the next.
	minDecreaseInterval = time.Second
	// increaseSharePerSecond is the share of the concurrency by which a limit
	// rises per second.
	increaseSharePerSecond = 0.25
	// slowStartShare is the share of the concurrency at which slow start begins.
	slowStartShare = 0.25
)

// Limit is the adaptive concurrency limit of a target. It decreases
// multiplicatively while requests wait in the target's own queue, so that they
// wait in the routers instead, and rises linearly with time.
//
// Invariant: the limit never exceeds the target's concurrency.
type Limit struct {
	concurrency      float64
	value            float64
	congestedReports int
	decreasedAt      time.Time
	updatedAt        time.Time
}

// NewLimit returns the limit of a target: its concurrency, or a share of it for
// a target in slow start.
func NewLimit(now time.Time, m Member) *Limit {
	l := &Limit{concurrency: float64(m.Concurrency), value: float64(m.Concurrency), updatedAt: now}
	if m.SlowStart {
		l.value = math.Max(1, l.concurrency*slowStartShare)
	}
	return l
}

// SetConcurrency sets the target's concurrency in requests and lowers the limit
// to it if needed.
func (l *Limit) SetConcurrency(n int) {
	if float64(n) == l.concurrency {
		return
	}
	l.concurrency = float64(n)
	l.value = math.Min(l.value, l.concurrency)
}

// Value returns the limit in requests, rounded down.
func (l *Limit) Value() int { return int(l.value) }

// ObserveLoad records the number of requests that wait in the target's queue
// according to its load report, which lags.
func (l *Limit) ObserveLoad(now time.Time, waiting int) {
	if waiting == 0 {
		l.congestedReports = 0
		return
	}
	l.congestedReports++
	if l.congestedReports >= congestionThreshold {
		l.decrease(now)
	}
}

// ObserveRejection records that the target rejected a request because it was full.
func (l *Limit) ObserveRejection(now time.Time) { l.decrease(now) }

func (l *Limit) decrease(now time.Time) {
	if now.Sub(l.decreasedAt) < minDecreaseInterval {
		return
	}
	l.decreasedAt = now
	l.updatedAt = now
	l.value = math.Max(1, math.Min(l.value, math.Floor(l.value*decreaseFactor)))
}

// Recover raises the limit for the time since the last call, unless the limit
// has just decreased or the target is congested.
func (l *Limit) Recover(now time.Time) {
	elapsed := now.Sub(l.updatedAt).Seconds()
	l.updatedAt = now
	if now.Sub(l.decreasedAt) < minDecreaseInterval || l.congestedReports >= congestionThreshold {
		return
	}
	l.value = math.Min(l.concurrency, l.value+elapsed*math.Max(1, l.concurrency*increaseSharePerSecond))
}
