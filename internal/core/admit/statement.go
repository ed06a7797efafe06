package admit

import "time"

// Statement is what a target says of itself in a response.
type Statement struct {
	// Leaving is set if the target is about to exit.
	Leaving bool
}

// RecordStatement records what a target said of itself in the response to a request. It
// reports whether that was new.
func (ac *Controller) RecordStatement(now time.Time, id ID, st Statement) bool {
	a := ac.attempts[id]
	if a == nil {
		return false
	}
	return st.Leaving && ac.recordLeaving(now, a.target)
}
