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
	// graceIntervals is how many report intervals a new owner waits for the states
	// of the holders before it grants permits.
	graceIntervals = 1
	// holderTimeoutIntervals is how many report intervals after a holder's last
	// message its permits expire; half as many if the holder is no longer live.
	holderTimeoutIntervals = 4
	// leaseValidIntervals is how many report intervals after the owner's last lease
	// a holder stops using its permits; less than lapseIntervals, so that the holder
	// stops before the owner grants the permits to others.
	leaseValidIntervals = 3
	// stateFreshIntervals is how many report intervals a floor, a ceiling or an
	// early hold (see earlyHold) received from another router remains in use.
	stateFreshIntervals = 3
	// liftHeadroom is how many tolerances below the floor a lifted account is
	// placed, so that a workspace that was idle is served at once.
	liftHeadroom = 2
	// minToleranceRequests is the least tolerance, in multiples of the mean cost of
	// a request.
	minToleranceRequests = 1
	// maxToleranceShare is the greatest tolerance as a share of the fairness bound.
	// It lowers the tolerance of small pools.
	maxToleranceShare = 0.125
	// A flow is starved once it has been unserved at a router for both
	// minStarvationDelay and starvationRequests times the expected duration of its
	// next request. One in starvationRequests permits may be used for starved flows.
	minStarvationDelay = 2 * time.Second
	starvationRequests = 8
	// maxEarlyHolds bounds the holds kept for a group that this router does not own
	// yet.
	maxEarlyHolds = 64
	// idlePermitRetention is how long free permits of a group are kept after the
	// last use while no request waits for them.
	idlePermitRetention = 2 * time.Second
	// spilloverDelay is how long requests wait for permits of the nearest groups
	// before permits of all groups are requested.
	spilloverDelay = 2 * TickInterval
)

const (
	// immediateBytesPerSecond bounds the messages sent between two rounds, over all
	// peers. Messages above it are delayed and merged into one for each peer.
	immediateBytesPerSecond = 700
	// immediateBurstBytes is the burst allowed for such messages.
	immediateBurstBytes = 2048
	// frameOverheadBytes is the size of the frame around a message on a link.
	frameOverheadBytes = 18
)

// peer is the state of the message exchange with another router.
type peer struct {
	name                 ids.Instance
	incarnation          uint32
	lastReceivedSequence uint32
	lastSentSequence     uint32
	outgoing             *schedv1.Message // nil if there is nothing to send
	inRound              bool             // outgoing is part of a round
	nextQuota            *schedv1.Quota   // to be sent in the next round
}

func (s *Scheduler) peer(name ids.Instance) *peer {
	p := s.peers[name]
	if p == nil {
		p = &peer{name: name}
		s.peers[name] = p
	}
	return p
}

// message returns the outgoing message to a peer, a new one if there is none.
func (s *Scheduler) message(to ids.Instance) *schedv1.Message {
	p := s.peer(to)
	if p.outgoing == nil {
		p.outgoing = &schedv1.Message{Incarnation: foldIncarnation(s.settings.Incarnation)}
		s.pendingPeers = append(s.pendingPeers, p)
	}
	return p.outgoing
}

// foldIncarnation shortens an incarnation to 32 bits for messages.
func foldIncarnation(i ids.Incarnation) uint32 { return uint32(i) ^ uint32(i>>32) }

// stateFreshness returns how long state received from other routers remains in
// use.
func (s *Scheduler) stateFreshness() time.Duration {
	return stateFreshIntervals * s.settings.ReportInterval
}

// tolerance returns how far virtual services may differ before permits of the
// group move between routers, in units per weight.
func (s *Scheduler) tolerance(g *group) float64 {
	if len(g.pools) == 0 {
		return s.settings.Tolerance
	}
	return s.capacityTolerance(g.pools[0].capacity)
}

// reportedTolerance returns the tolerance to report to owners, zero for the
// configured one.
func (s *Scheduler) reportedTolerance(c *capacity) float64 {
	if t := s.capacityTolerance(c); t != s.settings.Tolerance {
		return math.Max(1, t)
	}
	return 0
}

// capacityTolerance returns the configured tolerance, at most maxToleranceShare
// of the fairness bound and at least minToleranceRequests mean requests.
func (s *Scheduler) capacityTolerance(c *capacity) float64 {
	t := s.settings.Tolerance
	if b := c.fairnessBound(s.settings.ReportInterval.Seconds()); b > 0 {
		t = math.Min(t, b*maxToleranceShare)
	}
	return math.Max(t, minToleranceRequests*c.costs.MeanUnits())
}

// exchangeDirtyGroups returns and requests permits of the groups marked dirty.
// Owners at this router are called directly, without a message.
func (s *Scheduler) exchangeDirtyGroups() {
	groups := s.dirtyGroups
	s.dirtyGroups = nil
	for _, g := range groups {
		g.dirty = false
		if !s.isFleetMode() {
			continue
		}
		s.returnPermits(g)
		s.reportDemandIfDue(g)
	}
	if s.isFleetMode() {
		s.deliverLeases(groups)
	}
}

// returnPermits returns the free permits of a group that the router should not
// keep: those of a group without demand here that is contended or that has not
// been used for idlePermitRetention, those that the owner recalls, those for
// members that can't be used, and all of them while this router drains. The permits
// of a member that the owner assigned to this router alone are kept while a solo
// request waits.
func (s *Scheduler) returnPermits(g *group) {
	h := g.holder
	contended := h.Floor(s.now, s.stateFreshness()) != permit.NoVirtualService && !s.hasDemand(g)
	idle := s.now.Sub(h.LastUseAt()) >= idlePermitRetention && !s.hasDemand(g)
	for i, m := range g.members {
		n := 0
		switch {
		case h.SoloMember() == i && s.hasSoloDemand(g):
		case s.draining, contended, idle, h.IsReturnRequested(i), g.Members[i].Draining, m.health.IsEjected() && !m.health.IsUsable(s.now):
			n = h.Free(i)
		case h.Recall() > 0:
			n = min(h.Free(i), h.Recall())
		}
		if n > 0 && h.Return(i, n) > 0 {
			g.mustReport = true
		}
	}
}

// reportDemandIfDue reports this router's permits and demand without waiting for
// the next round if a permit was returned, if permits are wanted and the last
// report requested none, if more are urgent than in the last report, if the owner
// has not answered for half a report interval, or if Demand.Solo has changed. An
// owner at this router gets every change.
func (s *Scheduler) reportDemandIfDue(g *group) {
	d := s.demand(g)
	newDemand := d.Want > 0 && g.reportedDemand.Want == 0
	moreUrgent := d.Urgent > g.reportedDemand.Urgent
	repeat := d.Want > 0 && s.now.Sub(g.reportedAt) >= s.settings.ReportInterval/2 && !g.hasOwnerAnswered(s.stateFreshness(), s.now)
	switch {
	case g.mustReport, newDemand, moreUrgent, repeat, d.Solo != g.reportedDemand.Solo:
		s.reportDemand(g, d)
	case g.owner != nil && d != g.reportedDemand:
		s.reportDemand(g, d)
	}
}

// hasOwnerAnswered reports whether a lease has arrived from the owner since the
// last report to it and within the last maxAge.
func (g *group) hasOwnerAnswered(maxAge time.Duration, now time.Time) bool {
	return g.holder.IsLeaseValid(now, min(maxAge, now.Sub(g.reportedAt)))
}

// reportDemand sends this router's permits and demand to the group's owner.
func (s *Scheduler) reportDemand(g *group, d permit.Demand) {
	g.reportedDemand, g.reportedAt, g.mustReport = d, s.now, false
	state := g.holder.Report(d)
	if g.owner != nil {
		g.owner.MergeHold(s.now, s.settings.Self, foldIncarnation(s.settings.Incarnation), state, false)
		return
	}
	if g.holder.Owner == "" || g.holder.Owner == s.settings.Self {
		return
	}
	putHold(s.message(g.holder.Owner), state)
}

// putHold adds a hold to a message in place of an older one for the same group.
func putHold(m *schedv1.Message, h *schedv1.Hold) {
	for i, x := range m.GetHolds() {
		if x.GetGroup() == h.GetGroup() {
			m.Holds[i] = h
			return
		}
	}
	m.Holds = append(m.Holds, h)
}

// putLease adds a lease to a message in place of an older one for the same group.
func putLease(m *schedv1.Message, l *schedv1.Lease) {
	for i, x := range m.GetLeases() {
		if x.GetGroup() == l.GetGroup() {
			m.Leases[i] = l
			return
		}
	}
	m.Leases = append(m.Leases, l)
}

// deliverLeases sends the pending leases of the groups that this router owns.
// Leases for this router are applied directly.
func (s *Scheduler) deliverLeases(groups []*group) {
	for _, g := range groups {
		if g.owner == nil {
			continue
		}
		for _, t := range g.owner.Flush() {
			if t.To == s.settings.Self {
				s.applyLease(g, t.Lease, false)
				continue
			}
			putLease(s.message(t.To), t.Lease)
		}
	}
}

// applyLease merges a lease and marks the group dirty. outOfOrder is set if a later
// message of the owner arrived before the one with this lease.
func (s *Scheduler) applyLease(g *group, l *schedv1.Lease, outOfOrder bool) {
	before, _ := g.holder.Totals()
	g.holder.MergeLease(s.now, l, outOfOrder)
	after, _ := g.holder.Totals()
	received := max(0, after-before)
	g.reportedDemand.Want = max(0, g.reportedDemand.Want-received)
	g.reportedDemand.Urgent = max(0, g.reportedDemand.Urgent-received)
	s.markGroupDirty(g)
}

// receive merges a message from a peer. The sequence number shows whether a later
// message of the same incarnation arrived before it. Of such an out-of-order
// message the cumulative counts are still merged; usage and quotas are ignored.
func (s *Scheduler) receive(from ids.Instance, m *schedv1.Message) {
	if m == nil || from == s.settings.Self || !s.isFleetMode() {
		return
	}
	p := s.peer(from)
	if p.incarnation != m.GetIncarnation() {
		p.incarnation, p.lastReceivedSequence = m.GetIncarnation(), 0
	}
	outOfOrder := m.GetSequence() <= p.lastReceivedSequence
	p.lastReceivedSequence = max(p.lastReceivedSequence, m.GetSequence())
	if r := m.GetReport(); r != nil {
		s.accountHome.Merge(s.now, account.Reporter{Instance: from, Incarnation: m.GetIncarnation()}, r)
	}
	if t := m.GetTotals(); t != nil && t.GetTo() == foldIncarnation(s.settings.Incarnation) {
		s.applyTotals(from, m.GetIncarnation(), t)
	}
	for _, h := range m.GetHolds() {
		if g := s.groups[h.GetGroup()]; g != nil {
			s.applyHold(g, earlyHold{from: from, incarnation: m.GetIncarnation(), hold: h, outOfOrder: outOfOrder})
		}
	}
	for _, l := range m.GetLeases() {
		if g := s.groups[l.GetGroup()]; g != nil && g.holder.Owner == from {
			s.applyLease(g, l, outOfOrder)
		}
	}
	if !outOfOrder {
		s.receiveLimits(from, m)
	}
}

// earlyHold is a hold, the state that a holder reports, with its sender. It is
// kept with the time of receipt if it arrives before this router owns the group, as
// when the sender receives a change of the live routers before this router does.
type earlyHold struct {
	from        ids.Instance
	incarnation uint32
	hold        *schedv1.Hold
	outOfOrder  bool
	receivedAt  time.Time
}

// applyHold merges a hold if this router owns the group. Otherwise it keeps the
// hold in case this router becomes the owner, unless it is out of order.
func (s *Scheduler) applyHold(g *group, e earlyHold) {
	if g.owner != nil {
		g.owner.MergeHold(s.now, e.from, e.incarnation, e.hold, e.outOfOrder)
		s.markGroupDirty(g)
		return
	}
	if e.outOfOrder {
		return
	}
	e.receivedAt = s.now
	for i := range g.earlyHolds {
		if g.earlyHolds[i].from == e.from {
			g.earlyHolds[i] = e
			return
		}
	}
	if len(g.earlyHolds) < maxEarlyHolds {
		g.earlyHolds = append(g.earlyHolds, e)
	}
}

// applyEarlyHolds passes the holds received early to a new owner, unless they are
// too old.
func (s *Scheduler) applyEarlyHolds(g *group) {
	holds := g.earlyHolds
	g.earlyHolds = nil
	for _, e := range holds {
		if s.now.Sub(e.receivedAt) < s.stateFreshness() {
			s.applyHold(g, e)
		}
	}
}

// applyTotals merges a home's totals and reorders the flows of changed accounts.
func (s *Scheduler) applyTotals(from ids.Instance, incarnation uint32, t *schedv1.Totals) {
	s.accounts.MergeTotals(s.now, from, incarnation, t, func(a *account.Account) {
		for _, n := range s.poolNames {
			s.pools[n].queue.Reorder(a)
		}
	})
}
