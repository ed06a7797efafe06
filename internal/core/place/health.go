package place

import "time"

const (
	// ejectionThreshold is the number of consecutive failures that eject a target.
	ejectionThreshold = 3
	// firstEjection is the duration of the first ejection. Each further ejection
	// without a success in between lasts twice as long.
	firstEjection = time.Second
	// maxEjection bounds the duration of an ejection.
	maxEjection = 4 * time.Second
)

// Health is a router's outlier detection for one target. The zero value is a healthy
// target.
type Health struct {
	failures         int
	ejectedUntil     time.Time
	ejectionDuration time.Duration
	probing          bool
}

// IsEjected reports whether the target is ejected and gets no requests but probes.
func (h *Health) IsEjected() bool { return h.ejectionDuration > 0 }

// IsUsable reports whether a request may be sent to the target: it is not ejected, or
// the ejection time is over and no probe is under way.
func (h *Health) IsUsable(now time.Time) bool {
	return h.ejectionDuration == 0 || (!h.probing && !now.Before(h.ejectedUntil))
}

// RecordStart records that a request is sent to the target.
func (h *Health) RecordStart() { h.probing = h.ejectionDuration > 0 }

// AllowProbe ends the ejection time early, because the target may be reachable again.
// The target stays ejected until a probe succeeds.
func (h *Health) AllowProbe(now time.Time) {
	if h.ejectionDuration > 0 {
		h.ejectedUntil = now
	}
}

// RecordSuccess records a successful request, which makes the target healthy.
func (h *Health) RecordSuccess() { *h = Health{} }

// RecordCancellation records the end of a request that does not indicate whether the
// target works.
func (h *Health) RecordCancellation() { h.probing = false }

// RecordFailure records a failure of the target. It ejects the target at
// ejectionThreshold consecutive failures, and again if a probe fails.
func (h *Health) RecordFailure(now time.Time) {
	h.failures++
	h.probing = false
	if h.failures < ejectionThreshold && h.ejectionDuration == 0 {
		return
	}
	if h.ejectionDuration > 0 && now.Before(h.ejectedUntil) {
		return
	}
	h.ejectionDuration = min(maxEjection, max(firstEjection, 2*h.ejectionDuration))
	h.ejectedUntil = now.Add(h.ejectionDuration)
}
