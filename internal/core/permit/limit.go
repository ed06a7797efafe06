package permit

import (
	"math"
	"time"
)

const (
	// decrease is the factor by which a limit falls on congestion.
	decrease = 0.9
	// congestedReports in a row with waiting requests mean congestion: a
	// single one may be a slot that is just falling free.
	congestedReports = 2
	// decreasePause is the least time between two decreases; a load report
	// lags, so the effect of one must be seen before the next.
	decreasePause = time.Second
	// increaseShare of the concurrency is regained each second.
	increaseShare = 0.25
	// slowStartShare of the concurrency is what a fresh target begins with.
	slowStartShare = 0.25
)

// Limit is how many requests a target is given at a time. It falls while the
// target's own line is not empty, so that requests wait in the routers, and
// recovers by time. It never exceeds the target's concurrency.
type Limit struct {
	concurrency float64
	value       float64
	congested   int
	decreased   time.Time
	raised      time.Time
}

// NewLimit returns the limit of a target; a fresh one starts slowly.
func NewLimit(now time.Time, m Member) *Limit {
	l := &Limit{concurrency: float64(m.Concurrency), value: float64(m.Concurrency), raised: now}
	if m.Fresh {
		l.value = math.Max(1, l.concurrency*slowStartShare)
	}
	return l
}

// SetConcurrency takes in a changed concurrency.
func (l *Limit) SetConcurrency(n int) {
	if float64(n) == l.concurrency {
		return
	}
	l.concurrency = float64(n)
	l.value = math.Min(l.value, l.concurrency)
}

// Value returns the limit.
func (l *Limit) Value() int { return int(l.value) }

// Load takes in a target's lagging report.
func (l *Limit) Load(now time.Time, waiting int) {
	if waiting == 0 {
		l.congested = 0
		return
	}
	l.congested++
	if l.congested >= congestedReports {
		l.fall(now)
	}
}

// Refused takes in that the target said it is full.
func (l *Limit) Refused(now time.Time) { l.fall(now) }

func (l *Limit) fall(now time.Time) {
	if now.Sub(l.decreased) < decreasePause {
		return
	}
	l.decreased = now
	l.raised = now
	l.value = math.Max(1, math.Min(l.value, math.Floor(l.value*decrease)))
}

// Tick lets time pass: the limit recovers unless it fell lately.
func (l *Limit) Tick(now time.Time) {
	passed := now.Sub(l.raised).Seconds()
	l.raised = now
	if now.Sub(l.decreased) < decreasePause || l.congested >= congestedReports {
		return
	}
	l.value = math.Min(l.concurrency, l.value+passed*math.Max(1, l.concurrency*increaseShare))
}
