package targetlimit

import (
	"slices"
	"time"

	"github.com/umberhill/umberhill/internal/ids"
)

const (
	// demandWindow is the time constant with which past requests count as demand.
	demandWindow = 2 * time.Second
	// waitingWeight is the demand of a request that waits, in requests per second.
	waitingWeight = 2
)

// RecordRequest records that a request for the service has arrived, with its weight in the
// demand.
func (l *Limiter) RecordRequest(now time.Time, weight float64) {
	l.arrived.add(now, weight, demandWindow)
}

// SetWaiting sets the number of requests for the service that wait at this router.
func (l *Limiter) SetWaiting(n int) {
	l.waiting = n
	l.partAsOf = time.Time{}
}

// OwnDemand returns this router's demand in requests per second.
func (l *Limiter) OwnDemand(now time.Time) float64 {
	return l.arrived.get(now, demandWindow)/demandWindow.Seconds() + waitingWeight*float64(l.waiting)
}

// SetRouters replaces the fleet's list of routers, this one left out.
func (l *Limiter) SetRouters(others []ids.Instance) {
	l.others = others
	for name, p := range l.tracker.byName {
		if name != fleetPeer && !slices.Contains(others, name) {
			p.isGone = true
		}
	}
}

// RecordLinkEnd records that the link to a router has ended.
func (l *Limiter) RecordLinkEnd(now time.Time, name ids.Instance) {
	l.tracker.RecordLinkEnd(now, name)
}

// part is this router's part of the fleet.
type part struct {
	// share is this router's share of the visible demand, visible that of the visible
	// routers in the fleet's demand.
	share, visible float64
}

// partAt returns this router's part of the fleet. Routers that are listed and have not
// reported since this one started count as having its demand.
func (l *Limiter) partAt(now time.Time) part {
	own := l.OwnDemand(now)
	if own == 0 {
		return part{}
	}
	sum := l.tracker.Sum(now)
	sum.Visible += own
	sum.Absent += own * float64(l.unheard(now))
	return part{share: own / sum.Visible, visible: sum.Visible / (sum.Visible + sum.Absent)}
}

// unheard returns the number of listed routers that have not reported since this one
// started. Those that are still silent after absentTTL do not run any more.
func (l *Limiter) unheard(now time.Time) int {
	if l.tracker.byName[fleetPeer] != nil {
		return 0
	}
	n := 0
	for _, name := range l.others {
		if l.tracker.byName[name] == nil {
			n++
		}
	}
	if l.unheardSince.IsZero() {
		l.unheardSince = now
	}
	if now.Sub(l.unheardSince) > absentTTL {
		return 0
	}
	return n
}
