package admit

import "time"

// lastResortShare is the fraction of the drain timeout for which a target that said that
// it leaves is used if there is no other. The rest is for its last requests: the target
// may exit once the drain timeout has passed.
const lastResortShare = 0.5

// isLeaving reports whether the list says that the target is draining, the target itself
// that it leaves, or the operator that its domain is evacuated.
func (t *target) isLeaving() bool {
	return t.Draining || t.isEvacuated || !t.stated.leavingSince.IsZero()
}

// isLastResort reports whether the target may be used for lack of another although it
// said that it leaves. One of an evacuated domain may not: the operator's instruction
// outweighs the request.
func (s *service) isLastResort(now time.Time, t *target) bool {
	return !t.Draining && !t.isEvacuated && now.Sub(t.stated.leavingSince) < s.lastResortTime
}
