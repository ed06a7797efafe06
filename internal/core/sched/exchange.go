package sched

import (
	"math"
	"time"

	schedv1 "github.com/umberhill/umberhill/api/sched/v1"
	"github.com/umberhill/umberhill/internal/core/account"
	"github.com/umberhill/umberhill/internal/core/permit"
	"github.com/umberhill/umberhill/internal/ids"
)

const (
	// graceIntervals is how many report intervals a new owner only listens.
	graceIntervals = 1
	// lapseIntervals of silence free a holder's permits; half of them if the
	// holder is no longer live.
	lapseIntervals = 4
	// validIntervals of an owner's silence stop the use of its permits; less
	// than lapseIntervals, so that a holder stops first.
	validIntervals = 3
	// freshIntervals is how long a told floor counts.
	freshIntervals = 3
	// headroom in tolerances that a lift leaves below the floor, so that a
	// workspace that was idle is served at once.
	headroom = 2
	// toleranceRequests is the least tolerance, in mean requests.
	toleranceRequests = 1
	// toleranceShare of a small pool's bound is the greatest tolerance.
	toleranceShare = 0.125
	// minStarved and starvedRequests, in times of its next request, are the
	// patience with which a line waits unserved at a router; one in as many
	// permits may be used for such lines.
	minStarved      = 2 * time.Second
	starvedRequests = 8
	// maxEarly bounds the holders' states kept for a group not yet owned.
	maxEarly = 64
	// linger is how long an unused permit is kept while nobody waits for it.
	linger = 2 * time.Second
	// spillAfter is how long requests wait for permits of the nearest groups
	// before others are asked too.
	spillAfter = 2 * TickInterval
)

const (
	// edgeBytesPerSecond bounds the messages sent between two rounds, over all
	// peers; what exceeds it waits and travels together.
	edgeBytesPerSecond = 700
	// edgeBurst in bytes.
	edgeBurst = 2048
	// frameBytes that a message needs on a link besides its own.
	frameBytes = 18
)

// peer is what is known of another router, and what is to be sent to it.
type peer struct {
	name        ids.Instance
	incarnation uint32
	seen        uint32
	sent        uint32
	out         *schedv1.Message
	round       bool
	quota       *schedv1.Quota // for the next round
}

func (s *Scheduler) peer(name ids.Instance) *peer {
	p := s.peers[name]
	if p == nil {
		p = &peer{name: name}
		s.peers[name] = p
	}
	return p
}

// message returns the message to a peer that is being put together.
func (s *Scheduler) message(to ids.Instance) *schedv1.Message {
	p := s.peer(to)
	if p.out == nil {
		p.out = &schedv1.Message{Incarnation: fold(s.cfg.Incarnation)}
		s.pending = append(s.pending, p)
	}
	return p.out
}

// fold shortens an incarnation for messages.
func fold(i ids.Incarnation) uint32 { return uint32(i) ^ uint32(i>>32) }

func (s *Scheduler) fresh() time.Duration { return freshIntervals * s.cfg.ReportInterval }

// tolerance returns how far virtual services may differ before permits move.
func (s *Scheduler) tolerance(g *group) float64 {
	if len(g.pools) == 0 {
		return s.cfg.Tolerance
	}
	return s.capacityTolerance(g.pools[0].capacity)
}

// toldTolerance returns the tolerance to tell owners, zero for the configured
// one.
func (s *Scheduler) toldTolerance(c *capacity) float64 {
	if t := s.capacityTolerance(c); t != s.cfg.Tolerance {
		return math.Max(1, t)
	}
	return 0
}

func (s *Scheduler) capacityTolerance(c *capacity) float64 {
	t := s.cfg.Tolerance
	if b := c.bound(s.cfg.ReportInterval.Seconds()); b > 0 {
		t = math.Min(t, b*toleranceShare)
	}
	return math.Max(t, toleranceRequests*c.costs.MeanUnits())
}

// exchangeDirty returns permits, asks for more, and lets owners of this router
// speak with it directly.
func (s *Scheduler) exchangeDirty() {
	groups := s.dirtyGroups
	s.dirtyGroups = nil
	for _, g := range groups {
		g.dirty = false
		if !s.fleet() {
			continue
		}
		s.giveBack(g)
		s.tellOwner(g)
	}
	if s.fleet() {
		s.flushOwners(groups)
	}
}

// giveBack returns the permits that the router should not keep.
func (s *Scheduler) giveBack(g *group) {
	h := g.holder
	contended := h.Floor(s.now, s.fresh()) != permit.NoVirtualTime && !s.wants(g)
	idle := s.now.Sub(h.IdleSince()) >= linger && !s.wants(g)
	for i, m := range g.member {
		n := 0
		switch {
		case h.SoloMember() == i && s.needsSolo(g):
		case s.draining, contended, idle, h.IsReturnRequested(i), g.Members[i].Leaving, m.health.Ejected() && !m.health.Usable(s.now):
			n = h.Free(i)
		case h.Recall() > 0:
			n = min(h.Free(i), h.Recall())
		}
		if n > 0 && h.Return(i, n) > 0 {
			g.returned = true
		}
	}
}

// tellOwner sends the router's state if the owner must know at once: a permit
// went back, or more are wanted than it was told.
func (s *Scheduler) tellOwner(g *group) {
	n := s.need(g)
	more := n.Want > 0 && g.told.Want == 0
	urgent := n.Urgent > g.told.Urgent
	again := n.Want > 0 && s.now.Sub(g.toldAt) >= s.cfg.ReportInterval/2 && !g.answered(s.fresh(), s.now)
	switch {
	case g.returned, more, urgent, again, n.Solo != g.told.Solo:
		s.hold(g, n)
	case g.owner != nil && n != g.told:
		s.hold(g, n)
	}
}

// answered tells whether the owner has spoken since it was last told.
func (g *group) answered(fresh time.Duration, now time.Time) bool {
	return g.holder.IsLeaseValid(now, min(fresh, now.Sub(g.toldAt)))
}

// hold tells the owner the router's state.
func (s *Scheduler) hold(g *group, n permit.Demand) {
	g.told, g.toldAt, g.returned = n, s.now, false
	state := g.holder.State(n)
	if g.owner != nil {
		g.owner.MergeHold(s.now, s.cfg.Self, fold(s.cfg.Incarnation), state, false)
		return
	}
	if g.holder.Owner == "" || g.holder.Owner == s.cfg.Self {
		return
	}
	putHold(s.message(g.holder.Owner), state)
}

// putHold adds a state to a message, in place of an older one of its group.
func putHold(m *schedv1.Message, h *schedv1.Hold) {
	for i, x := range m.GetHolds() {
		if x.GetGroup() == h.GetGroup() {
			m.Holds[i] = h
			return
		}
	}
	m.Holds = append(m.Holds, h)
}

func putLease(m *schedv1.Message, l *schedv1.Lease) {
	for i, x := range m.GetLeases() {
		if x.GetGroup() == l.GetGroup() {
			m.Leases[i] = l
			return
		}
	}
	m.Leases = append(m.Leases, l)
}

// flushOwners delivers what the owners among the groups have to tell.
func (s *Scheduler) flushOwners(groups []*group) {
	for _, g := range groups {
		if g.owner == nil {
			continue
		}
		for _, t := range g.owner.Flush() {
			if t.To == s.cfg.Self {
				s.take(g, t.Lease, false)
				continue
			}
			putLease(s.message(t.To), t.Lease)
		}
	}
}

// take merges a lease, and looks at the group again.
func (s *Scheduler) take(g *group, l *schedv1.Lease, old bool) {
	before, _ := g.holder.Totals()
	g.holder.MergeLease(s.now, l, old)
	after, _ := g.holder.Totals()
	got := max(0, after-before)
	g.told.Want = max(0, g.told.Want-got)
	g.told.Urgent = max(0, g.told.Urgent-got)
	s.markGroup(g)
}

func (s *Scheduler) receive(from ids.Instance, m *schedv1.Message) {
	if m == nil || from == s.cfg.Self || !s.fleet() {
		return
	}
	p := s.peer(from)
	if p.incarnation != m.GetIncarnation() {
		p.incarnation, p.seen = m.GetIncarnation(), 0
	}
	old := m.GetSequence() <= p.seen
	p.seen = max(p.seen, m.GetSequence())
	if r := m.GetReport(); r != nil {
		s.home.Merge(s.now, account.Reporter{Instance: from, Incarnation: m.GetIncarnation()}, r)
	}
	if t := m.GetTotals(); t != nil && t.GetTo() == fold(s.cfg.Incarnation) {
		s.answer(from, m.GetIncarnation(), t)
	}
	for _, h := range m.GetHolds() {
		if g := s.groups[h.GetGroup()]; g != nil {
			s.takeHold(g, early{from: from, incarnation: m.GetIncarnation(), hold: h, old: old})
		}
	}
	for _, l := range m.GetLeases() {
		if g := s.groups[l.GetGroup()]; g != nil && g.holder.Owner == from {
			s.take(g, l, old)
		}
	}
	if !old {
		s.receiveLimits(from, m)
	}
}

// early is a holder's state, and when it came where it came too early: its
// sender has learnt of a change of the routers before this one.
type early struct {
	from        ids.Instance
	incarnation uint32
	hold        *schedv1.Hold
	old         bool
	at          time.Time
}

// takeHold merges a holder's state, or keeps it in case this router is about
// to learn that it owns the group.
func (s *Scheduler) takeHold(g *group, e early) {
	if g.owner != nil {
		g.owner.MergeHold(s.now, e.from, e.incarnation, e.hold, e.old)
		s.markGroup(g)
		return
	}
	if e.old {
		return
	}
	e.at = s.now
	for i := range g.early {
		if g.early[i].from == e.from {
			g.early[i] = e
			return
		}
	}
	if len(g.early) < maxEarly {
		g.early = append(g.early, e)
	}
}

// takeEarly gives a new owner what came too early.
func (s *Scheduler) takeEarly(g *group) {
	held := g.early
	g.early = nil
	for _, e := range held {
		if s.now.Sub(e.at) < s.fresh() {
			s.takeHold(g, e)
		}
	}
}

// answer takes in a home's totals.
func (s *Scheduler) answer(from ids.Instance, incarnation uint32, t *schedv1.Totals) {
	s.book.MergeTotals(s.now, from, incarnation, t, func(a *account.Account) {
		for _, n := range s.poolNames {
			s.pools[n].queue.Reorder(a)
		}
	})
}
