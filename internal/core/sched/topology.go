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

// maxCandidateGroups bounds the groups of a pool from which a router takes
// permits.
const maxCandidateGroups = 8

// pool is a set of targets that can serve the same requests, with the requests
// that wait for them.
type pool struct {
	name     ids.Pool
	capacity *capacity
	queue    *queue.Queue
	// groups are those that this router uses, its own failure domain's first.
	groups        []*group
	soloRequests  []*request // waiting solo requests
	dirty         bool
	hasLiveTarget bool // a target of the pool is not draining
	// waitingSince is the last tick at which no flow was backlogged, or the time of
	// the first request.
	waitingSince time.Time
	dispatchRate decayingRate
	// nextStarvedDispatch is the earliest time of the next dispatch from a starved
	// flow.
	nextStarvedDispatch time.Time
}

// capacity is a set of pools that share targets, directly or through other pools.
// They also share accounts, since service in one of the pools leaves less for the
// others.
type capacity struct {
	name  string
	pools []*pool
	costs account.Costs
	// concurrency is the sum over the targets that are not draining.
	concurrency int
	// floor is the last least virtual service of a backlogged workspace; see
	// Scheduler.floor.
	floor float64
	// running is the number of this router's running requests; chargedUnits is the
	// sum of the units charged for them.
	running      int
	chargedUnits float64
}

// group is a group of targets with this router's state as holder and, if this
// router owns the group, as owner.
type group struct {
	*permit.Group
	holder  *permit.Holder
	owner   *permit.Owner // nil unless this router is the owner
	pools   []*pool
	dirty   bool
	members []*member

	// reportedDemand is the last demand reported to the owner, less the permits
	// granted since.
	reportedDemand permit.Demand
	reportedAt     time.Time
	// mustReport is set if the owner must receive a report although the demand has
	// not changed, as after a return of permits.
	mustReport bool
	earlyHolds []earlyHold
	// local is set if the group is in this router's failure domain.
	local bool
	// isCandidate is set if this router uses the group.
	isCandidate bool
}

// member is one target of a group.
type member struct {
	id          ids.Target
	hash        uint64
	domain      ids.Domain
	group       *group
	index       int
	health      place.Health
	soloRequest *request  // the solo request that runs at the target; nil for none
	rejectedAt  time.Time // of the last request that the target rejected as full
}

// setTargets replaces the targets and rebuilds pools, capacities and groups.
func (s *Scheduler) setTargets(ts []Target) {
	s.targets = ts
	s.clearDirtyMarks()
	s.rebuildPools()
	s.rebuildGroups()
	s.assignOwners()
	s.requeue()
	s.previousTargets = map[ids.Target]bool{}
	for _, t := range ts {
		s.previousTargets[t.ID] = true
	}
}

// clearDirtyMarks empties the lists of pools, groups and requests that the last
// step left for converge to examine. The pools and their queues are about to be
// replaced, and a request must not wait in two queues.
func (s *Scheduler) clearDirtyMarks() {
	s.dirtyPools, s.dirtyGroups, s.maybeBacklogged, s.maybeIdle = nil, nil, nil, nil
	for _, g := range s.groups {
		g.dirty = false
	}
}

// rebuildPools creates the pools and capacities anew, without requests. The
// waiting requests are added by requeue.
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
			p.hasLiveTarget = p.hasLiveTarget || !t.Draining
		}
	}
	sort.Slice(s.poolNames, func(i, j int) bool { return s.poolNames[i] < s.poolNames[j] })
	s.rebuildCapacities()
}

// rebuildCapacities joins the pools that share targets, by union-find. A capacity
// has the name of its first pool in order of name.
func (s *Scheduler) rebuildCapacities() {
	parent := map[ids.Pool]ids.Pool{}
	for _, n := range s.poolNames {
		parent[n] = n
	}
	representative := func(n ids.Pool) ids.Pool {
		for parent[n] != n {
			parent[n] = parent[parent[n]]
			n = parent[n]
		}
		return n
	}
	for _, t := range s.targets {
		for _, n := range t.Pools {
			a, b := representative(t.Pools[0]), representative(n)
			parent[max(a, b)] = min(a, b)
		}
	}
	old := s.capacities
	s.capacities = map[string]*capacity{}
	for _, n := range s.poolNames {
		name := string(representative(n))
		c := s.capacities[name]
		if c == nil {
			c = &capacity{name: name, floor: permit.NoVirtualService}
			if o := old[name]; o != nil {
				c.costs, c.floor = o.costs, o.floor
			}
			s.capacities[name] = c
		}
		c.pools = append(c.pools, s.pools[n])
		s.pools[n].capacity = c
	}
	for _, t := range s.targets {
		if len(t.Pools) > 0 && !t.Draining {
			s.pools[t.Pools[0]].capacity.concurrency += t.Concurrency
		}
	}
}

// rebuildGroups creates the groups of the present targets and keeps the state of
// those that have the same members as before.
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
		g.local = pg.Domain == s.settings.Domain
		g.pools = nil
		for _, n := range pg.Pools {
			g.pools = append(g.pools, s.pools[n])
		}
		for _, m := range g.members {
			s.members[m.id] = m
		}
		s.groups[pg.ID] = g
		s.groupIDs = append(s.groupIDs, pg.ID)
	}
	s.chooseCandidates()
	for _, id := range s.groupIDs {
		s.markGroupDirty(s.groups[id])
	}
}

func (s *Scheduler) permitTargets() []permit.Target {
	out := make([]permit.Target, 0, len(s.targets))
	for _, t := range s.targets {
		if len(t.Pools) == 0 {
			continue
		}
		m := permit.Member{ID: t.ID, Concurrency: t.Concurrency, Draining: t.Draining}
		m.SlowStart = s.previousTargets != nil && !s.previousTargets[t.ID]
		out = append(out, permit.Target{Member: m, Domain: t.Domain, Pools: t.Pools})
	}
	return out
}

// newGroup returns a group without an owner. It takes over the permits and
// running requests of targets that were in another group before.
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
		g.members = append(g.members, m)
	}
	return g
}

// chooseCandidates selects the groups of each pool that this router uses: all of
// them up to maxCandidateGroups, beyond that a selection by failure domain and
// rendezvous weight.
func (s *Scheduler) chooseCandidates() {
	self := xxhash.Sum64String(string(s.settings.Self))
	byPool := map[ids.Pool][]*group{}
	for _, id := range s.groupIDs {
		g := s.groups[id]
		g.isCandidate = false
		for _, n := range g.Pools {
			byPool[n] = append(byPool[n], g)
		}
	}
	for _, n := range s.poolNames {
		gs := byPool[n]
		sort.SliceStable(gs, func(i, j int) bool {
			if gs[i].local != gs[j].local {
				return gs[i].local
			}
			return rendezvous.Mix(self^uint64(gs[i].ID)) > rendezvous.Mix(self^uint64(gs[j].ID))
		})
		s.pools[n].groups = limitToCandidates(gs)
		for _, g := range s.pools[n].groups {
			g.isCandidate = true
		}
	}
}

// limitToCandidates returns up to maxCandidateGroups groups, half of them from
// other failure domains if there are enough. The groups of this router's failure
// domain must come first.
func limitToCandidates(gs []*group) []*group {
	if len(gs) <= maxCandidateGroups {
		return gs
	}
	local := 0
	for local < len(gs) && gs[local].local {
		local++
	}
	remote := min(len(gs)-local, maxCandidateGroups/2)
	out := append([]*group(nil), gs[:min(local, maxCandidateGroups-remote)]...)
	return append(out, gs[local:local+maxCandidateGroups-len(out)]...)
}

// setRouters replaces the live routers, to which this router is added if it is
// missing, and assigns the owners anew.
func (s *Scheduler) setRouters(rs []Router) {
	before := s.routers
	s.routers = map[ids.Instance]Router{}
	s.routerNames = nil
	for _, r := range rs {
		if _, ok := s.routers[r.Instance]; !ok {
			s.routerNames = append(s.routerNames, r.Instance)
		}
		s.routers[r.Instance] = r
	}
	if _, ok := s.routers[s.settings.Self]; !ok {
		s.routers[s.settings.Self] = Router{Instance: s.settings.Self, Domain: s.settings.Domain}
		s.routerNames = append(s.routerNames, s.settings.Self)
	}
	sort.Slice(s.routerNames, func(i, j int) bool { return s.routerNames[i] < s.routerNames[j] })
	s.liveRouters = rendezvous.New(s.routerNames)
	s.accounts.SetRouters(s.liveRouters)
	for _, w := range s.limiterWorkspaces() {
		s.limiters[w].SetRouters(len(s.routerNames))
	}
	s.retryRecoveredDomains(before)
	s.assignOwners()
}

// retryRecoveredDomains ends the ejection of targets in failure domains that have
// a live router again.
func (s *Scheduler) retryRecoveredDomains(before map[ids.Instance]Router) {
	wasLive := map[ids.Domain]bool{}
	for _, r := range before {
		wasLive[r.Domain] = true
	}
	isLive := map[ids.Domain]bool{}
	for _, r := range s.routers {
		isLive[r.Domain] = true
	}
	for _, m := range s.members {
		if isLive[m.domain] && !wasLive[m.domain] {
			m.health.AllowProbe(s.now)
		}
	}
}

// assignOwners selects the owner of each group by rendezvous hashing: a live
// router of the group's failure domain, or any live router if the domain has
// none.
func (s *Scheduler) assignOwners() {
	if len(s.routerNames) == 0 {
		return
	}
	byDomain := map[ids.Domain]*rendezvous.Set{}
	for _, id := range s.groupIDs {
		g := s.groups[id]
		set := byDomain[g.Domain]
		if set == nil {
			set = s.routersIn(g.Domain)
			byDomain[g.Domain] = set
		}
		s.setOwner(g, set.Pick(uint64(g.ID)))
	}
	s.updateActiveGroups()
}

// updateActiveGroups lists the groups that this router uses, owns or holds permits
// of.
func (s *Scheduler) updateActiveGroups() {
	s.activeGroups = s.activeGroups[:0]
	for _, id := range s.groupIDs {
		g := s.groups[id]
		held, used := g.holder.Totals()
		if g.isCandidate || g.owner != nil || held > 0 || used > 0 {
			s.activeGroups = append(s.activeGroups, g)
		}
	}
}

// routersIn returns the live routers of a failure domain, or all live routers if
// it has none.
func (s *Scheduler) routersIn(d ids.Domain) *rendezvous.Set {
	var inDomain []ids.Instance
	for _, n := range s.routerNames {
		if s.routers[n].Domain == d {
			inDomain = append(inDomain, n)
		}
	}
	if len(inDomain) == 0 {
		return s.liveRouters
	}
	return rendezvous.New(inDomain)
}

// setOwner sets the owner of a group. It starts a new session if the owner has
// changed, and creates the owner's state if this router has become the owner.
func (s *Scheduler) setOwner(g *group, owner ids.Instance) {
	if !s.isFleetMode() {
		s.setStaticPermits(g)
		return
	}
	if g.holder.Owner != owner {
		s.lastSession++
		g.holder.SetOwner(s.now, owner, s.lastSession)
		held, _ := g.holder.Totals()
		g.reportedDemand, g.mustReport = permit.Demand{VirtualService: permit.NoVirtualService, SustainedVirtualService: permit.NoVirtualService}, g.isCandidate || held > 0
		s.markGroupDirty(g)
	}
	switch {
	case owner != s.settings.Self:
		g.owner = nil
	case g.owner == nil:
		g.owner = permit.NewOwner(s.now, s.ownerSettings(), g.Group, s.expectedHolders())
		s.applyEarlyHolds(g)
	}
}

// expectedHolders returns the routers from which a new owner must receive a hold
// before it grants permits ahead of the end of the grace period. A router that
// has just started and has no peers may not have discovered them yet, so the
// result includes the empty name, under which no router sends: the owner then
// waits for the whole grace period.
func (s *Scheduler) expectedHolders() []ids.Instance {
	if len(s.routerNames) > 1 || s.now.Sub(s.startedAt) >= graceIntervals*s.settings.ReportInterval {
		return s.routerNames
	}
	return []ids.Instance{s.settings.Self, ""}
}

func (s *Scheduler) ownerSettings() permit.OwnerSettings {
	return permit.OwnerSettings{
		Interval:      s.settings.ReportInterval,
		Tolerance:     s.settings.Tolerance,
		GracePeriod:   graceIntervals * s.settings.ReportInterval,
		HolderTimeout: holderTimeoutIntervals * s.settings.ReportInterval,
	}
}

// setStaticPermits sets the permits of the baseline modes, which have no owners.
func (s *Scheduler) setStaticPermits(g *group) {
	for i, m := range g.Members {
		n := m.Concurrency
		if s.settings.Mode == ModeLocal {
			n = max(1, n/max(1, len(s.routerNames)))
		}
		if m.Draining {
			n = 0
		}
		held := g.holder.Held(i)
		g.holder.Adopt(i, n-held, 0)
		g.holder.Return(i, held-n)
	}
	s.markGroupDirty(g)
}
