package admit

import (
	"time"

	"github.com/umberhill/umberhill/internal/core/targetlimit"
	"github.com/umberhill/umberhill/internal/ids"
)

// statementTTL is how long the statements of a run are remembered while it is not listed,
// so that a list from an older copy of the store does not undo them.
const statementTTL = 10 * time.Minute

// Statement is what a target says of itself in a response.
type Statement struct {
	// Leaving is set if the target is about to exit.
	Leaving bool
	// RetryAfter is how long the target wants no requests from this router, 0 if it does
	// not say so.
	RetryAfter time.Duration
	// Limit is what the response says of the rate that the target takes.
	Limit targetlimit.Statement
}

// IsEmpty reports whether the response says nothing of the target. One that names no limit
// may end an earlier one.
func (st Statement) IsEmpty() bool {
	return !st.Leaving && st.RetryAfter == 0 && st.Limit.PerSecond == 0 && !st.Limit.Malformed
}

// run identifies a run of a target wherever it listens.
type run struct {
	id          ids.Target
	startTimeMS int64
}

// statements are what one run of a target has said of itself.
type statements struct {
	lastAt time.Time
	// leavingSince is when the target first said that it leaves, zero if it has not.
	leavingSince time.Time
	turnAway     turnAway
	// heardLeavingAt and heardTurnAwayUntil are what this router has heard from the target
	// itself. The rest is known from other routers.
	heardLeavingAt, heardTurnAwayUntil time.Time
	// refusedAt is when a router's connection was last refused, heardRefusedAt the same for
	// this router's.
	refusedAt, heardRefusedAt time.Time
}

// RecordStatement records what a target said of itself in the response to a request. It
// returns what was new in it, with the time for which the target gets no requests.
func (ac *Controller) RecordStatement(now time.Time, id ID, st Statement) Statement {
	a := ac.attempts[id]
	if a == nil {
		return Statement{}
	}
	news := Statement{Limit: ac.recordLimit(now, a, st.Limit)}
	if !st.Leaving && st.RetryAfter == 0 {
		return news
	}
	stated := ac.statementsOf(now, a.target)
	stated.lastAt = now
	if st.Leaving && stated.heardLeavingAt.IsZero() {
		stated.heardLeavingAt = now
		news.Leaving = stated.recordLeaving(now)
	}
	if st.RetryAfter > 0 {
		if until := now.Add(min(st.RetryAfter, maxTurnAway)); until.After(stated.heardTurnAwayUntil) {
			stated.heardTurnAwayUntil = until
		}
		news.RetryAfter = stated.turnAway.extend(now, st.RetryAfter)
	}
	return news
}

// recordLeaving records that the target said at a time that it leaves, and reports whether
// that is new.
func (st *statements) recordLeaving(at time.Time) bool {
	if !st.leavingSince.IsZero() {
		return false
	}
	st.leavingSince = at
	return true
}

// statementsOf returns the statements to which a target's new one is added. They hold for
// the run, even if its entry was removed or replaced since. If the start of the run is
// unknown, they hold until the entry is removed or its address changes.
func (ac *Controller) statementsOf(now time.Time, t *target) *statements {
	if t.StartTimeMS == 0 {
		return t.stated
	}
	r := run{t.ID, t.StartTimeMS}
	if stated := ac.statements[r]; stated != nil {
		return stated
	}
	if listed := ac.targets[t.ID]; listed != nil && listed.StartTimeMS == t.StartTimeMS {
		t = listed
	}
	ac.forgetStatements(now)
	ac.statements[r] = t.stated
	return t.stated
}

// forgetStatements removes the statements of the runs that have not been listed for a
// long time.
func (ac *Controller) forgetStatements(now time.Time) {
	for r, stated := range ac.statements {
		t := ac.targets[r.id]
		isListed := t != nil && t.StartTimeMS == r.startTimeMS
		if !isListed && now.Sub(stated.lastAt) > statementTTL {
			delete(ac.statements, r)
		}
	}
}
