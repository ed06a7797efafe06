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

// evictInterval between two searches for idle accounts.
const evictInterval = 5 * time.Second

// tick does what time alone brings about.
func (s *Scheduler) tick() {
	s.expire()
	for _, g := range s.ours {
		s.tickGroup(g)
	}
	s.unparkAll()
	for _, n := range s.poolNames {
		p := s.pools[n]
		if p.queue.Backlogged() == 0 {
			p.hungry = s.now
		}
	}
	if s.nextRound.IsZero() {
		// Rounds of different routers fall at different times.
		phase := xxhash.Sum64String(string(s.cfg.Self)) % uint64(s.cfg.ReportInterval)
		s.nextRound = s.now.Add(time.Duration(phase))
	}
	if s.now.Before(s.nextRound) {
		return
	}
	s.nextRound = s.now.Add(s.cfg.ReportInterval)
	s.round()
}

// tickGroup looks at a group again if time may have changed what it needs.
func (s *Scheduler) tickGroup(g *group) {
	held, used := g.holder.Totals()
	if s.wants(g) || held > used || g.owner != nil {
		s.markGroup(g)
	}
}

// round exchanges state with homes and owners.
func (s *Scheduler) round() {
	if s.fleet() {
		s.capCredit()
		s.reportAccounts()
		s.answerAccounts()
		s.reportLimits()
		s.roundPermits()
	}
	s.evict()
	for _, p := range s.quotas {
		s.message(p.name).Quota, p.quota = p.quota, nil
	}
	s.quotas = s.quotas[:0]
	for _, p := range s.pending {
		p.round = true
	}
}

// evict drops what has been idle for long.
func (s *Scheduler) evict() {
	if s.now.Before(s.nextEvict) {
		return
	}
	s.nextEvict = s.now.Add(evictInterval)
	s.book.EvictIdle(s.now)
	s.home.Expire(s.now)
}

func (s *Scheduler) reportAccounts() {
	reports := s.book.Reports(s.now)
	homes := make([]ids.Instance, 0, len(reports))
	for h := range reports {
		homes = append(homes, h)
	}
	sort.Slice(homes, func(i, j int) bool { return homes[i] < homes[j] })
	for _, h := range homes {
		if h == s.cfg.Self {
			s.home.Merge(s.now, s.reporter(), reports[h])
			continue
		}
		if h != "" {
			s.message(h).Report = reports[h]
		}
	}
}

func (s *Scheduler) reporter() account.Reporter {
	return account.Reporter{Instance: s.cfg.Self, Incarnation: fold(s.cfg.Incarnation)}
}

func (s *Scheduler) answerAccounts() {
	totals := s.home.Answers()
	names := make([]ids.Instance, 0, len(totals))
	for n := range totals {
		names = append(names, n)
	}
	sort.Slice(names, func(i, j int) bool { return names[i] < names[j] })
	for _, n := range names {
		if n == s.cfg.Self {
			s.answer(n, fold(s.cfg.Incarnation), totals[n])
			continue
		}
		s.message(n).Totals = totals[n]
	}
}

// roundPermits tells owners what is held, and lets this router's owners move
// permits and tell their holders.
func (s *Scheduler) roundPermits() {
	for _, g := range s.ours {
		n := s.need(g)
		held, used := g.holder.Totals()
		if held > 0 || used > 0 || n.Want > 0 || g.told.Want > 0 || g.returned {
			s.hold(g, n)
		}
		if g.owner != nil {
			g.owner.Round(s.now, s.isLive)
		}
		s.markGroup(g)
	}
	s.flushOwners(s.ours)
}

func (s *Scheduler) isLive(name ids.Instance) bool {
	_, ok := s.routers[name]
	return ok
}

// creditShare of the bound is the most that a workspace may be behind.
const creditShare = 0.5

// capCredit bounds how far behind the leading routers a backlogged workspace
// may be, as one may be after a partition or the loss of a home: it is raised
// to half the bound below the ceiling.
func (s *Scheduler) capCredit() {
	for _, n := range s.poolNames {
		p := s.pools[n]
		bound := p.capacity.bound(s.cfg.ReportInterval.Seconds())
		if bound == 0 {
			continue
		}
		ceiling := s.ceiling(p)
		for {
			l := p.queue.Min()
			if l == nil || ceiling == permit.NoVirtualTime {
				break
			}
			least := ceiling - creditShare*bound/math.Min(1, l.Account.Weight)
			if l.VS() >= least-1 {
				break
			}
			l.Account.Raise(least)
			s.reorder(l.Account, p.capacity)
		}
	}
}

// ceiling returns the greatest virtual service that waits as far as is known.
func (s *Scheduler) ceiling(p *pool) float64 {
	top := float64(permit.NoVirtualTime)
	if l := p.queue.Max(); l != nil {
		top = l.VS()
	}
	for _, g := range p.groups {
		top = math.Max(top, g.holder.Ceiling(s.now, s.fresh()))
	}
	return top
}

// bound returns the greatest difference in normalized service that two
// continuously backlogged workspaces should see: twice the work in flight and
// that of one interval. Zero if the time of requests is unknown.
func (c *capacity) bound(interval float64) float64 {
	seconds := c.costs.MeanSeconds()
	if seconds <= 0 {
		return 0
	}
	slots := float64(c.concurrency)
	flight := c.costs.MeanInFlightUnits()
	if c.running > 0 {
		// Long requests are seen in flight before any of them has ended.
		flight = math.Max(flight, c.charged/float64(c.running))
	}
	return 2 * (slots*flight + interval*slots*c.costs.MeanUnits()/seconds)
}

func (s *Scheduler) load(e Load) {
	m := s.members[e.Target]
	if m == nil || m.group.owner == nil {
		return
	}
	m.group.owner.ObserveLoad(s.now, m.index, e.Waiting)
	s.markGroup(m.group)
}

// drain refuses what waits; permits go back as they fall free.
func (s *Scheduler) drain() {
	s.draining = true
	s.dropAll(outcome.CodeShuttingDown, drainRetry, func(*request) bool { return true })
	for _, id := range s.groupIDs {
		s.markGroup(s.groups[id])
	}
}

// waiting returns the waiting requests in the order of their ids.
func (s *Scheduler) waiting() []*request {
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

// requeue puts waiting requests into the pools of a changed topology; those
// whose pool has no target left are refused.
func (s *Scheduler) requeue() {
	s.deadlines.Clear(false)
	for _, r := range s.waiting() {
		p := s.pools[r.Pool]
		if p == nil || !p.live {
			delete(s.requests, r.ID)
			if g := s.gates[r.Workspace]; g != nil {
				g.End(false)
			}
			s.book.SetBacklogged(s.now, r.line, false)
			s.refuse(r.ID, outcome.CodeNoTarget, noTargetRetry)
			continue
		}
		if r.line.IsBacklogged() {
			s.book.SetBacklogged(s.now, r.line, false)
		}
		r.pool = p
		r.payer, r.line = s.accounts(r.Workspace, p)
		s.enqueue(r)
	}
	for _, r := range s.runningRequests() {
		if p := s.pools[r.Pool]; p != nil {
			r.pool = p
			p.capacity.running++
			p.capacity.charged += r.charged
		}
	}
}

// Owned returns the targets whose load this router should poll.
func (s *Scheduler) Owned() []ids.Target {
	var out []ids.Target
	for _, id := range s.groupIDs {
		g := s.groups[id]
		if g.owner == nil && s.fleet() {
			continue
		}
		for _, m := range g.Members {
			out = append(out, m.ID)
		}
	}
	return out
}
