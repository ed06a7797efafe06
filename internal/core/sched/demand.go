package sched

import (
	"time"

	"github.com/umberhill/umberhill/internal/core/permit"
	"github.com/umberhill/umberhill/internal/core/queue"
)

// hasDemand reports whether requests that could use the group wait here.
func (s *Scheduler) hasDemand(g *group) bool {
	for _, p := range g.pools {
		if p.queue.BackloggedFlows() > 0 || len(p.soloRequests) > 0 {
			return true
		}
	}
	return false
}

// hasSoloDemand reports whether solo requests that could use the group wait here.
func (s *Scheduler) hasSoloDemand(g *group) bool {
	for _, p := range g.pools {
		if len(p.soloRequests) > 0 {
			return true
		}
	}
	return false
}

// demand returns how many permits of a group this router could use now, and the
// virtual services by which the owner compares it with other routers.
func (s *Scheduler) demand(g *group) permit.Demand {
	d := permit.Demand{VirtualService: permit.NoVirtualService, SustainedVirtualService: permit.NoVirtualService, Solo: s.needsSoloTarget(g), SoloAvoid: s.soloAvoidMask(g)}
	for i, m := range g.members {
		if !s.isAvailable(m) {
			d.Avoid |= 1 << i
		}
	}
	if s.draining || !g.isCandidate {
		return d
	}
	for _, p := range g.pools {
		// A router that holds all permits of the group wants no more, but its
		// virtual service is reported all the same: the owner compares it with that
		// of other routers to decide what to recall.
		if p.queue.BackloggedFlows() == 0 {
			continue
		}
		want := s.wantedPermits(p, g)
		d.Want += want
		d.Urgent += min(want, s.urgentPermits(p, g))
		flow := p.queue.Min()
		if vs := flow.VirtualService(); d.VirtualService == permit.NoVirtualService || vs < d.VirtualService {
			d.VirtualService = vs
			d.Tolerance = s.reportedTolerance(p.capacity)
			d.VirtualServiceStep = s.estimateUnits(flow.Next().Value.(*request)) / flow.Account.Weight
		}
		if want > 0 && s.isStarvedWithoutPermits(p) {
			// With a virtual service of 0 the owner grants the permit.
			d.Want, d.Urgent, d.VirtualService, d.SustainedVirtualService, d.VirtualServiceStep = 1, 1, 0, permit.NoVirtualService, 0
			break
		}
		if vs := s.leastSustainedVirtualService(p); vs != permit.NoVirtualService && (d.SustainedVirtualService == permit.NoVirtualService || vs < d.SustainedVirtualService) {
			d.SustainedVirtualService = vs
		}
	}
	return d
}

// isStarvedWithoutPermits reports whether a flow is starved and the router has no
// usable permits of the pool. Other routers may serve the workspace, in which
// case its virtual service is too high for the owner ever to grant a permit here.
func (s *Scheduler) isStarvedWithoutPermits(p *pool) bool {
	for _, g := range p.groups {
		if g.usablePermits(s.now) > 0 {
			return false
		}
	}
	return s.hasStarvedFlow(p)
}

// hasStarvedFlow reports whether a flow has been unserved at this router for so
// long that its next request is to be dispatched whatever its virtual service.
// Other routers may serve the workspace meanwhile.
func (s *Scheduler) hasStarvedFlow(p *pool) bool {
	flow := p.queue.LongestUnserved()
	if flow == nil {
		return false
	}
	maxUnserved := starvationRequests * s.expectedDuration(flow.Next().Value.(*request))
	return s.now.Sub(flow.UnservedSince()) >= max(minStarvationDelay, maxUnserved)
}

// leastSustainedVirtualService returns the least virtual service among the first
// maxScannedFlows flows that have been backlogged for a report interval or
// longer, or NoVirtualService if there is none.
func (s *Scheduler) leastSustainedVirtualService(p *pool) float64 {
	vs, scanned := float64(permit.NoVirtualService), 0
	p.queue.Ascend(func(flow *queue.Flow) bool {
		scanned++
		if since, backlogged := flow.Account.BackloggedSince(); backlogged && s.now.Sub(since) >= s.settings.ReportInterval {
			vs = flow.VirtualService()
		}
		return vs == permit.NoVirtualService && scanned < maxScannedFlows
	})
	return vs
}

// needsSoloTarget reports whether this router needs a target of the group for a solo
// request: one runs there, or one waits and the group is its first usable one.
func (s *Scheduler) needsSoloTarget(g *group) bool {
	for _, m := range g.members {
		if m.soloRequest != nil {
			return true
		}
	}
	for _, p := range g.pools {
		if len(p.soloRequests) > 0 && s.firstUsableGroup(p, p.soloRequests[0]) == g {
			return true
		}
	}
	return false
}

// firstUsableGroup returns the nearest group of a pool with a target that can
// take the request, or nil if there is none.
func (s *Scheduler) firstUsableGroup(p *pool, r *request) *group {
	for _, g := range p.groups {
		for i, m := range g.members {
			if !g.Members[i].Draining && m.health.IsUsable(s.now) && !isExcluded(r, m.id) {
				return g
			}
		}
	}
	return nil
}

// soloAvoidMask returns a bit mask of the group's members that are excluded by
// the first waiting solo request of each pool.
func (s *Scheduler) soloAvoidMask(g *group) uint64 {
	mask := uint64(0)
	for _, p := range g.pools {
		if len(p.soloRequests) == 0 {
			continue
		}
		for i, m := range g.members {
			if isExcluded(p.soloRequests[0], m.id) {
				mask |= 1 << i
			}
		}
	}
	return mask
}

// wantedPermits returns how many permits of a group are wanted for a pool. The
// demand is first assigned to nearer groups, as far as they have permits that
// this router doesn't hold; once the pool has waited for spilloverDelay, the full
// demand goes to every group.
func (s *Scheduler) wantedPermits(p *pool, g *group) int {
	unmet := min(p.queue.Waiting()-len(p.soloRequests), p.capacity.concurrency)
	if p.queue.BackloggedFlows() == 0 {
		return 0
	}
	unmet = max(unmet, 1)
	spillover := s.now.Sub(p.waitingSince) >= spilloverDelay
	for _, x := range p.groups {
		unheldPermits := x.unheldPermits(s.now)
		if x == g {
			return min(unmet, unheldPermits)
		}
		if !spillover {
			unmet -= min(unmet, unheldPermits)
		}
	}
	return 0
}

// unheldPermits returns how many permits this router could still get for the usable
// members of the group: their concurrency less the permits it holds.
func (g *group) unheldPermits(now time.Time) int {
	n := 0
	for i, m := range g.Members {
		if !m.Draining && g.members[i].health.IsUsable(now) {
			n += max(0, m.Concurrency-g.holder.Held(i))
		}
	}
	return n
}

// usablePermits returns the number of permits held for usable members.
func (g *group) usablePermits(now time.Time) int {
	n := 0
	for i, m := range g.Members {
		if !m.Draining && g.members[i].health.IsUsable(now) {
			n += g.holder.Held(i)
		}
	}
	return n
}

// urgentPermits returns how many permits of the group the pool needs at once: one
// for each backlogged flow, less the usable permits, which become free as
// requests end. They are requested only from the nearest group that has permits
// which this router doesn't hold.
func (s *Scheduler) urgentPermits(p *pool, g *group) int {
	held, firstWithUnheld := 0, (*group)(nil)
	for _, x := range p.groups {
		held += x.usablePermits(s.now)
		if firstWithUnheld == nil && x.unheldPermits(s.now) > 0 {
			firstWithUnheld = x
		}
	}
	if firstWithUnheld != g {
		return 0
	}
	return max(0, p.queue.BackloggedFlows()-held)
}
