package admit

import (
	"math"
	"time"
)

// Shorter pauses bring no benefit (see docs/incidents/ledus-inc-325d.md).
const (
	// minPause and maxPause bound the time for which an unreachable target gets no
	// requests. It doubles with each failed probe.
	minPause = 300 * time.Millisecond
	maxPause = 3 * time.Second
	// failureWeight is the weight of one result in the failure rate.
	failureWeight = 0.15
	// failureHalfLife is the time in which a failure rate halves without new results,
	// so that a target that was avoided gets requests again.
	failureHalfLife = 3 * time.Second
	// failurePenalty is what a failure rate of one adds to the expected latency.
	failurePenalty = 3 * time.Second
)

// health is a target's health, derived from the results of its requests.
type health struct {
	// failures counts consecutive attempts that could not connect to the target;
	// pausedUntil is the end of the pause after them.
	failures    int
	pausedUntil time.Time
	// probe is the request that tests the target after a pause, 0 for none.
	probe ID

	failureRate   float64
	failureRateAt time.Time
}

// isAvailable reports whether a request may be sent to the target. After a pause one
// request at a time may, until one succeeds.
func (h *health) isAvailable(now time.Time) bool {
	if h.failures == 0 {
		return true
	}
	return !now.Before(h.pausedUntil) && h.probe == 0
}

func (h *health) recordSent(id ID) {
	if h.failures > 0 {
		h.probe = id
	}
}

func (h *health) recordResult(now time.Time, id ID, r Result) {
	if h.probe == id {
		h.probe = 0
	}
	switch r {
	case Unreachable:
		pause := minPause << min(h.failures, 8)
		h.failures++
		h.pausedUntil = now.Add(min(pause, maxPause))
		h.updateFailureRate(now, 1)
	case Replaced:
		// The target list has not been updated yet; until it is, further requests would
		// reach the wrong target.
		h.failures++
		h.pausedUntil = now.Add(maxPause)
	case Failed:
		h.updateFailureRate(now, 1)
	case Served:
		h.failures = 0
		h.updateFailureRate(now, 0)
	case Rejected:
		// A target that rejects requests because it is full is reachable and has not
		// failed.
		h.failures = 0
	case Canceled:
	}
}

func (h *health) updateFailureRate(now time.Time, failed float64) {
	h.failureRate = h.recentFailureRate(now)*(1-failureWeight) + failed*failureWeight
	h.failureRateAt = now
}

// recentFailureRate returns the failure rate with its decay since the last result.
func (h *health) recentFailureRate(now time.Time) float64 {
	if h.failureRate == 0 {
		return 0
	}
	halfLives := now.Sub(h.failureRateAt).Seconds() / failureHalfLife.Seconds()
	return h.failureRate * math.Exp2(-halfLives)
}

// penalty returns the latency added to the target's cost for its failure rate.
func (h *health) penalty(now time.Time) time.Duration {
	return time.Duration(h.recentFailureRate(now) * float64(failurePenalty))
}
