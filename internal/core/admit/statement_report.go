package admit

import (
	"time"

	"github.com/umberhill/umberhill/internal/core/targetlimit"
)

// StatementReport is what a run of a target has said to one router, or to several.
type StatementReport struct {
	Run targetlimit.Run
	// Leaving is set if the target said LeavingAge ago that it is about to exit.
	Leaving    bool
	LeavingAge time.Duration
	// TurnedAwayFor is for how long the target wants no more requests, 0 if it does not say
	// so.
	TurnedAwayFor time.Duration
	// Refused is set if a connection to the target was refused RefusedAge ago.
	Refused    bool
	RefusedAge time.Duration
	// ColdFor is for how long the target is cold as its entry states, 0 if that is no news.
	ColdFor time.Duration
}

// LocalStatements returns what listed targets have said to this router itself. What it knows
// from others it does not pass on, so that statements do not circulate.
func (ac *Controller) LocalStatements(now time.Time) []StatementReport {
	var out []StatementReport
	for _, t := range ac.targets {
		r := StatementReport{Run: t.run, TurnedAwayFor: max(0, t.stated.heardTurnAwayUntil.Sub(now))}
		if at := t.stated.heardLeavingAt; !at.IsZero() {
			r.Leaving, r.LeavingAge = true, now.Sub(at)
		}
		if at, ok := ac.reportedRefusal(now, t); ok {
			r.Refused, r.RefusedAge = true, now.Sub(at)
		}
		r.ColdFor = ac.reportedColdTime(now, t)
		if r.Leaving || r.TurnedAwayFor > 0 || r.Refused || r.ColdFor > 0 {
			out = append(out, r)
		}
	}
	return out
}

// ApplyStatements applies what listed targets have said to other routers.
func (ac *Controller) ApplyStatements(now time.Time, reports []StatementReport) {
	if len(reports) == 0 {
		return
	}
	byRun := make(map[targetlimit.Run]*target, len(ac.targets))
	for _, t := range ac.targets {
		byRun[t.run] = t
	}
	for _, r := range reports {
		t := byRun[r.Run]
		if t == nil {
			continue
		}
		if r.Refused {
			ac.applyRefused(now, now.Add(-r.RefusedAge), t)
		}
		if r.ColdFor > 0 {
			ac.applyColdTime(now, now.Add(r.ColdFor), t)
		}
		if !r.Leaving && r.TurnedAwayFor == 0 {
			continue
		}
		stated := ac.statementsOf(now, t)
		stated.lastAt = now
		if r.Leaving {
			stated.recordLeaving(now.Add(-r.LeavingAge))
		}
		if until := now.Add(r.TurnedAwayFor); r.TurnedAwayFor > 0 && until.After(stated.turnAway.until.Add(turnAwayPrecision)) {
			stated.turnAway.extend(now, r.TurnedAwayFor+ac.returnDelay(r.TurnedAwayFor))
		}
	}
}

const (
	// turnAwayPrecision is the difference up to which two reports state the same end.
	turnAwayPrecision = 100 * time.Millisecond
	// returnDelayShare is the greatest delay, as a fraction of the time in which a target
	// wants no requests, after which a router that did not hear of it from the target
	// returns to it. It spreads the first requests of all routers.
	returnDelayShare = 0.25
)

func (ac *Controller) returnDelay(d time.Duration) time.Duration {
	return time.Duration(ac.random.Float64() * returnDelayShare * float64(d))
}

// SumStatements returns the sum of reports: for each run the earliest time at which it said
// that it leaves, the latest end of the time in which it wants no requests, the last refused
// connection, and the latest end of the time for which it is cold.
func SumStatements(reports []StatementReport) []StatementReport {
	index := make(map[targetlimit.Run]int, len(reports))
	var out []StatementReport
	for _, r := range reports {
		i, ok := index[r.Run]
		if !ok {
			index[r.Run] = len(out)
			out = append(out, r)
			continue
		}
		if r.Refused && (!out[i].Refused || r.RefusedAge < out[i].RefusedAge) {
			out[i].Refused, out[i].RefusedAge = true, r.RefusedAge
		}
		out[i].ColdFor = max(out[i].ColdFor, r.ColdFor)
		out[i].TurnedAwayFor = max(out[i].TurnedAwayFor, r.TurnedAwayFor)
		out[i].LeavingAge = max(out[i].LeavingAge, r.LeavingAge)
		out[i].Leaving = out[i].Leaving || r.Leaving
	}
	return out
}

// Aged returns the report as of a later time.
func (r StatementReport) Aged(age time.Duration) StatementReport {
	r.TurnedAwayFor = max(0, r.TurnedAwayFor-age)
	r.ColdFor = max(0, r.ColdFor-age)
	if r.Leaving {
		r.LeavingAge += age
	}
	if r.Refused {
		r.RefusedAge += age
	}
	return r
}
