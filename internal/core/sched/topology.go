package sched

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/umberhill/umberhill/internal/core/account"
	"github.com/umberhill/umberhill/internal/core/permit"
	"github.com/umberhill/umberhill/internal/core/place"
	"github.com/umberhill/umberhill/internal/core/queue"
	"github.com/umberhill/umberhill/internal/core/rendezvous"
	"github.com/umberhill/umberhill/internal/ids"
)

// maxCandidates bounds the groups of a pool from which a router takes permits.
const maxCandidates = 8

// pool is the targets that can serve the same work, and what waits for them.
type pool struct {
	name     ids.Pool
	capacity *capacity
	queue    *queue.Queue
	// groups that this router uses, its own failure domain's first.
	groups []*group
	solo   []*request
	dirty  bool
	live   bool
	// hungry is since when requests have waited without a break.
	hungry  time.Time
	started pace
	// nextStarved is when a line may next get a turn for having waited long.
	nextStarved time.Time
}

// capacity is a set of pools that share targets, and so accounts: service in
// one of its pools takes from the others.
type capacity struct {
	name  string
	pools []*pool
	costs account.Costs
	// concurrency is the sum over the targets.
	concurrency int
	floor       float64
	// running requests of this router and the units charged for them.
	running int
	charged float64
}

// group is a group of targets and this router's part in it.
type group struct {
	*permit.Group
	holder *permit.Holder
	owner  *permit.Owner // nil unless this router is the owner
	pools  []*pool
	dirty  bool
	member []*member

	told     permit.Demand
	toldAt   time.Time
	returned bool
	early    []early
	near     bool
	// used tells that the router uses the group, being among the candidates.
	used bool
}

// member is one target.
type member struct {
	id     ids.Target
	hash   uint64
	domain ids.Domain
	group  *group
	index  int
	health place.Health
	solo   *request
	full   time.Time
}

func (s *Scheduler) setTargets(ts []Target) {
	s.targets = ts
	s.forgetMarks()
	s.rebuildPools()
	s.rebuildGroups()
	s.assignOwners()
	s.requeue()
	s.known = map[ids.Target]bool{}
	for _, t := range ts {
		s.known[t.ID] = true
	}
}

// forgetMarks drops what the last step left to look at: its pools and their
// queues are about to be replaced, and a request must not wait in two.
func (s *Scheduler) forgetMarks() {
	s.dirtyPools, s.dirtyGroups, s.pushed, s.drained = nil, nil, nil, nil
	for _, g := range s.groups {
		g.dirty = false
	}
}

// rebuildPools sets up the pools and capacities; waiting requests are put back
// by requeue.
func (s *Scheduler) rebuildPools() {
	s.pools, s.poolNames = map[ids.Pool]*pool{}, nil
	for _, t := range s.targets {
		for _, name := range t.Pools {
			p := s.pools[name]
			if p == nil {
				p = &pool{name: name, queue: queue.New()}
				s.pools[name] = p
				s.poolNames = append(s.poolNames, name)
			}
			p.live = p.live || !t.Leaving
		}
	}
	sort.Slice(s.poolNames, func(i, j int) bool { return s.poolNames[i] < s.poolNames[j] })
	s.rebuildCapacities()
}

// rebuildCapacities joins the pools that share targets. A capacity is named by
// its least pool.
func (s *Scheduler) rebuildCapacities() {
	parent := map[ids.Pool]ids.Pool{}
	for _, n := range s.poolNames {
		parent[n] = n
	}
	find := func(n ids.Pool) ids.Pool {
		for parent[n] != n {
			parent[n] = parent[parent[n]]
			n = parent[n]
		}
		return n
	}
	for _, t := range s.targets {
		for _, n := range t.Pools {
			a, b := find(t.Pools[0]), find(n)
			parent[max(a, b)] = min(a, b)
		}
	}
	old := s.capacities
	s.capacities = map[string]*capacity{}
	for _, n := range s.poolNames {
		name := string(find(n))
		c := s.capacities[name]
		if c == nil {
			c = &capacity{name: name, floor: permit.NoVirtualTime}
			if o := old[name]; o != nil {
				c.costs, c.floor = o.costs, o.floor
			}
			s.capacities[name] = c
		}
		c.pools = append(c.pools, s.pools[n])
		s.pools[n].capacity = c
	}
	for _, t := range s.targets {
		if len(t.Pools) > 0 && !t.Leaving {
			s.pools[t.Pools[0]].capacity.concurrency += t.Concurrency
		}
	}
}

func (s *Scheduler) rebuildGroups() {
	old, oldMembers := s.groups, s.members
	s.groups, s.groupIDs, s.members = map[uint32]*group{}, nil, map[ids.Target]*member{}
	for _, pg := range permit.Groups(s.permitTargets()) {
		g := old[pg.ID]
		if g == nil {
			g = s.newGroup(pg, oldMembers)
		}
		g.Group, g.holder.Group = pg, pg
		if g.owner != nil {
			g.owner.SetGroup(s.now, pg)
		}
		g.near = pg.Domain == s.cfg.Domain
		g.pools = nil
		for _, n := range pg.Pools {
			g.pools = append(g.pools, s.pools[n])
		}
		for _, m := range g.member {
			s.members[m.id] = m
		}
		s.groups[pg.ID] = g
		s.groupIDs = append(s.groupIDs, pg.ID)
	}
	s.chooseCandidates()
	for _, id := range s.groupIDs {
		s.markGroup(s.groups[id])
	}
}

func (s *Scheduler) permitTargets() []permit.Target {
	out := make([]permit.Target, 0, len(s.targets))
	for _, t := range s.targets {
		if len(t.Pools) == 0 {
			continue
		}
		m := permit.Member{ID: t.ID, Concurrency: t.Concurrency, Leaving: t.Leaving}
		m.SlowStart = s.known != nil && !s.known[t.ID]
		out = append(out, permit.Target{Member: m, Domain: t.Domain, Pools: t.Pools})
	}
	return out
}

// newGroup takes over the permits and running requests of targets that were in
// another group before.
func (s *Scheduler) newGroup(pg *permit.Group, old map[ids.Target]*member) *group {
	g := &group{Group: pg, holder: permit.NewHolder(pg)}
	for i, pm := range pg.Members {
		m := old[pm.ID]
		if m == nil {
			m = &member{id: pm.ID, hash: xxhash.Sum64String(string(pm.ID))}
		} else {
			h := m.group.holder
			g.holder.Adopt(i, h.Held(m.index), h.Used(m.index))
		}
		m.group, m.index, m.domain = g, i, pg.Domain
		g.member = append(g.member, m)
	}
	return g
}

// chooseCandidates picks the groups of each pool that this router uses: all
// while they are few, else those nearest by domain and rendezvous weight.
func (s *Scheduler) chooseCandidates() {
	self := xxhash.Sum64String(string(s.cfg.Self))
	byPool := map[ids.Pool][]*group{}
	for _, id := range s.groupIDs {
		g := s.groups[id]
		g.used = false
		for _, n := range g.Pools {
			byPool[n] = append(byPool[n], g)
		}
	}
	for _, n := range s.poolNames {
		gs := byPool[n]
		sort.SliceStable(gs, func(i, j int) bool {
			if gs[i].near != gs[j].near {
				return gs[i].near
			}
			return rendezvous.Mix(self^uint64(gs[i].ID)) > rendezvous.Mix(self^uint64(gs[j].ID))
		})
		s.pools[n].groups = spread(gs)
		for _, g := range s.pools[n].groups {
			g.used = true
		}
	}
}

// spread takes up to maxCandidates groups, half of them from other failure
// domains where there are any.
func spread(gs []*group) []*group {
	if len(gs) <= maxCandidates {
		return gs
	}
	near := 0
	for near < len(gs) && gs[near].near {
		near++
	}
	far := min(len(gs)-near, maxCandidates/2)
	out := append([]*group(nil), gs[:min(near, maxCandidates-far)]...)
	return append(out, gs[near:near+maxCandidates-len(out)]...)
}

func (s *Scheduler) setRouters(rs []Router) {
	before := s.routers
	s.routers = map[ids.Instance]Router{}
	s.names = nil
	for _, r := range rs {
		if _, ok := s.routers[r.Instance]; !ok {
			s.names = append(s.names, r.Instance)
		}
		s.routers[r.Instance] = r
	}
	if _, ok := s.routers[s.cfg.Self]; !ok {
		s.routers[s.cfg.Self] = Router{Instance: s.cfg.Self, Domain: s.cfg.Domain}
		s.names = append(s.names, s.cfg.Self)
	}
	sort.Slice(s.names, func(i, j int) bool { return s.names[i] < s.names[j] })
	s.live = rendezvous.New(s.names)
	s.book.SetRouters(s.live)
	for _, w := range s.gateNames() {
		s.gates[w].SetRouters(len(s.names))
	}
	s.retryDomains(before)
	s.assignOwners()
}

// retryDomains tries ejected targets again whose failure domain has come back.
func (s *Scheduler) retryDomains(before map[ids.Instance]Router) {
	had := map[ids.Domain]bool{}
	for _, r := range before {
		had[r.Domain] = true
	}
	has := map[ids.Domain]bool{}
	for _, r := range s.routers {
		has[r.Domain] = true
	}
	for _, m := range s.members {
		if has[m.domain] && !had[m.domain] {
			m.health.Retry(s.now)
		}
	}
}

// assignOwners picks the owner of each group: a live router of its failure
// domain, any if none is.
func (s *Scheduler) assignOwners() {
	if len(s.names) == 0 {
		return
	}
	byDomain := map[ids.Domain]*rendezvous.Set{}
	for _, id := range s.groupIDs {
		g := s.groups[id]
		set := byDomain[g.Domain]
		if set == nil {
			set = s.routersOf(g.Domain)
			byDomain[g.Domain] = set
		}
		s.setOwner(g, set.Pick(uint64(g.ID)))
	}
	s.chooseOurs()
}

// chooseOurs lists the groups that this router has to do with.
func (s *Scheduler) chooseOurs() {
	s.ours = s.ours[:0]
	for _, id := range s.groupIDs {
		g := s.groups[id]
		held, used := g.holder.Totals()
		if g.used || g.owner != nil || held > 0 || used > 0 {
			s.ours = append(s.ours, g)
		}
	}
}

func (s *Scheduler) routersOf(d ids.Domain) *rendezvous.Set {
	var near []ids.Instance
	for _, n := range s.names {
		if s.routers[n].Domain == d {
			near = append(near, n)
		}
	}
	if len(near) == 0 {
		return s.live
	}
	return rendezvous.New(near)
}

func (s *Scheduler) setOwner(g *group, owner ids.Instance) {
	if !s.fleet() {
		s.staticShare(g)
		return
	}
	if g.holder.Owner != owner {
		s.session++
		g.holder.SetOwner(s.now, owner, s.session)
		held, _ := g.holder.Totals()
		g.told, g.returned = permit.Demand{VirtualTime: permit.NoVirtualTime, SustainedVirtualTime: permit.NoVirtualTime}, g.used || held > 0
		s.markGroup(g)
	}
	switch {
	case owner != s.cfg.Self:
		g.owner = nil
	case g.owner == nil:
		g.owner = permit.NewOwner(s.now, s.ownerSettings(), g.Group, s.expected())
		s.takeEarly(g)
	}
}

// expected returns the routers that must speak before a new owner grants. A
// router that has just started and knows no other may only not know them yet:
// nobody answers to the empty name, so that its owners listen first.
func (s *Scheduler) expected() []ids.Instance {
	if len(s.names) > 1 || s.now.Sub(s.born) >= graceIntervals*s.cfg.ReportInterval {
		return s.names
	}
	return []ids.Instance{s.cfg.Self, ""}
}

func (s *Scheduler) ownerSettings() permit.OwnerSettings {
	return permit.OwnerSettings{
		Interval:      s.cfg.ReportInterval,
		Tolerance:     s.cfg.Tolerance,
		GracePeriod:   graceIntervals * s.cfg.ReportInterval,
		HolderTimeout: lapseIntervals * s.cfg.ReportInterval,
	}
}

// staticShare gives the baselines their permits.
func (s *Scheduler) staticShare(g *group) {
	for i, m := range g.Members {
		n := m.Concurrency
		if s.cfg.Mode == ModeLocal {
			n = max(1, n/max(1, len(s.names)))
		}
		if m.Leaving {
			n = 0
		}
		held := g.holder.Held(i)
		g.holder.Adopt(i, n-held, 0)
		g.holder.Return(i, held-n)
	}
	s.markGroup(g)
}
