package admit

import (
	"slices"
	"time"

	"github.com/umberhill/umberhill/internal/ids"
)

const (
	// lastResortShare is the fraction of the drain timeout for which a target that said
	// that it leaves is used if there is no other. The rest is for its last requests: the
	// target may exit once the drain timeout has passed.
	lastResortShare = 0.5
	// leavingRunTTL is how long a run that left is remembered while it is not listed, so
	// that a list from an older copy of the store does not bring it back.
	leavingRunTTL = 10 * time.Minute
)

// run identifies a run of a target wherever it listens.
type run struct {
	id          ids.Target
	startTimeMS int64
}

// recordLeaving records that a target leaves and reports whether that was new. It holds
// for the rest of the run, whatever later lists say. If the start of the run is unknown,
// it holds until the target is removed from the list or moves to another address.
func (ac *Controller) recordLeaving(now time.Time, t *target) bool {
	if !t.leavingSince.IsZero() {
		return false
	}
	t.leavingSince = now
	if t.StartTimeMS == 0 {
		return true
	}
	r := run{t.ID, t.StartTimeMS}
	if since, known := ac.leavingRuns[r]; known {
		t.leavingSince = since
		return false
	}
	ac.forgetLeavingRuns(now)
	ac.leavingRuns[r] = now
	if listed := ac.targets[t.ID]; listed != nil && listed.StartTimeMS == t.StartTimeMS {
		listed.leavingSince = now
	}
	return true
}

// leavingSince returns since when a run is known to leave, the zero time if it is not.
func (ac *Controller) leavingSince(id ids.Target, startTimeMS int64) time.Time {
	return ac.leavingRuns[run{id, startTimeMS}]
}

// forgetLeavingRuns removes the runs that have not been listed for a long time.
func (ac *Controller) forgetLeavingRuns(now time.Time) {
	for r, since := range ac.leavingRuns {
		t := ac.targets[r.id]
		isListed := t != nil && t.StartTimeMS == r.startTimeMS
		if !isListed && now.Sub(since) > leavingRunTTL {
			delete(ac.leavingRuns, r)
		}
	}
}

// isLeaving reports whether the list says that the target is draining, or the target
// itself that it leaves.
func (t *target) isLeaving() bool { return t.Draining || !t.leavingSince.IsZero() }

// isLastResort reports whether the target may be used for lack of another although it
// said that it leaves.
func (s *service) isLastResort(now time.Time, t *target) bool {
	return !t.Draining && now.Sub(t.leavingSince) < s.lastResortTime
}

// hasTarget reports whether any target of the service, except the excluded ones, may
// accept a request now or later.
func (s *service) hasTarget(now time.Time, exclude []ids.Target) bool {
	return slices.ContainsFunc(s.targets, func(t *target) bool {
		return (!t.isLeaving() || s.isLastResort(now, t)) && !slices.Contains(exclude, t.ID)
	})
}

// refuseNoTarget refuses a request because no target of the service is usable.
func (ac *Controller) refuseNoTarget(r *Request) Verdict {
	return Verdict{ID: r.ID, Refused: NoTarget, RetryAfter: ac.jitteredRetryAfter(noTargetRetryAfter)}
}
