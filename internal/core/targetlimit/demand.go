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
	// reportTTL is how long a peer's report counts. After that it is silent.
	reportTTL = 1500 * time.Millisecond
	// absentTTL is how long the part of a silent peer is left to it. It may be partitioned
	// and go on to send.
	absentTTL = 10 * time.Second
	// closedAge is the age of the last report up to which a peer whose link ends has closed
	// it. A peer that is unreachable has been silent for longer.
	closedAge = time.Second
)

// Demand is the demand for a service: requests per second, and requests that wait.
type Demand struct {
	// Visible is that of routers whose reports arrive, Absent that of silent ones.
	Visible, Absent float64
}

// peer is what is known of a peer, or of all other routers together if the fleet reports
// sums.
type peer struct {
	demand     Demand
	reportedAt time.Time
	// isGone is set if the peer has closed its link.
	isGone bool
}

// demandAt returns the peer's part of the fleet's demand.
func (p *peer) demandAt(now time.Time) Demand {
	silent := now.Sub(p.reportedAt)
	switch {
	case p.isGone || silent > absentTTL:
		return Demand{}
	case silent > reportTTL:
		return Demand{Absent: p.demand.Visible + p.demand.Absent}
	}
	return p.demand
}

// Routers holds the demand of other routers, or of groups of them, by name.
type Routers struct {
	byName map[ids.Instance]*peer
}

// NewRouters returns an empty Routers.
func NewRouters() *Routers { return &Routers{byName: make(map[ids.Instance]*peer)} }

// Record replaces the demand of a router that has reported.
func (r *Routers) Record(now time.Time, name ids.Instance, d Demand) {
	r.byName[name] = &peer{demand: d, reportedAt: now}
}

// RecordLinkEnd records that the link to a router has ended. One that has reported until
// shortly before has closed it, and gives up its part.
func (r *Routers) RecordLinkEnd(now time.Time, name ids.Instance) {
	if p := r.byName[name]; p != nil && now.Sub(p.reportedAt) <= closedAge {
		p.isGone = true
	}
}

// Sum returns the demand of all routers.
func (r *Routers) Sum(now time.Time) Demand {
	var sum Demand
	for _, p := range r.byName {
		d := p.demandAt(now)
		sum.Visible += d.Visible
		sum.Absent += d.Absent
	}
	return sum
}

// isVisible reports whether reports of a router arrive.
func (r *Routers) isVisible(now time.Time, name ids.Instance) bool {
	p := r.byName[name]
	return p != nil && !p.isGone && now.Sub(p.reportedAt) <= reportTTL
}

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
	for name, p := range l.routers.byName {
		if name != fleetPeer && !slices.Contains(others, name) {
			p.isGone = true
		}
	}
}

// RecordLinkEnd records that the link to a router has ended.
func (l *Limiter) RecordLinkEnd(now time.Time, name ids.Instance) {
	l.routers.RecordLinkEnd(now, name)
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
	sum := l.routers.Sum(now)
	sum.Visible += own
	sum.Absent += own * float64(l.unheard(now))
	return part{share: own / sum.Visible, visible: sum.Visible / (sum.Visible + sum.Absent)}
}

// unheard returns the number of listed routers that have not reported since this one
// started. Those that are still silent after absentTTL do not run any more.
func (l *Limiter) unheard(now time.Time) int {
	if l.routers.byName[fleetPeer] != nil {
		return 0
	}
	n := 0
	for _, name := range l.others {
		if l.routers.byName[name] == nil {
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
