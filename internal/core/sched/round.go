package sched

import (
	"math"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/umberhill/umberhill/internal/core/account"
	"github.com/umberhill/umberhill/internal/core/permit"
	"github.com/umberhill/umberhill/internal/ids"
	"github.com/umberhill/umberhill/internal/outcome"
)

// evictInterval is the time between two searches for idle accounts.
const evictInterval = 5 * time.Second

// tick performs what depends on the passage of time alone: it expires deadlines,
// re-examines groups and parked flows, and starts a round when one is due.
func (s *Scheduler) tick() {
	s.refuseExpired()
	for _, g := range s.activeGroups {
		s.tickGroup(g)
	}
	s.unparkAll()
	for _, n := range s.poolNames {
		p := s.pools[n]
		if p.queue.BackloggedFlows() == 0 {
			p.waitingSince = s.now
		}
	}
	if s.nextRound.IsZero() {
		// The phase spreads the rounds of different routers over the interval.
		phase := xxhash.Sum64String(string(s.settings.Self)) % uint64(s.settings.ReportInterval)
		s.nextRound = s.now.Add(time.Duration(phase))
	}
	if s.now.Before(s.nextRound) {
		return
	}
	s.nextRound = s.now.Add(s.settings.ReportInterval)
	s.round()
}

// tickGroup marks a group dirty if the passage of time may have changed the demand
// for it or the permits to be returned.
func (s *Scheduler) tickGroup(g *group) {
	held, used := g.holder.Totals()
	if s.hasDemand(g) || held > used || g.owner != nil {
		s.markGroupDirty(g)
	}
}

// round sends this router's state to the homes of accounts and limits and to the
// owners of groups, and sends its responses as home and owner to its peers. All
// pending messages are sent with the round.
func (s *Scheduler) round() {
	if s.isFleetMode() {
		s.capCredit()
		s.reportAccounts()
		s.sendTotals()
		s.reportLimits()
		s.exchangePermits()
	}
	s.evict()
	for _, p := range s.quotaPeers {
		s.message(p.name).Quota, p.nextQuota = p.nextQuota, nil
	}
	s.quotaPeers = s.quotaPeers[:0]
	for _, p := range s.pendingPeers {
		p.inRound = true
	}
}

// evict drops, every evictInterval, the accounts that are not used any more and the
// reported state of routers that have stopped reporting.
func (s *Scheduler) evict() {
	if s.now.Before(s.nextEvict) {
		return
	}
	s.nextEvict = s.now.Add(evictInterval)
	s.accounts.EvictIdle(s.now)
	s.accountHome.Expire(s.now)
}

// reportAccounts reports this router's service to the homes of the accounts.
func (s *Scheduler) reportAccounts() {
	reports := s.accounts.Reports(s.now)
	homes := make([]ids.Instance, 0, len(reports))
	for h := range reports {
		homes = append(homes, h)
	}
	sort.Slice(homes, func(i, j int) bool { return homes[i] < homes[j] })
	for _, h := range homes {
		if h == s.settings.Self {
			s.accountHome.Merge(s.now, s.reporter(), reports[h])
			continue
		}
		if h != "" {
			s.message(h).Report = reports[h]
		}
	}
}

func (s *Scheduler) reporter() account.Reporter {
	return account.Reporter{Instance: s.settings.Self, Incarnation: foldIncarnation(s.settings.Incarnation)}
}

// sendTotals sends, as home, the totals over the fleet to the routers that
// reported.
func (s *Scheduler) sendTotals() {
	totals := s.accountHome.Responses()
	names := make([]ids.Instance, 0, len(totals))
	for n := range totals {
		names = append(names, n)
	}
	sort.Slice(names, func(i, j int) bool { return names[i] < names[j] })
	for _, n := range names {
		if n == s.settings.Self {
			s.applyTotals(n, foldIncarnation(s.settings.Incarnation), totals[n])
			continue
		}
		s.message(n).Totals = totals[n]
	}
}

// exchangePermits reports this router's permits and demand to the owners, and
// lets the owners at this router move permits and send leases to the holders.
func (s *Scheduler) exchangePermits() {
	for _, g := range s.activeGroups {
		d := s.demand(g)
		held, used := g.holder.Totals()
		if held > 0 || used > 0 || d.Want > 0 || g.reportedDemand.Want > 0 || g.mustReport {
			s.reportDemand(g, d)
		}
		if g.owner != nil {
			g.owner.Round(s.now, s.isLive)
		}
		s.markGroupDirty(g)
	}
	s.deliverLeases(s.activeGroups)
}

func (s *Scheduler) isLive(name ids.Instance) bool {
	_, ok := s.routers[name]
	return ok
}

// maxCreditShare is the share of the fairness bound by which a backlogged workspace
// may be below the ceiling.
const maxCreditShare = 0.5

// capCredit limits how far a backlogged workspace's virtual service is below the
// ceiling, as it may be after a partition or the loss of a home. A workspace that
// is further behind is raised to half the fairness bound below the ceiling.
func (s *Scheduler) capCredit() {
	for _, n := range s.poolNames {
		p := s.pools[n]
		fairnessBound := p.capacity.fairnessBound(s.settings.ReportInterval.Seconds())
		if fairnessBound == 0 {
			continue
		}
		ceiling := s.ceiling(p)
		for {
			flow := p.queue.Min()
			if flow == nil || ceiling == permit.NoVirtualService {
				break
			}
			least := ceiling - maxCreditShare*fairnessBound/math.Min(1, flow.Account.Weight)
			if flow.VirtualService() >= least-1 {
				break
			}
			flow.Account.Raise(least)
			s.reorder(flow.Account, p.capacity)
		}
	}
}

// ceiling returns the greatest virtual service among the flows here and the
// ceilings that the owners report, which cover the first flow of each router. It
// returns NoVirtualService if nothing waits.
func (s *Scheduler) ceiling(p *pool) float64 {
	greatest := float64(permit.NoVirtualService)
	if flow := p.queue.Max(); flow != nil {
		greatest = flow.VirtualService()
	}
	for _, g := range p.groups {
		greatest = math.Max(greatest, g.holder.Ceiling(s.now, s.stateFreshness()))
	}
	return greatest
}

// fairnessBound returns the greatest expected difference in virtual service
// between two continuously backlogged workspaces: 2 times the sum of the work in
// flight and the work of one interval. It returns zero if the duration of
// requests is unknown.
func (c *capacity) fairnessBound(intervalSeconds float64) float64 {
	requestSeconds := c.costs.MeanSeconds()
	if requestSeconds <= 0 {
		return 0
	}
	slots := float64(c.concurrency)
	unitsPerSlot := c.costs.MeanInFlightUnits()
	if c.running > 0 {
		// The mean includes a long request only once it has ended; the charges of
		// running requests include it before.
		unitsPerSlot = math.Max(unitsPerSlot, c.chargedUnits/float64(c.running))
	}
	return 2 * (slots*unitsPerSlot + intervalSeconds*slots*c.costs.MeanUnits()/requestSeconds)
}

// observeLoad records a target's report if this router is the owner of the target's
// group.
func (s *Scheduler) observeLoad(e Load) {
	m := s.members[e.Target]
	if m == nil || m.group.owner == nil {
		return
	}
	m.group.owner.ObserveLoad(s.now, m.index, e.Waiting)
	s.markGroupDirty(m.group)
}

// drain refuses all waiting requests. Permits are returned as they become free.
func (s *Scheduler) drain() {
	s.draining = true
	s.refuseAllWaiting(outcome.CodeShuttingDown, drainRetryAfter, func(*request) bool { return true })
	for _, id := range s.groupIDs {
		s.markGroupDirty(s.groups[id])
	}
}

// waitingRequests returns the waiting requests in the order of their ids.
func (s *Scheduler) waitingRequests() []*request {
	var out []*request
	for _, r := range s.requests {
		if r.member == nil {
			out = append(out, r)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// runningRequests returns the dispatched requests in the order of their ids.
func (s *Scheduler) runningRequests() []*request {
	var out []*request
	for _, r := range s.requests {
		if r.member != nil {
			out = append(out, r)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// requeue moves the waiting requests into the pools of a changed topology.
// Requests whose pool has no target left are refused.
func (s *Scheduler) requeue() {
	s.deadlines.Clear(false)
	for _, r := range s.waitingRequests() {
		p := s.pools[r.Pool]
		if p == nil || !p.hasLiveTarget {
			delete(s.requests, r.ID)
			if l := s.limiters[r.Workspace]; l != nil {
				l.End(false)
			}
			s.accounts.SetBacklogged(s.now, r.queueAccount, false)
			s.refuse(r.ID, outcome.CodeNoTarget, noTargetRetryAfter)
			continue
		}
		if r.queueAccount.IsBacklogged() {
			s.accounts.SetBacklogged(s.now, r.queueAccount, false)
		}
		r.pool = p
		r.payer, r.queueAccount = s.accountsOf(r.Workspace, p)
		s.enqueue(r)
	}
	for _, r := range s.runningRequests() {
		if p := s.pools[r.Pool]; p != nil {
			r.pool = p
			p.capacity.running++
			p.capacity.chargedUnits += r.chargedUnits
		}
	}
}

// Owned returns the targets whose load this router polls: those that it owns, or
// all targets outside ModeFleet.
func (s *Scheduler) Owned() []ids.Target {
	var out []ids.Target
	for _, id := range s.groupIDs {
		g := s.groups[id]
		if g.owner == nil && s.isFleetMode() {
			continue
		}
		for _, m := range g.Members {
			out = append(out, m.ID)
		}
	}
	return out
}
