package pressure

import "time"

const (
	// DivertShare is the refused share from which new connections are diverted: at
	// least half of the load is then better served by other instances. The diversion ends
	// below restoreShare, when most of the load has gone.
	DivertShare  = 0.5
	restoreShare = 0.1
	// divertAfter is how long the refused share must have been that high: several
	// observations, so that a short burst only leads to refusals.
	divertAfter = time.Second
	// divertAtMaxAfter is how long it must have been at its maximum. As refusals cannot relieve the
	// instance further, only fewer connections do.
	divertAtMaxAfter = 200 * time.Millisecond
	// minDiversion is the least duration of a diversion. A load balancer's health checks
	// take one or two seconds to detect it.
	minDiversion = 2 * time.Second
)

// Diverter decides when an overloaded instance takes no new connections, so that
// callers connect to other instances. The zero value diverts no connections.
//
// It handles the load in which callers with connections to one instance send it many
// times what it can serve: refusing their requests takes most of its processor time,
// and callers that reconnect reach the same instance again.
type Diverter struct {
	// overSince is when the refused share reached DivertShare, zero while it is below, and
	// maxSince when it reached its maximum.
	overSince, maxSince time.Time
	// since is when the current diversion began, zero for none.
	since time.Time
}

// Observe adds the current share of refused requests and reports whether new
// connections should go to other instances.
func (d *Diverter) Observe(now time.Time, refused float64) bool {
	switch {
	case refused < DivertShare:
		d.overSince = time.Time{}
	case d.overSince.IsZero():
		d.overSince = now
	}
	switch {
	case refused < maxShare:
		d.maxSince = time.Time{}
	case d.maxSince.IsZero():
		d.maxSince = now
	}
	switch {
	case !d.since.IsZero():
		if refused < restoreShare && now.Sub(d.since) >= minDiversion {
			d.since = time.Time{}
		}
	case isSince(d.overSince, now, divertAfter), isSince(d.maxSince, now, divertAtMaxAfter):
		d.since = now
	}
	return !d.since.IsZero()
}

// isSince reports whether something has lasted for d by now. It began at a time that is zero if it
// does not last.
func isSince(begin, now time.Time, d time.Duration) bool {
	return !begin.IsZero() && now.Sub(begin) >= d
}
