package speed

import (
	"math"
	"time"
)

const (
	// maxLogRatio bounds the logarithm of one observed ratio, so that a single request that
	// hung does not count as dozens of slow ones: a factor of 6 is beyond the slowdowns
	// that targets are known to have.
	maxLogRatio = 1.8
	// factorTTL is how long a computed factor is used: well below the time in which a
	// slowdown is noticed.
	factorTTL = 20 * time.Millisecond
	// reportInterval is the time between two reports of the same target.
	reportInterval = time.Second
	// changeInterval is that for a target that has changed much.
	changeInterval = 100 * time.Millisecond
	// reportedSurprise is the sum of the deviations of observations from the estimate, as
	// logarithms, from which they are reported without waiting for reportInterval: that of
	// a single response at a target that has slowed by 1.6.
	reportedSurprise = 0.5
)

// Target is what one router knows of the speed of one run of a target.
type Target struct {
	// fleet are the observations of all routers, those included that this router has
	// reported. pending are those that it has not.
	fleet, pending datedSums

	estimate   Estimate
	estimateAt time.Time
	factor     float64

	reportedAt time.Time
}

// Observe adds an observation of this router. presentWeight, from 0 to 1, is the weight
// that it has in the present speed: less if it spans a long time.
func (t *Target) Observe(now time.Time, observed, expected time.Duration, presentWeight float64) {
	ratio := math.Log(float64(max(observed, time.Millisecond)) / float64(max(expected, time.Millisecond)))
	ratio = min(max(ratio, -maxLogRatio), maxLogRatio)
	t.pending.add(now, Sums{
		Lasting: Mean{Weight: 1, Sum: ratio},
		Present: Mean{Weight: presentWeight, Sum: presentWeight * ratio},
	})
	t.estimateAt = time.Time{}
}

// AddObservations adds what another router has observed since its last report.
func (t *Target) AddObservations(now time.Time, s Sums) {
	t.fleet.add(now, s)
	t.estimateAt = time.Time{}
}

// SetFleet replaces the observations of all routers, as summed up by a hub.
func (t *Target) SetFleet(now time.Time, s Sums) {
	t.fleet = datedSums{at: now, Sums: s}
	t.estimateAt = time.Time{}
}

// IsObserved reports whether anything has been observed.
func (t *Target) IsObserved() bool { return t.fleet.Lasting.Weight > 0 || t.pending.Lasting.Weight > 0 }

// Observations returns the number of observations, older ones counting less.
func (t *Target) Observations(now time.Time) float64 { return t.total(now).Lasting.Weight }

// total returns the observations of all routers.
func (t *Target) total(now time.Time) Sums { return t.fleet.asOf(now).Add(t.pending.asOf(now)) }

// Factor returns the factor by which the target's latency exceeds that of a target of mean
// speed, with the center of the targets' logarithms.
func (t *Target) Factor(now time.Time, center float64) float64 {
	if now.Sub(t.estimateAt) > factorTTL {
		t.update(now, center)
	}
	return t.factor
}

// Estimate returns the estimate on which Factor is based.
func (t *Target) Estimate(now time.Time, center float64) Estimate {
	t.Factor(now, center)
	return t.estimate
}

func (t *Target) update(now time.Time, center float64) {
	t.estimateAt = now
	if t.fleet.IsEmpty() && t.pending.IsEmpty() {
		t.estimate, t.factor = Estimate{}, 1
		return
	}
	t.estimate = t.total(now).Estimate(center)
	t.factor = t.estimate.Factor()
}

// TakeReport returns the observations that have not been reported if they are due.
func (t *Target) TakeReport(now time.Time, center float64) (Sums, bool) {
	since := now.Sub(t.reportedAt)
	if t.pending.IsEmpty() || since < changeInterval {
		return Sums{}, false
	}
	s := t.pending.asOf(now)
	if since < reportInterval {
		e := t.fleet.asOf(now).Estimate(center)
		expected := center + e.Lasting + e.Present
		if math.Abs(s.Present.Sum-expected*s.Present.Weight) < reportedSurprise {
			return Sums{}, false
		}
	}
	t.reportedAt = now
	t.fleet.add(now, s)
	t.pending = datedSums{}
	return s, !s.IsEmpty()
}
