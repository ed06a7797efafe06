package admit

import (
	"time"

	"github.com/umberhill/umberhill/internal/core/targetlimit"
	"github.com/umberhill/umberhill/internal/ids"
	"github.com/umberhill/umberhill/internal/routing"
)

// ColdReason is why a target counts as cold.
type ColdReason string

// The reasons for which a target counts as cold.
const (
	// ColdByEntry means that its entry states so.
	ColdByEntry ColdReason = "entry"
	// ColdByPeers means that another router has read so in its entry.
	ColdByPeers ColdReason = "peers"
	// ColdAsNew means that its run was not listed before, and that its entry does not state
	// whether it is cold.
	ColdAsNew ColdReason = "new"
	// ColdAsRefused means that a connection to it was refused: it may have started again.
	ColdAsRefused ColdReason = "refused"
	// ColdByDomain means that its failure domain gets requests again.
	ColdByDomain ColdReason = "domain"
)

// ColdTarget is the state of a target that is cold.
type ColdTarget struct {
	Target ids.Target
	targetlimit.ColdRun
	Until  time.Time
	Reason ColdReason
	// ReadAt is when the target's entry was read, RefusedAt when a connection was last
	// refused, zero if none was.
	ReadAt, RefusedAt time.Time
	// Lease is the rate of this router's lease, 0 if it has none.
	Lease float64
}

// Lease is the right to send to a cold run.
type Lease struct {
	Run       targetlimit.Run
	PerSecond float64
	Duration  time.Duration
}

// coldUntil returns until when a target of a service counts as cold and why, the zero time if
// it does not.
func (t *target) coldUntil(conf *routing.Service) (until time.Time, reason ColdReason) {
	if conf == nil || conf.ColdPerSecond <= 0 {
		return time.Time{}, ""
	}
	extend := func(to time.Time, why ColdReason) {
		if to.After(until) {
			until, reason = to, why
		}
	}
	extend(t.ColdUntil, ColdByEntry)
	if !t.StatesCold && !t.listedAt.IsZero() && conf.ColdStart > 0 {
		extend(t.listedAt.Add(conf.ColdStart), ColdAsNew)
	}
	if t.isLast(t.stated.refusedAt) {
		extend(t.stated.refusedAt.Add(conf.ColdStart), ColdAsRefused)
	}
	if t.isLast(t.peersColdAt) {
		extend(t.peersColdUntil, ColdByPeers)
	}
	extend(t.domainColdUntil, ColdByDomain)
	return until, reason
}

// isLast reports whether no later entry of the target has been read since a time, which is
// zero if there is none.
func (t *target) isLast(at time.Time) bool { return !at.IsZero() && !t.ReadAt.After(at) }

// updateCold passes on to the limiter until when a target is cold.
func (s *service) updateCold(t *target) {
	until, _ := t.coldUntil(s.conf)
	perSecond := 0.0
	if s.conf != nil {
		perSecond = s.conf.ColdPerSecond
	}
	s.limits.SetCold(t.run, perSecond, until)
}

// recordRefused records that a connection to a target was refused.
func (ac *Controller) recordRefused(now time.Time, t *target) {
	s := ac.services[t.Service]
	if s == nil || s.conf == nil || s.conf.ColdPerSecond <= 0 {
		return
	}
	stated := ac.statementsOf(now, t)
	stated.lastAt, stated.refusedAt, stated.heardRefusedAt = now, now, now
	ac.updateColdRun(t)
}

// updateColdRun calls updateCold for the listed target with the same run.
func (ac *Controller) updateColdRun(t *target) {
	if listed := ac.targets[t.ID]; listed != nil && listed.run == t.run {
		ac.service(listed.Service).updateCold(listed)
	}
}

// applyRefused applies that another router's connection to a target was refused at a time.
// Reports of the same refusal differ by the time that they took.
func (ac *Controller) applyRefused(now, at time.Time, t *target) {
	s := ac.services[t.Service]
	if s == nil || s.conf == nil || s.conf.ColdPerSecond <= 0 {
		return
	}
	stated := ac.statementsOf(now, t)
	if stated.lastAt = now; at.After(stated.refusedAt.Add(refusalPrecision)) {
		stated.refusedAt = at
		ac.updateColdRun(t)
	}
}

// refusalPrecision is the difference up to which two reports state the same refusal: the way
// through two hubs, whose reports are 80 ms apart.
const refusalPrecision = 200 * time.Millisecond

// coldNewsTime is for how long a router passes on that an entry which it has read states a
// cold time: several report intervals, in which the other routers read or pull the entry.
const coldNewsTime = time.Second

// reportedColdTime returns for how long a target is cold by its entry if that is news, 0
// otherwise. Routers that follow hubs read an entry some 200 ms later than these.
func (ac *Controller) reportedColdTime(now time.Time, t *target) time.Duration {
	if s := ac.services[t.Service]; s == nil || s.conf == nil || s.conf.ColdPerSecond <= 0 || now.Sub(t.ReadAt) > coldNewsTime {
		return 0
	}
	return max(0, t.ColdUntil.Sub(now))
}

// applyColdTime applies until when a target is cold as another router has read.
func (ac *Controller) applyColdTime(now, until time.Time, t *target) {
	if !until.After(t.ColdUntil.Add(refusalPrecision)) {
		return
	}
	t.peersColdUntil, t.peersColdAt = until, now
	ac.updateColdRun(t)
}

// reportedRefusal returns the time of the last refused connection of this router to a target,
// if it is still to be reported.
func (ac *Controller) reportedRefusal(now time.Time, t *target) (at time.Time, ok bool) {
	at = t.stated.heardRefusedAt
	if !t.isLast(at) {
		return time.Time{}, false
	}
	s := ac.services[t.Service]
	return at, s != nil && s.conf != nil && s.conf.ColdPerSecond > 0 && now.Sub(at) < s.conf.ColdStart
}

// MarkDomainCold makes the targets of a failure domain cold, because it gets requests again
// after a time without.
func (ac *Controller) MarkDomainCold(now time.Time, domain ids.Domain) {
	for _, t := range ac.targets {
		if s := ac.services[t.Service]; t.Domain == domain && s != nil && s.conf != nil {
			t.domainColdUntil = now.Add(s.conf.ColdStart)
			s.updateCold(t)
		}
	}
}

// ApplyLeases applies leases of cold runs that were granted to this router.
func (ac *Controller) ApplyLeases(now time.Time, leases []Lease) {
	services := ac.servicesByRun()
	for _, le := range leases {
		if name, ok := services[le.Run]; ok {
			ac.services[name].limits.ApplyLease(now, le.Run, le.PerSecond, le.Duration)
		}
	}
	for _, s := range ac.services {
		s.updateLeased(now)
	}
}

// updateLeased lets the subset of engines that this router considers include those of which it
// has a lease: no other router sends to them.
func (s *service) updateLeased(now time.Time) {
	s.subset.leased = nil
	for _, t := range s.targets {
		if _, ok := s.limits.Lease(now, t.run); ok {
			s.subset.leased = append(s.subset.leased, t)
		}
	}
}

// ColdTargets returns the listed targets that are cold, in the order of their IDs within each
// service.
func (ac *Controller) ColdTargets(now time.Time) []ColdTarget {
	var out []ColdTarget
	for name, s := range ac.services {
		if !s.limits.HasCold(now) {
			continue
		}
		for _, t := range s.targets {
			if !s.limits.IsCold(now, t.run) {
				continue
			}
			c := ColdTarget{
				Target:  t.ID,
				ColdRun: targetlimit.ColdRun{Run: t.run, Service: name, Domain: t.Domain, PerSecond: s.conf.ColdPerSecond},
				ReadAt:  t.ReadAt, RefusedAt: t.stated.refusedAt,
			}
			c.Until, c.Reason = t.coldUntil(s.conf)
			c.Lease, _ = s.limits.Lease(now, t.run)
			out = append(out, c)
		}
	}
	return out
}

// UnusedLeases returns the cold runs of which this router has a lease that it does not use.
func (ac *Controller) UnusedLeases(now time.Time) []targetlimit.Run {
	var out []targetlimit.Run
	for _, s := range ac.services {
		out = append(out, s.limits.UnusedLeases(now)...)
	}
	return out
}

// ColdDemand returns this router's demand for each service that has cold targets.
func (ac *Controller) ColdDemand(now time.Time) map[string]float64 {
	var out map[string]float64
	for name, s := range ac.services {
		if s.limits.HasCold(now) {
			if out == nil {
				out = make(map[string]float64)
			}
			out[name] = s.limits.OwnDemand(now)
		}
	}
	return out
}
