package pressure

import "time"

const (
	// divertShare is the refused share from which new connections are diverted: at
	// least half of the load is then better served by other instances.
	divertShare = 0.5
	// divertAfter is how long the refused share must have been that high: several
	// observations, so that a short burst only leads to refusals.
	divertAfter = time.Second
	// divertDuration is how long new connections are diverted, and longer while the
	// refused share stays that high. It is several times the one or two seconds that a
	// load balancer's health checks take to detect the change.
	divertDuration = 5 * time.Second
)

// Diverter decides when an overloaded instance takes no new connections, so that
// callers connect to other instances. The zero value diverts no connections.
//
// It handles the load in which callers with connections to one instance send it many
// times what it can serve: refusing their requests takes most of its processor time,
// and callers that reconnect reach the same instance again.
type Diverter struct {
	// overSince is when the refused share reached divertShare, zero while it is below.
	overSince time.Time
	// until is when the current diversion ends.
	until time.Time
}

// Observe adds the current share of refused requests and reports whether new
// connections should go to other instances.
func (d *Diverter) Observe(now time.Time, refused float64) bool {
	switch {
	case refused < divertShare:
		d.overSince = time.Time{}
	case d.overSince.IsZero():
		d.overSince = now
	}
	if now.Before(d.until) {
		return true
	}
	if d.overSince.IsZero() || now.Sub(d.overSince) < divertAfter {
		return false
	}
	d.until = now.Add(divertDuration)
	return true
}
