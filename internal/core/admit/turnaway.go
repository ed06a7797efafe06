package admit

import (
	"slices"
	"time"

	"github.com/umberhill/umberhill/internal/ids"
)

// maxTurnAway bounds how long a target gets no requests after it said that it wants none,
// so that it does not stay out through a wrong value.
const maxTurnAway = time.Minute

// turnAway is the state of a target that turned requests away and said for how long it
// wants none. After that time it gets one request, and twice as many at the same time
// once one is accepted, until its slots do not limit it less.
type turnAway struct {
	until time.Time
	// limit is the number of unaccepted requests that may be at the target, 0 for no limit.
	limit int
	// unaccepted are the requests sent since then to which no response has started.
	unaccepted int
}

// extend records that the target wants no requests for d. It returns the time for which
// it gets none, 0 if it got none before already. An earlier statement holds for its time.
func (ta *turnAway) extend(now time.Time, d time.Duration) time.Duration {
	d = min(d, maxTurnAway)
	wasActive := ta.isActive(now)
	if until := now.Add(d); until.After(ta.until) {
		ta.until = until
	}
	ta.limit = 1
	if wasActive {
		return 0
	}
	return d
}

// isActive reports whether the target wants no requests now.
func (ta *turnAway) isActive(now time.Time) bool { return now.Before(ta.until) }

// hasRoom reports whether the target may get a request, after the time in which it wants
// none.
func (ta *turnAway) hasRoom() bool { return ta.limit == 0 || ta.unaccepted < ta.limit }

// recordSent records that a request is sent and reports whether it counts as unaccepted.
func (ta *turnAway) recordSent() bool {
	if ta.limit == 0 {
		return false
	}
	ta.unaccepted++
	return true
}

// recordEnd records that a request that was sent at sentAt no longer counts as
// unaccepted, and whether the target accepted it.
func (ta *turnAway) recordEnd(sentAt time.Time, accepted bool, slots int) {
	ta.unaccepted--
	if !accepted || ta.limit == 0 || sentAt.Before(ta.until) {
		return
	}
	if ta.limit *= 2; ta.limit >= slots {
		ta.limit = 0
	}
}

// endTurnAway records the first of the events that decide whether the target accepted
// the request: the start of the response, or the end of the attempt.
func (a *attempt) endTurnAway(accepted bool) {
	if a.isUnaccepted {
		a.isUnaccepted = false
		a.target.stated.turnAway.recordEnd(a.sentAt, accepted, max(1, a.target.Slots))
	}
}

// acceptsFrom returns the earliest time from which a target of the service, except the
// excluded ones, accepts requests, and whether there is one.
func (s *service) acceptsFrom(now time.Time, exclude []ids.Target) (from time.Time, ok bool) {
	for _, t := range s.targets {
		if t.isLeaving() && !s.isLastResort(now, t) || slices.Contains(exclude, t.ID) {
			continue
		}
		if until := t.stated.turnAway.until; !ok || until.Before(from) {
			from, ok = until, true
		}
	}
	return from, ok
}

// turnedAwayUntil returns the end of the time in which all targets of the service that do
// not leave, and that are in regions which the request may use, want no requests, and
// whether that is so.
func (s *service) turnedAwayUntil(now time.Time, r *Request) (until time.Time, ok bool) {
	for _, t := range s.targets {
		if t.isLeaving() || !r.allowsRegionOf(t.Target) {
			continue
		}
		ta := &t.stated.turnAway
		if !ta.isActive(now) {
			return time.Time{}, false
		}
		if !ok || ta.until.Before(until) {
			until, ok = ta.until, true
		}
	}
	return until, ok
}

// RefuseTurnedAway reports whether a request is refused because all targets of its service
// want no requests, and returns the verdict.
func (ac *Controller) RefuseTurnedAway(now time.Time, r Request) (Verdict, bool) {
	s := ac.services[r.Service]
	if s == nil {
		return Verdict{}, false
	}
	if _, ok := s.turnedAwayUntil(now, &r); !ok {
		return Verdict{}, false
	}
	return ac.refuseNoTarget(now, s, &r), true
}

// refuseNoTarget refuses a request because no target of the service is usable.
func (ac *Controller) refuseNoTarget(now time.Time, s *service, r *Request) Verdict {
	if until, ok := s.turnedAwayUntil(now, r); ok {
		return Verdict{ID: r.ID, Refused: TurnedAway, RetryAfter: ac.withJitter(max(until.Sub(now), minRetryAfter))}
	}
	return Verdict{ID: r.ID, Refused: NoTarget, RetryAfter: ac.jitteredRetryAfter(noTargetRetryAfter)}
}
