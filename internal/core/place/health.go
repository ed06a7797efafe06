package place

import "time"

const (
	// ejectAfter failures in a row take a target out.
	ejectAfter = 3
	// firstEjection is how long the first ejection lasts; each one that
	// follows without a success between lasts twice as long.
	firstEjection = time.Second
	// maxEjection bounds an ejection.
	maxEjection = 4 * time.Second
)

// Health is a router's view of whether a target works. The zero value is a
// healthy target.
type Health struct {
	failures int
	until    time.Time
	length   time.Duration
	probing  bool
}

// IsEjected tells whether the target gets no ordinary requests.
func (h *Health) IsEjected() bool { return h.length > 0 }

// IsUsable tells whether a request may go to the target: it is not ejected, or
// the ejection is over and no other probe is under way.
func (h *Health) IsUsable(now time.Time) bool {
	return h.length == 0 || (!h.probing && !now.Before(h.until))
}

// RecordStart notes that a request goes to the target.
func (h *Health) RecordStart() { h.probing = h.length > 0 }

// EndEjection ends an ejection early: there is reason to think that the target can
// be reached again.
func (h *Health) EndEjection(now time.Time) {
	if h.length > 0 {
		h.until = now
	}
}

// RecordSuccess notes a success: the target is healthy.
func (h *Health) RecordSuccess() { *h = Health{} }

// RecordCancellation notes an end that says nothing about the target.
func (h *Health) RecordCancellation() { h.probing = false }

// RecordFailure notes a failure of the target.
func (h *Health) RecordFailure(now time.Time) {
	h.failures++
	h.probing = false
	if h.failures < ejectAfter && h.length == 0 {
		return
	}
	if h.length > 0 && now.Before(h.until) {
		return
	}
	h.length = min(maxEjection, max(firstEjection, 2*h.length))
	h.until = now.Add(h.length)
}
