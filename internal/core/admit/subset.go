package admit

import (
	"cmp"
	"slices"
	"time"

	"github.com/umberhill/umberhill/internal/core/rendezvous"
	"github.com/umberhill/umberhill/internal/ids"
)

// In a fleet whose routers know each other's load only through the sums of hubs, a view is
// older than the time between two requests for the same engine. If all routers considered
// all engines, they would all send their next requests to the one that the last sum showed
// as idle. Each router therefore considers few engines, which only few other routers
// consider too, and those at which a request finds its shared parts. If none of these has room
// since the router has filled them itself, it has much of the fleet's load, and looks for an idle
// one among the others. If the others have filled them, a view that shows an idle engine is old.
const (
	// subsetLocal and subsetRemote are the numbers of engines that a router considers in
	// its own failure domain and in the others.
	subsetLocal  = 4
	subsetRemote = 2
	// maxCachedCandidates bounds the further engines that are considered since they have
	// the request's shared parts cached. A part that most requests share is at all engines.
	maxCachedCandidates = 3
	// minOwnShare is the fraction of the requests at the preferred engines that must be this
	// router's own for others to be looked for.
	minOwnShare = 0.5
	// idleShare is the fraction of an engine's slots below which it counts as idle. It leaves
	// room for what the routers send there before a report shows it.
	idleShare = 0.5
	// maxIdleScanned and maxIdleEvaluated bound the engines that are looked at and the idle ones
	// that are evaluated for one request, some microseconds of work each.
	maxIdleScanned   = 256
	maxIdleEvaluated = 8
)

// subset orders the engines of a service by this router's preference: those that come first
// are considered for its requests. The order differs between routers.
type subset struct {
	local, remote []*target
	// leased are the engines of which this router has a lease as cold ones. They are considered
	// while they are cold.
	leased []*target
}

// set orders the engines for the router with the given seed in the given domain.
func (ss *subset) set(targets []*target, seed uint64, domain ids.Domain) {
	ss.local, ss.remote = nil, nil
	for _, t := range targets {
		if t.Domain == domain {
			ss.local = append(ss.local, t)
		} else {
			ss.remote = append(ss.remote, t)
		}
	}
	mixed := rendezvous.Mix(seed)
	for _, list := range [][]*target{ss.local, ss.remote} {
		slices.SortFunc(list, func(a, b *target) int {
			return cmp.Compare(rendezvous.Mix(a.hash^mixed), rendezvous.Mix(b.hash^mixed))
		})
	}
}

// visit calls visit for each engine that is considered for a request and usable, and
// reports whether there is any.
func (ss *subset) visit(sel *selection, visit func(*target)) bool {
	visited := make([]*target, 0, subsetLocal+subsetRemote+maxCachedCandidates+1)
	offer := func(t *target) bool {
		if slices.Contains(visited, t) || !t.isUsable(sel.now, sel.req) {
			return false
		}
		visited = append(visited, t)
		visit(t)
		return true
	}
	if sel.home != nil {
		offer(sel.home)
	}
	cached := 0
	for _, t := range sel.sources {
		if cached == maxCachedCandidates {
			break
		}
		if offer(t) {
			cached++
		}
	}
	for _, t := range ss.leased {
		if t.limits.IsCold(sel.now, t.run) {
			offer(t)
		}
	}
	offerFirst := func(list []*target, n int) {
		for _, t := range list {
			if n == 0 {
				return
			}
			if offer(t) {
				n--
			}
		}
	}
	offerFirst(ss.local, subsetLocal)
	offerFirst(ss.remote, subsetRemote)
	return len(visited) > 0
}

// hasFilledPreferred reports whether most requests at the engines that the router prefers are its
// own.
func (ss *subset) hasFilledPreferred(now time.Time) bool {
	own, all := 0, 0
	count := func(list []*target, n int) {
		for _, t := range list[:min(n, len(list))] {
			running, _, _ := t.fleetLoad(now)
			own, all = own+t.running, all+running
		}
	}
	count(ss.local, subsetLocal)
	count(ss.remote, subsetRemote)
	return all > 0 && float64(own) >= minOwnShare*float64(all)
}

// repeatsPrefill reports whether a target would prefill shared parts that it lacks.
func (s *service) repeatsPrefill(sel *selection, t *target) bool {
	cached, sharedMissing := t.cachedTokens(sel.now, sel.req)
	_, fetched := sel.fetchSource(t, cached)
	return sharedMissing-fetched > smallPrefillTokens
}

// findIdle returns the first usable engine in the router's order that is idle, has room for the
// request, has or can fetch its shared parts, and is expected to be on time. It returns false if
// there is none, or if the router has not filled the engines that it prefers.
func (s *service) findIdle(sel *selection, domain ids.Domain) (candidate, bool) {
	if !s.subset.hasFilledPreferred(sel.now) {
		return candidate{}, false
	}
	scanned, evaluated := 0, 0
	for _, list := range [][]*target{s.subset.local, s.subset.remote} {
		for _, t := range list {
			if scanned++; scanned > maxIdleScanned {
				return candidate{}, false
			}
			running, _, _ := t.fleetLoad(sel.now)
			if float64(running) >= idleShare*float64(max(1, t.Slots)) || !t.isUsable(sel.now, sel.req) || s.repeatsPrefill(sel, t) {
				continue
			}
			c := s.evaluate(sel, t)
			if t.Domain != domain {
				c = c.withAddedCost(crossDomainCost(sel.req))
			}
			if c.hasRoom && c.inputs.PredictedLatency <= sel.remaining {
				return c, true
			}
			if evaluated++; evaluated == maxIdleEvaluated {
				return candidate{}, false
			}
		}
	}
	return candidate{}, false
}
