package sched

import (
	"math"
	"time"

	"github.com/umberhill/umberhill/internal/core/permit"
	"github.com/umberhill/umberhill/internal/core/place"
	"github.com/umberhill/umberhill/internal/core/queue"
	"github.com/umberhill/umberhill/internal/ids"
)

const (
	// maxScannedFlows bounds the flows examined for one decision. The first flows
	// may be unable to use any free permit.
	maxScannedFlows = 8
	// maxScannedEntries bounds the requests examined in one flow.
	maxScannedEntries = 4
	// rateWindow is the time constant of the average of the dispatch rate.
	rateWindow = 2 * time.Second
)

// dispatchDirtyPools dispatches what it can from the pools marked dirty, and
// marks their groups dirty for the exchange of permits.
func (s *Scheduler) dispatchDirtyPools() {
	pools := s.dirtyPools
	s.dirtyPools = nil
	for _, p := range pools {
		p.dirty = false
		for s.dispatchSolo(p) {
			continue
		}
		for s.dispatchNext(p) {
			continue
		}
		for _, g := range p.groups {
			if !g.dirty {
				g.dirty = true
				s.dirtyGroups = append(s.dirtyGroups, g)
			}
		}
	}
}

// dispatchNext dispatches the first request in queue order that can use a free
// permit. It returns whether it dispatched one.
func (s *Scheduler) dispatchNext(p *pool) bool {
	if !s.hasFreePermit(p) {
		return false
	}
	if s.dispatchStarved(p) {
		return true
	}
	var next *request
	var target *member
	scannedFlows := 0
	p.queue.Ascend(func(flow *queue.Flow) bool {
		scannedEntries := 0
		flow.Ascend(func(e *queue.Entry) bool {
			r := e.Value.(*request)
			if m := s.chooseTarget(r, flow.VirtualService()); m != nil {
				next, target = r, m
			}
			scannedEntries++
			return next == nil && scannedEntries < maxScannedEntries
		})
		scannedFlows++
		return next == nil && scannedFlows < maxScannedFlows
	})
	if next == nil {
		return false
	}
	s.dispatchTo(next, target)
	return true
}

// dispatchStarved dispatches from the flow that has been unserved for the
// longest, if that is too long, whatever its virtual service: the virtual
// service may be high because other routers serve the workspace. Such
// dispatches are charged like others. Their rate is limited so that they use at
// most a share of this router's permits; otherwise a workspace with long
// requests could be served through them all the time. It returns whether it
// dispatched one.
func (s *Scheduler) dispatchStarved(p *pool) bool {
	if s.settings.Mode == ModeFIFO || s.now.Before(p.nextStarvedDispatch) || !s.hasStarvedFlow(p) {
		return false
	}
	r := p.queue.LongestUnserved().Next().Value.(*request)
	m := s.chooseTarget(r, 0)
	if m == nil {
		return false
	}
	usablePermits := 0
	for _, g := range p.groups {
		usablePermits += g.usablePermits(s.now)
	}
	pause := starvationRequests * s.expectedDuration(r) / time.Duration(max(1, usablePermits))
	p.nextStarvedDispatch = s.now.Add(max(minStarvationDelay, pause))
	s.dispatchTo(r, m)
	return true
}

// hasFreePermit reports whether a flow of the pool is backlogged and a permit of
// its groups is free.
func (s *Scheduler) hasFreePermit(p *pool) bool {
	if p.queue.BackloggedFlows() == 0 {
		return false
	}
	for _, g := range p.groups {
		if held, used := g.holder.Totals(); held > used {
			return true
		}
	}
	return false
}

// chooseTarget returns the target for a request whose flow has the given virtual
// service, or nil if there is none. Targets in this router's failure domain are
// preferred.
func (s *Scheduler) chooseTarget(r *request, vs float64) *member {
	var local, remote []*member
	for _, g := range r.pool.groups {
		if !s.mayUsePermit(g, vs) {
			continue
		}
		for _, m := range g.members {
			if !s.canTakeRequest(m) || isExcluded(r, m.id) {
				continue
			}
			if g.local {
				local = append(local, m)
			} else {
				remote = append(remote, m)
			}
		}
	}
	if len(local) == 0 {
		local = remote
	}
	candidates := make([]place.Candidate, len(local))
	for i, m := range local {
		h := m.group.holder
		candidates[i] = place.Candidate{Hash: m.hash, UsedPermits: h.Used(m.index), HeldPermits: h.Held(m.index)}
	}
	i := place.Choose(r.Prefix, s.settings.Seed+uint64(r.ID), candidates)
	if i < 0 {
		return nil
	}
	return local[i]
}

// mayUsePermit reports whether a permit of the group may be used for a request
// with the given virtual service. If not, it is to be returned to the owner.
func (s *Scheduler) mayUsePermit(g *group, vs float64) bool {
	if !s.isFleetMode() {
		return true
	}
	if !s.hasValidLease(g) {
		return false
	}
	if g.holder.Recall() == 0 {
		return true
	}
	floor := g.holder.Floor(s.now, s.stateFreshness())
	return floor == permit.NoVirtualService || vs <= floor+s.tolerance(g)
}

// hasValidLease reports whether this router owns the group or has received a
// lease from its owner within leaseValidIntervals.
func (s *Scheduler) hasValidLease(g *group) bool {
	return g.owner != nil || g.holder.IsLeaseValid(s.now, leaseValidIntervals*s.settings.ReportInterval)
}

// canTakeRequest reports whether a member is available and has a free permit
// that need not be returned.
func (s *Scheduler) canTakeRequest(m *member) bool {
	h := m.group.holder
	return h.Free(m.index) > 0 && !h.IsReturnRequested(m.index) && s.isAvailable(m)
}

// isAvailable reports whether ordinary requests may be sent to a member.
func (s *Scheduler) isAvailable(m *member) bool {
	return !m.group.Members[m.index].Draining && m.soloRequest == nil &&
		m.group.holder.SoloMember() != m.index &&
		m.health.IsUsable(s.now) && s.now.Sub(m.rejectedAt) >= fullTargetBackoff
}

func isExcluded(r *request, t ids.Target) bool {
	for _, x := range r.Exclude {
		if x == t {
			return true
		}
	}
	return false
}

// dispatchTo dispatches a request to a member and charges its estimated units.
func (s *Scheduler) dispatchTo(r *request, m *member) {
	s.dequeue(r)
	r.pool.queue.MarkServed(s.now, r.queueAccount.Key)
	r.member, r.startedAt = m, s.now
	m.group.holder.Use(s.now, m.index)
	m.health.RecordStart()
	r.pool.dispatchRate.add(s.now)
	if l := s.limiters[r.Workspace]; l != nil {
		l.Start()
		s.parkIfLimited(r)
	}
	r.pool.capacity.running++
	s.setCharge(r, s.estimateUnits(r))
	s.emit(Dispatch{ID: r.ID, Target: m.id})
}

// expectedDuration returns the expected time of a request at a target, zero if
// unknown.
func (s *Scheduler) expectedDuration(r *request) time.Duration {
	c := &r.pool.capacity.costs
	return time.Duration(s.estimateUnits(r) / c.MeanUnits() * c.MeanSeconds() * float64(time.Second))
}

// estimateUnits returns the expected service units of a request.
func (s *Scheduler) estimateUnits(r *request) float64 {
	return r.payer.Estimate(r.Class, r.Hint, &r.pool.capacity.costs)
}

// dispatchSolo dispatches a solo request. It returns whether it dispatched one.
func (s *Scheduler) dispatchSolo(p *pool) bool {
	for _, r := range p.soloRequests {
		if m := s.chooseSoloTarget(r); m != nil {
			m.soloRequest = r
			s.dispatchTo(r, m)
			return true
		}
	}
	return false
}

// chooseSoloTarget returns an idle target for a solo request, or nil. In ModeFleet
// the group's owner must have assigned the target to this router alone.
func (s *Scheduler) chooseSoloTarget(r *request) *member {
	for _, g := range r.pool.groups {
		for i, m := range g.members {
			h := g.holder
			if g.Members[i].Draining || h.Used(i) > 0 || h.Free(i) == 0 || m.soloRequest != nil || isExcluded(r, m.id) || !m.health.IsUsable(s.now) {
				continue
			}
			if !s.isFleetMode() || (h.SoloMember() == i && s.hasValidLease(g)) {
				return m
			}
		}
	}
	return nil
}

// updateBacklogs updates which accounts are backlogged after dispatching. The
// virtual service of an account that becomes backlogged is lifted, so that a
// workspace gets no credit for service that it did not use while idle.
func (s *Scheduler) updateBacklogs() {
	for _, r := range s.maybeBacklogged {
		if r.member == nil && s.requests[r.ID] == r && !r.Solo {
			s.startBacklog(r)
		}
	}
	s.maybeBacklogged = s.maybeBacklogged[:0]
	for _, r := range s.maybeIdle {
		if r.queueAccount.IsBacklogged() && !s.hasWaitingRequests(r) {
			s.accounts.SetBacklogged(s.now, r.queueAccount, false)
		}
	}
	s.maybeIdle = s.maybeIdle[:0]
}

// startBacklog marks the account of a waiting request as backlogged, and lifts
// its virtual service to liftHeadroom tolerances below the floor.
func (s *Scheduler) startBacklog(r *request) {
	if r.queueAccount.IsBacklogged() || s.settings.Mode == ModeFIFO {
		return
	}
	c := r.pool.capacity
	if f := s.floor(c); f != permit.NoVirtualService {
		r.queueAccount.Lift(f - liftHeadroom*s.capacityTolerance(c))
	}
	s.accounts.SetBacklogged(s.now, r.queueAccount, true)
	s.reorder(r.queueAccount, c)
}

// hasWaitingRequests reports whether the flow of r has waiting requests in a
// pool of its capacity and is not parked there.
func (s *Scheduler) hasWaitingRequests(r *request) bool {
	for _, p := range r.pool.capacity.pools {
		if flow := p.queue.Flow(r.queueAccount.Key); flow != nil && flow.Len() > 0 && !flow.IsParked() {
			return true
		}
	}
	return false
}

// floor returns the least virtual service among the backlogged workspaces of a
// capacity, both here and, as the owners' leases report, at other routers. If none
// is backlogged it returns the last floor, or NoVirtualService if there was none.
func (s *Scheduler) floor(c *capacity) float64 {
	least := math.Inf(1)
	for _, p := range c.pools {
		if flow := firstBacklogged(p.queue); flow != nil {
			least = math.Min(least, flow.VirtualService())
		}
		for _, g := range p.groups {
			if f := g.holder.Floor(s.now, s.stateFreshness()); f != permit.NoVirtualService {
				least = math.Min(least, f)
			}
		}
	}
	if !math.IsInf(least, 1) {
		c.floor = least
	}
	return c.floor
}

// firstBacklogged returns the first of up to maxScannedFlows flows whose account
// is already marked backlogged, or nil.
func firstBacklogged(q *queue.Queue) *queue.Flow {
	var first *queue.Flow
	scanned := 0
	q.Ascend(func(flow *queue.Flow) bool {
		scanned++
		if flow.Account.IsBacklogged() {
			first = flow
		}
		return first == nil && scanned < maxScannedFlows
	})
	return first
}

// decayingRate is an exponentially decaying average of a rate of events.
type decayingRate struct {
	perSecond float64
	updatedAt time.Time
}

func (r *decayingRate) decay(now time.Time) {
	if !r.updatedAt.IsZero() {
		r.perSecond *= math.Exp(-now.Sub(r.updatedAt).Seconds() / rateWindow.Seconds())
	}
	r.updatedAt = now
}

func (r *decayingRate) add(now time.Time) {
	r.decay(now)
	r.perSecond += 1 / rateWindow.Seconds()
}

// expectedWait returns how long it takes to dispatch n requests at the present
// rate, zero if the rate is below 0.1 per second.
func (r *decayingRate) expectedWait(now time.Time, n int) time.Duration {
	r.decay(now)
	if r.perSecond < 0.1 {
		return 0
	}
	return time.Duration(float64(n) / r.perSecond * float64(time.Second))
}
