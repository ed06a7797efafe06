package sched

import (
	"math"
	"time"

	"google.golang.org/protobuf/proto"

	schedv1 "github.com/umberhill/umberhill/api/sched/v1"
	"github.com/umberhill/umberhill/internal/core/account"
	"github.com/umberhill/umberhill/internal/core/permit"
	"github.com/umberhill/umberhill/internal/core/queue"
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
	return math.Max(t, toleranceRequests*c.costs.Units())
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
	contended := h.Floor(s.now, s.fresh()) != permit.NoVS && !s.wants(g)
	idle := s.now.Sub(h.IdleSince()) >= linger && !s.wants(g)
	for i, m := range g.member {
		n := 0
		switch {
		case h.Alone() == i && s.needsSolo(g):
		case s.draining, contended, idle, h.Dropped(i), g.Members[i].Leaving, m.health.Ejected() && !m.health.Usable(s.now):
			n = h.Free(i)
		case h.Recall() > 0:
			n = min(h.Free(i), h.Recall())
		}
		if n > 0 && h.Return(i, n) > 0 {
			g.returned = true
		}
	}
}

// wants tells whether requests wait here that could use the group.
func (s *Scheduler) wants(g *group) bool {
	for _, p := range g.pools {
		if p.queue.Backlogged() > 0 || len(p.solo) > 0 {
			return true
		}
	}
	return false
}

func (s *Scheduler) needsSolo(g *group) bool {
	for _, p := range g.pools {
		if len(p.solo) > 0 {
			return true
		}
	}
	return false
}

// need returns what the router would use of a group now.
func (s *Scheduler) need(g *group) permit.Need {
	n := permit.Need{VS: permit.NoVS, Base: permit.NoVS, Solo: s.keepsSolo(g), SoloAvoid: s.soloAvoid(g)}
	for i, m := range g.member {
		if !s.open(m) {
			n.Avoid |= 1 << i
		}
	}
	if s.draining || !g.used {
		return n
	}
	for _, p := range g.pools {
		// A router that holds the whole group wants no more, but the owner must
		// know how far ahead it is.
		if p.queue.Backlogged() == 0 {
			continue
		}
		want := s.wantOf(p, g)
		n.Want += want
		n.Urgent += min(want, s.urgent(p, g))
		l := p.queue.Min()
		if vs := l.VS(); n.VS == permit.NoVS || vs < n.VS {
			n.VS = vs
			n.Tolerance = s.toldTolerance(p.capacity)
			n.Step = s.estimate(l.Oldest().Value.(*request)) / l.Account.Weight
		}
		if want > 0 && s.starved(p) {
			n.Want, n.Urgent, n.VS, n.Base, n.Step = 1, 1, 0, permit.NoVS, 0
			break
		}
		if base := s.lasting(p); base != permit.NoVS && (n.Base == permit.NoVS || base < n.Base) {
			n.Base = base
		}
	}
	return n
}

// starved tells whether the first request has waited for long at a router
// without permits. Its workspace may be served well elsewhere, so that virtual
// service alone would never bring a permit here.
func (s *Scheduler) starved(p *pool) bool {
	for _, g := range p.groups {
		if g.working(s.now) > 0 {
			return false
		}
	}
	return s.outOfPatience(p)
}

// outOfPatience tells whether a line has waited unserved at this router for so
// long that it gets a turn whatever its virtual service, while its workspace may
// be served at others.
func (s *Scheduler) outOfPatience(p *pool) bool {
	l := p.queue.Longest()
	if l == nil {
		return false
	}
	patience := starvedRequests * s.duration(l.Oldest().Value.(*request))
	return s.now.Sub(l.Since()) >= max(minStarved, patience)
}

// lasting returns the least virtual service that has waited for an interval or
// longer, or NoVS.
func (s *Scheduler) lasting(p *pool) float64 {
	vs, n := float64(permit.NoVS), 0
	p.queue.Ascend(func(l *queue.Line) bool {
		n++
		if since, on := l.Account.BackloggedSince(); on && s.now.Sub(since) >= s.cfg.ReportInterval {
			vs = l.VS()
		}
		return vs == permit.NoVS && n < scanLines
	})
	return vs
}

// keepsSolo tells whether a target of the group is needed for one request
// alone: one runs so, or waits and this is the first group to look in.
func (s *Scheduler) keepsSolo(g *group) bool {
	for _, m := range g.member {
		if m.solo != nil {
			return true
		}
	}
	for _, p := range g.pools {
		if len(p.solo) > 0 && s.firstOpen(p, p.solo[0]) == g {
			return true
		}
	}
	return false
}

// firstOpen returns the nearest group of a pool with a target that can take a
// request, nil if there is none.
func (s *Scheduler) firstOpen(p *pool, r *request) *group {
	for _, g := range p.groups {
		for i, m := range g.member {
			if !g.Members[i].Leaving && m.health.Usable(s.now) && !excluded(r, m.id) {
				return g
			}
		}
	}
	return nil
}

// soloAvoid returns the targets that won't do for the first request that must
// be alone.
func (s *Scheduler) soloAvoid(g *group) uint64 {
	mask := uint64(0)
	for _, p := range g.pools {
		if len(p.solo) == 0 {
			continue
		}
		for i, m := range g.member {
			if excluded(p.solo[0], m.id) {
				mask |= 1 << i
			}
		}
	}
	return mask
}

// wantOf returns how many permits of a group are wanted for a pool: what the
// nearer groups have no room for, or everything once it has waited too long.
func (s *Scheduler) wantOf(p *pool, g *group) int {
	left := min(p.queue.Waiting()-len(p.solo), p.capacity.concurrency)
	if p.queue.Backlogged() == 0 {
		return 0
	}
	left = max(left, 1)
	spill := s.now.Sub(p.hungry) >= spillAfter
	for _, x := range p.groups {
		room := x.room(s.now)
		if x == g {
			return min(left, room)
		}
		if !spill {
			left -= min(left, room)
		}
	}
	return 0
}

// room returns how many more permits of the group there can be for this router.
func (g *group) room(now time.Time) int {
	n := 0
	for i, m := range g.Members {
		if !m.Leaving && g.member[i].health.Usable(now) {
			n += max(0, m.Concurrency-g.holder.Held(i))
		}
	}
	return n
}

// working returns the permits held for targets that take requests.
func (g *group) working(now time.Time) int {
	n := 0
	for i, m := range g.Members {
		if !m.Leaving && g.member[i].health.Usable(now) {
			n += g.holder.Held(i)
		}
	}
	return n
}

// urgent returns how many permits the pool needs beyond those that will fall
// free here by themselves: one for each workspace that waits. Only the nearest
// group with room is asked for them.
func (s *Scheduler) urgent(p *pool, g *group) int {
	held, first := 0, (*group)(nil)
	for _, x := range p.groups {
		held += x.working(s.now)
		if first == nil && x.room(s.now) > 0 {
			first = x
		}
	}
	if first != g {
		return 0
	}
	return max(0, p.queue.Backlogged()-held)
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
	return g.holder.Valid(now, min(fresh, now.Sub(g.toldAt)))
}

// hold tells the owner the router's state.
func (s *Scheduler) hold(g *group, n permit.Need) {
	g.told, g.toldAt, g.returned = n, s.now, false
	state := g.holder.State(n)
	if g.owner != nil {
		g.owner.Hold(s.now, s.cfg.Self, fold(s.cfg.Incarnation), state, false)
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
	g.holder.Take(s.now, l, old)
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
		g.owner.Hold(s.now, e.from, e.incarnation, e.hold, e.old)
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
	s.book.Answer(s.now, from, incarnation, t, func(a *account.Account) {
		for _, n := range s.poolNames {
			s.pools[n].queue.Reorder(a)
		}
	})
}

// send emits the messages put together: those of a round always, others while
// the budget lasts.
func (s *Scheduler) send() {
	s.budget.refill(s.now)
	keep := s.pending[:0]
	for _, p := range s.pending {
		switch {
		case !s.isLive(p.name):
			p.out, p.round = nil, false
		case p.round || s.budget.open():
			s.sendTo(p)
		default:
			keep = append(keep, p)
		}
	}
	clear(s.pending[len(keep):])
	s.pending = keep
}

func (s *Scheduler) sendTo(p *peer) {
	p.sent++
	p.out.Sequence = p.sent
	if !p.round {
		s.budget.take(proto.Size(p.out) + frameBytes)
	}
	s.emit(Send{To: p.name, Msg: p.out})
	p.out, p.round = nil, false
}

// budget is a token bucket of bytes that may go below zero once.
type budget struct {
	bytes float64
	last  time.Time
}

func (b *budget) refill(now time.Time) {
	if b.last.IsZero() {
		b.bytes = edgeBurst
	} else {
		b.bytes = math.Min(edgeBurst, b.bytes+now.Sub(b.last).Seconds()*edgeBytesPerSecond)
	}
	b.last = now
}

func (b *budget) open() bool { return b.bytes > 0 }

func (b *budget) take(n int) { b.bytes -= float64(n) }
