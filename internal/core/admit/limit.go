package admit

import (
	"math"
	"time"

	"github.com/umberhill/umberhill/internal/core/share"
	"github.com/umberhill/umberhill/internal/core/targetlimit"
	"github.com/umberhill/umberhill/internal/ids"
)

// limitChange is the relative change of a limit from which on it is news.
const limitChange = 0.2

// recordLimit records what a response says of its target's limit and returns what is new in
// it.
func (ac *Controller) recordLimit(now time.Time, a *attempt, st targetlimit.Statement) targetlimit.Statement {
	s := ac.services[a.target.Service]
	if s == nil {
		return targetlimit.Statement{}
	}
	known, limited := s.limits.StatedPerSecond(now, a.target.run)
	s.limits.RecordStatement(now, a.sentAt, a.target.run, st)
	isNews := !limited || math.Abs(st.PerSecond-known) > limitChange*known
	if st.PerSecond > 0 && isNews {
		return st
	}
	if st.Malformed && !a.target.hasMalformedLimit {
		a.target.hasMalformedLimit = true
		return st
	}
	return targetlimit.Statement{}
}

// excessDemand is the demand of a request beyond its workspace's fair share. It is small, so
// that a flood does not draw the permits of limited targets to the routers that refuse it.
const excessDemand = 0.25

// demandOf returns the demand of a request of a workspace with the given rank.
func demandOf(rank share.Rank) float64 {
	if rank == share.Excess {
		return excessDemand
	}
	return 1
}

// HasLimits reports whether a target has a limit or is cold.
func (ac *Controller) HasLimits() bool {
	for _, s := range ac.services {
		if s.limits.IsActive() {
			return true
		}
	}
	return false
}

// LimitStatus is the state of a target's limit at this router.
type LimitStatus struct {
	Target  ids.Target
	Service string
	targetlimit.Status
}

// Limits returns the state of the limits of listed targets.
func (ac *Controller) Limits(now time.Time) []LimitStatus {
	var all []LimitStatus
	for name, s := range ac.services {
		byRun := make(map[targetlimit.Run]targetlimit.Status)
		for _, status := range s.limits.Status(now) {
			byRun[status.Run] = status
		}
		for _, t := range s.targets {
			if status, ok := byRun[t.run]; ok {
				all = append(all, LimitStatus{Target: t.ID, Service: name, Status: status})
			}
		}
	}
	return all
}

// SetRouters replaces the fleet's list of routers, this one left out.
func (ac *Controller) SetRouters(others []ids.Instance) {
	ac.routers = others
	for _, s := range ac.services {
		s.limits.SetRouters(others)
	}
}

// RecordLinkEnd records that the link to a router has ended.
func (ac *Controller) RecordLinkEnd(now time.Time, peer ids.Instance) {
	for _, s := range ac.services {
		s.limits.RecordLinkEnd(now, peer)
	}
}
