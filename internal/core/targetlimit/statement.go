package targetlimit

import (
	"math"
	"time"
)

const (
	// minPerSecond is the least rate at which a target gets requests, so that the end of a
	// limit is noticed.
	minPerSecond = 0.5
	// holdTime is the least time for which a limit holds after it was named.
	holdTime = time.Second
	// successLifetime is how long a limit holds that no response confirms or ends,
	// failureLifetime the same for a target that names its limit only in failures.
	successLifetime = 30 * time.Second
	failureLifetime = 5 * time.Second
	// doublingTime is the time in which the rate doubles after the end of a limit, and
	// rampTime how long the rate is bounded then.
	doublingTime = time.Second
	rampTime     = 4 * time.Second
)

// Statement is what a response says of the rate that its target accepts.
type Statement struct {
	// PerSecond is the number of requests per second that the target accepts from the
	// whole fleet, 0 if the response names no limit.
	PerSecond float64
	// Malformed is set if the response names a limit that is not valid. It says nothing then.
	Malformed bool
	// Failure is set if the target failed the request or did not run it.
	Failure bool
}

// stated is what the responses of one run of a target have said of its limit.
type stated struct {
	perSecond float64
	// namedAt is when a response last named the limit, unnamedAt when one last named none,
	// firstUnnamedAt when one first did so after namedAt.
	namedAt, unnamedAt, firstUnnamedAt time.Time
	// bySuccess is set if a successful response has named the limit. Otherwise a success
	// without it does not end it.
	bySuccess bool
}

// record applies the statement of a response to a request that was sent at sentAt. The
// target may have sent a response without a limit before the last one that named it, unless
// it had not got the request by then.
func (s *stated) record(now, sentAt time.Time, st Statement) {
	switch {
	case st.Malformed:
	case st.PerSecond > 0:
		s.perSecond, s.namedAt = st.PerSecond, now
		s.bySuccess = s.bySuccess || !st.Failure
	case sentAt.After(s.namedAt) && (st.Failure || s.bySuccess):
		s.recordUnnamed(now)
	}
}

func (s *stated) recordUnnamed(at time.Time) {
	s.unnamedAt = at
	if !s.firstUnnamedAt.After(s.namedAt) {
		s.firstUnnamedAt = at
	}
}

// merge applies what other responses have said. The latest of them counts.
func (s *stated) merge(o stated) {
	if o.namedAt.After(s.namedAt) {
		s.perSecond, s.namedAt = o.perSecond, o.namedAt
	}
	s.bySuccess = s.bySuccess || o.bySuccess
	if o.unnamedAt.After(s.unnamedAt) {
		s.recordUnnamed(o.unnamedAt)
	}
}

// endsAt returns when the limit ends as far as is known.
func (s *stated) endsAt() time.Time {
	lifetime := successLifetime
	if !s.bySuccess {
		lifetime = failureLifetime
	}
	end := s.namedAt.Add(lifetime)
	if !s.firstUnnamedAt.After(s.namedAt) {
		return end
	}
	if held := s.namedAt.Add(holdTime); held.After(s.firstUnnamedAt) {
		return held
	}
	return s.firstUnnamedAt
}

// perSecondAt returns the rate that the target accepts, and false if it is not limited.
func (s *stated) perSecondAt(now time.Time) (perSecond float64, limited bool) {
	if s.namedAt.IsZero() {
		return 0, false
	}
	perSecond = max(s.perSecond, minPerSecond)
	ended := now.Sub(s.endsAt())
	switch {
	case ended >= rampTime:
		return 0, false
	case ended > 0:
		perSecond *= math.Exp2(ended.Seconds() / doublingTime.Seconds())
	}
	return perSecond, true
}
