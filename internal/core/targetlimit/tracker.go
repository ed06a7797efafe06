package targetlimit

import (
	"time"

	"github.com/umberhill/umberhill/internal/ids"
)

const (
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

// Tracker tracks the demand of other routers, or of groups of them, by name.
type Tracker struct {
	byName map[ids.Instance]*peer
}

// NewTracker returns an empty tracker.
func NewTracker() *Tracker { return &Tracker{byName: make(map[ids.Instance]*peer)} }

// Record replaces the demand of a router that has reported.
func (t *Tracker) Record(now time.Time, name ids.Instance, d Demand) {
	t.byName[name] = &peer{demand: d, reportedAt: now}
}

// RecordLinkEnd records that the link to a router has ended. One that has reported until
// shortly before has closed it, and gives up its part.
func (t *Tracker) RecordLinkEnd(now time.Time, name ids.Instance) {
	if p := t.byName[name]; p != nil && now.Sub(p.reportedAt) <= closedAge {
		p.isGone = true
	}
}

// Sum returns the demand of all routers.
func (t *Tracker) Sum(now time.Time) Demand {
	var sum Demand
	for _, p := range t.byName {
		d := p.demandAt(now)
		sum.Visible += d.Visible
		sum.Absent += d.Absent
	}
	return sum
}

// isVisible reports whether reports of a router arrive.
func (t *Tracker) isVisible(now time.Time, name ids.Instance) bool {
	p := t.byName[name]
	return p != nil && !p.isGone && now.Sub(p.reportedAt) <= reportTTL
}
