package pressure

import "time"

const (
	// DivertShare is the refused share from which new connections are diverted: at
	// least half of the load is then better served by other instances. The diversion ends
	// below restoreShare, when most of the load has gone.
	DivertShare  = 0.5
	restoreShare = 0.1
	// divertAfter is how long the refused share must have been that high: several
	// observations, so that a short burst only leads to refusals. Times below it subtract
	// calmWeight of their length, since the share of an overload oscillates.
	divertAfter = time.Second
	calmWeight  = 0.25
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
	// over is for how long the refused share has been at least DivertShare, up to divertAfter, as
	// of observedAt.
	over       time.Duration
	observedAt time.Time
	// maxSince is when the share reached its maximum, zero while it is below.
	maxSince time.Time
	// since is when the current diversion began, zero for none.
	since time.Time
}

// Observe adds the current share of refused requests and reports whether new
// connections should go to other instances.
func (d *Diverter) Observe(now time.Time, refused float64) bool {
	d.updateOver(now, refused)
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
	case d.over >= divertAfter, !d.maxSince.IsZero() && now.Sub(d.maxSince) >= divertAtMaxAfter:
		d.since = now
	}
	return !d.since.IsZero()
}

func (d *Diverter) updateOver(now time.Time, refused float64) {
	elapsed := time.Duration(0)
	if !d.observedAt.IsZero() {
		elapsed = now.Sub(d.observedAt)
	}
	d.observedAt = now
	if refused >= DivertShare {
		d.over = min(d.over+elapsed, divertAfter)
		return
	}
	d.over = max(0, d.over-time.Duration(calmWeight*float64(elapsed)))
}
