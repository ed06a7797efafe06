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
	// scanLines bounds the lines looked at for one decision, where the first
	// ones can't use any free permit.
	scanLines = 8
	// scanEntries bounds the requests looked at in a line.
	scanEntries = 4
	// paceWindow is over which the rate of dispatches is averaged.
	paceWindow = 2 * time.Second
)

func (s *Scheduler) dispatchDirty() {
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

// dispatchNext dispatches the request whose turn it is, if a permit is free.
func (s *Scheduler) dispatchNext(p *pool) bool {
	if !s.anyFree(p) {
		return false
	}
	if s.dispatchStarved(p) {
		return true
	}
	var found *request
	var at *member
	lines := 0
	p.queue.Ascend(func(l *queue.Line) bool {
		entries := 0
		l.Ascend(func(e *queue.Entry) bool {
			r := e.Value.(*request)
			if m := s.choose(r, l.VS()); m != nil {
				found, at = r, m
			}
			entries++
			return found == nil && entries < scanEntries
		})
		lines++
		return found == nil && lines < scanLines
	})
	if found == nil {
		return false
	}
	s.start(found, at)
	return true
}

// dispatchStarved gives a turn to a line that has waited unserved for too long:
// its workspace is ahead by what other routers serve of it. Turns are charged
// like any other, and take at most a share of this router's permits, else long
// requests would live on them.
func (s *Scheduler) dispatchStarved(p *pool) bool {
	if s.cfg.Mode == ModeFIFO || s.now.Before(p.nextStarved) || !s.outOfPatience(p) {
		return false
	}
	r := p.queue.Longest().Oldest().Value.(*request)
	m := s.choose(r, 0)
	if m == nil {
		return false
	}
	working := 0
	for _, g := range p.groups {
		working += g.working(s.now)
	}
	pause := starvedRequests * s.duration(r) / time.Duration(max(1, working))
	p.nextStarved = s.now.Add(max(minStarved, pause))
	s.start(r, m)
	return true
}

func (s *Scheduler) anyFree(p *pool) bool {
	if p.queue.Backlogged() == 0 {
		return false
	}
	for _, g := range p.groups {
		if held, used := g.holder.Totals(); held > used {
			return true
		}
	}
	return false
}

// choose returns the target for a request, its own failure domain first, or
// nil.
func (s *Scheduler) choose(r *request, vs float64) *member {
	var near, far []*member
	for _, g := range r.pool.groups {
		if !s.mayUse(g, vs) {
			continue
		}
		for _, m := range g.member {
			if !s.usable(m) || excluded(r, m.id) {
				continue
			}
			if g.near {
				near = append(near, m)
			} else {
				far = append(far, m)
			}
		}
	}
	if len(near) == 0 {
		near = far
	}
	cs := make([]place.Candidate, len(near))
	for i, m := range near {
		h := m.group.holder
		cs[i] = place.Candidate{Hash: m.hash, Used: h.Used(m.index), Held: h.Held(m.index)}
	}
	i := place.Choose(r.Prefix, s.cfg.Seed+uint64(r.ID), cs)
	if i < 0 {
		return nil
	}
	return near[i]
}

// mayUse tells whether a permit of the group may be put to use for a request
// with the given virtual service, rather than go back.
func (s *Scheduler) mayUse(g *group, vs float64) bool {
	if !s.fleet() {
		return true
	}
	if !s.valid(g) {
		return false
	}
	if g.holder.Recall() == 0 {
		return true
	}
	floor := g.holder.Floor(s.now, s.fresh())
	return floor == permit.NoVirtualTime || vs <= floor+s.tolerance(g)
}

// valid tells whether the group's owner has been heard of late.
func (s *Scheduler) valid(g *group) bool {
	return g.owner != nil || g.holder.IsLeaseValid(s.now, validIntervals*s.cfg.ReportInterval)
}

// usable tells whether a member has a free permit and takes requests.
func (s *Scheduler) usable(m *member) bool {
	h := m.group.holder
	return h.Free(m.index) > 0 && !h.IsReturnRequested(m.index) && s.open(m)
}

// open tells whether requests may be sent to a member.
func (s *Scheduler) open(m *member) bool {
	return !m.group.Members[m.index].Leaving && m.solo == nil &&
		m.group.holder.SoloMember() != m.index &&
		m.health.Usable(s.now) && s.now.Sub(m.full) >= fullPause
}

func excluded(r *request, t ids.Target) bool {
	for _, x := range r.Exclude {
		if x == t {
			return true
		}
	}
	return false
}

// start dispatches a request and charges its estimate.
func (s *Scheduler) start(r *request, m *member) {
	s.remove(r)
	r.pool.queue.Served(s.now, r.line.Key)
	r.member, r.started = m, s.now
	m.group.holder.Use(s.now, m.index)
	m.health.Start()
	r.pool.started.add(s.now)
	if g := s.gates[r.Workspace]; g != nil {
		g.Start()
		s.parkIfLimited(r)
	}
	r.pool.capacity.running++
	s.charge(r, s.estimate(r))
	s.emit(Dispatch{ID: r.ID, Target: m.id})
}

// duration returns the expected time of a request at a target, zero if unknown.
func (s *Scheduler) duration(r *request) time.Duration {
	c := &r.pool.capacity.costs
	return time.Duration(s.estimate(r) / c.MeanUnits() * c.MeanSeconds() * float64(time.Second))
}

// estimate returns the expected units of a request.
func (s *Scheduler) estimate(r *request) float64 {
	return r.payer.Estimate(r.Class, r.Hint, &r.pool.capacity.costs)
}

// dispatchSolo dispatches a request that must be alone at its target.
func (s *Scheduler) dispatchSolo(p *pool) bool {
	for _, r := range p.solo {
		if m := s.chooseSolo(r); m != nil {
			m.solo = r
			s.start(r, m)
			return true
		}
	}
	return false
}

func (s *Scheduler) chooseSolo(r *request) *member {
	for _, g := range r.pool.groups {
		for i, m := range g.member {
			h := g.holder
			if g.Members[i].Leaving || h.Used(i) > 0 || h.Free(i) == 0 || m.solo != nil || excluded(r, m.id) || !m.health.Usable(s.now) {
				continue
			}
			if !s.fleet() || (h.SoloMember() == i && s.valid(g)) {
				return m
			}
		}
	}
	return nil
}

// backlog updates which accounts are backlogged after dispatching, and lifts
// those that have become so: what a workspace did not use while idle is not
// saved up.
func (s *Scheduler) backlog() {
	for _, r := range s.pushed {
		if r.member == nil && s.requests[r.ID] == r && !r.Solo {
			s.becomeBacklogged(r)
		}
	}
	s.pushed = s.pushed[:0]
	for _, r := range s.drained {
		if r.line.IsBacklogged() && !s.waits(r) {
			s.book.SetBacklogged(s.now, r.line, false)
		}
	}
	s.drained = s.drained[:0]
}

func (s *Scheduler) becomeBacklogged(r *request) {
	if r.line.IsBacklogged() || s.cfg.Mode == ModeFIFO {
		return
	}
	c := r.pool.capacity
	if f := s.floor(c); f != permit.NoVirtualTime {
		r.line.Lift(f - headroom*s.capacityTolerance(c))
	}
	s.book.SetBacklogged(s.now, r.line, true)
	s.reorder(r.line, c)
}

// waits tells whether requests of the account that ordered r still wait.
func (s *Scheduler) waits(r *request) bool {
	for _, p := range r.pool.capacity.pools {
		if l := p.queue.Line(r.line.Key); l != nil && l.Len() > 0 && !l.Parked() {
			return true
		}
	}
	return false
}

// floor returns the least virtual service among the backlogged workspaces of a
// capacity that are known here; the last one known if there is none, or
// permit.NoVirtualTime.
func (s *Scheduler) floor(c *capacity) float64 {
	least := math.Inf(1)
	for _, p := range c.pools {
		if l := firstBacklogged(p.queue); l != nil {
			least = math.Min(least, l.VS())
		}
		for _, g := range p.groups {
			if f := g.holder.Floor(s.now, s.fresh()); f != permit.NoVirtualTime {
				least = math.Min(least, f)
			}
		}
	}
	if !math.IsInf(least, 1) {
		c.floor = least
	}
	return c.floor
}

// firstBacklogged returns the first line that was backlogged before this step.
func firstBacklogged(q *queue.Queue) *queue.Line {
	var out *queue.Line
	n := 0
	q.Ascend(func(l *queue.Line) bool {
		n++
		if l.Account.IsBacklogged() {
			out = l
		}
		return out == nil && n < scanLines
	})
	return out
}

// pace is an exponentially decaying rate of dispatches.
type pace struct {
	perSec float64
	last   time.Time
}

func (p *pace) decay(now time.Time) {
	if !p.last.IsZero() {
		p.perSec *= math.Exp(-now.Sub(p.last).Seconds() / paceWindow.Seconds())
	}
	p.last = now
}

func (p *pace) add(now time.Time) {
	p.decay(now)
	p.perSec += 1 / paceWindow.Seconds()
}

// wait returns how long n requests take to start at the present rate; zero if
// that is unknown.
func (p *pace) wait(now time.Time, n int) time.Duration {
	p.decay(now)
	if p.perSec < 0.1 {
		return 0
	}
	return time.Duration(float64(n) / p.perSec * float64(time.Second))
}
