package sched

import (
	"time"

	"github.com/umberhill/umberhill/internal/core/permit"
	"github.com/umberhill/umberhill/internal/core/queue"
)

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
func (s *Scheduler) need(g *group) permit.Demand {
	n := permit.Demand{VirtualTime: permit.NoVirtualTime, SustainedVirtualTime: permit.NoVirtualTime, Solo: s.keepsSolo(g), SoloAvoid: s.soloAvoid(g)}
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
		if vs := l.VS(); n.VirtualTime == permit.NoVirtualTime || vs < n.VirtualTime {
			n.VirtualTime = vs
			n.Tolerance = s.toldTolerance(p.capacity)
			n.VirtualTimeStep = s.estimate(l.Oldest().Value.(*request)) / l.Account.Weight
		}
		if want > 0 && s.starved(p) {
			n.Want, n.Urgent, n.VirtualTime, n.SustainedVirtualTime, n.VirtualTimeStep = 1, 1, 0, permit.NoVirtualTime, 0
			break
		}
		if base := s.lasting(p); base != permit.NoVirtualTime && (n.SustainedVirtualTime == permit.NoVirtualTime || base < n.SustainedVirtualTime) {
			n.SustainedVirtualTime = base
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
// longer, or permit.NoVirtualTime.
func (s *Scheduler) lasting(p *pool) float64 {
	vs, n := float64(permit.NoVirtualTime), 0
	p.queue.Ascend(func(l *queue.Line) bool {
		n++
		if since, on := l.Account.BackloggedSince(); on && s.now.Sub(since) >= s.cfg.ReportInterval {
			vs = l.VS()
		}
		return vs == permit.NoVirtualTime && n < scanLines
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
