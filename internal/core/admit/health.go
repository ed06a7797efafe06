package admit

import (
	"math"
	"time"
)

// Untuned first values; shorter pauses made no difference on the bench
// (docs/incidents/ledus-inc-325d.md).
const (
	// downFirst and downLast bound the time for which an unreachable target is
	// left alone; it doubles with each failed trial.
	downFirst = 300 * time.Millisecond
	downLast  = 3 * time.Second
	// failWeight is the weight of one result in the failure rate.
	failWeight = 0.15
	// failHalfLife is the time in which a failure rate halves without results,
	// so that a target that was avoided is tried again.
	failHalfLife = 3 * time.Second
	// failPenalty is what a failure rate of one adds to the expected latency.
	failPenalty = 3 * time.Second
)

// health is what the results of a target's requests say about it.
type health struct {
	// failures of connections in a row, and the end of the pause after them.
	failures  int
	downUntil time.Time
	// trial is the request that tries the target after a pause.
	trial ID

	failRate float64
	failAt   time.Time
}

// open tells whether requests may go to the target; after a pause one at a time
// may, until it succeeds.
func (h *health) open(now time.Time) bool {
	if h.failures == 0 {
		return true
	}
	return !now.Before(h.downUntil) && h.trial == 0
}

func (h *health) sent(id ID) {
	if h.failures > 0 {
		h.trial = id
	}
}

func (h *health) result(now time.Time, id ID, r Result) {
	if h.trial == id {
		h.trial = 0
	}
	switch r {
	case Unreachable:
		pause := downFirst << min(h.failures, 8)
		h.failures++
		h.downUntil = now.Add(min(pause, downLast))
		h.observe(now, 1)
	case Replaced:
		// The list lags; until it follows nothing is gained there.
		h.failures++
		h.downUntil = now.Add(downLast)
	case Failed:
		h.observe(now, 1)
	case Served:
		h.failures = 0
		h.observe(now, 0)
	case Rejected:
		// A full target is reachable, and not at fault.
		h.failures = 0
	case Left:
	}
}

func (h *health) observe(now time.Time, failed float64) {
	h.failRate = h.rate(now)*(1-failWeight) + failed*failWeight
	h.failAt = now
}

// rate is the share of failures lately.
func (h *health) rate(now time.Time) float64 {
	if h.failRate == 0 {
		return 0
	}
	age := now.Sub(h.failAt).Seconds() / failHalfLife.Seconds()
	return h.failRate * math.Exp2(-age)
}

func (h *health) penalty(now time.Time) time.Duration {
	return time.Duration(h.rate(now) * float64(failPenalty))
}
