package admit

import (
	"math/rand/v2"
	"time"

	"github.com/umberhill/umberhill/internal/core/share"
	"github.com/umberhill/umberhill/internal/ids"
)

// For the values of maxPendingPrefillShare, duplicatePrefillCost, crossDomainBaseCost
// and crossDomainTokenCost see docs/design/ADMISSION.md.
const (
	// maxPendingPrefillShare is the fraction of the shortest latency objective that the
	// prefill of an engine's pending tokens may take.
	maxPendingPrefillShare = 0.7
	// maxMemoryShare is the fraction of an engine's memory that requests may fill. The
	// rest lets running requests grow without being preempted.
	maxMemoryShare = 0.85
	// expectedOutputShare is the mean fraction of a request's maximum output that it
	// occupies in the engine's memory.
	expectedOutputShare = 0.6
	// maxQueuedShare bounds the requests queued at a plain target, as a fraction of its
	// slots.
	maxQueuedShare = 0.5
	// crossDomainBaseCost is what a target in another failure domain adds to the
	// expected latency: network delay and traffic cost. crossDomainTokenCost adds the
	// same for each token, since prompts and responses cross the network as text.
	crossDomainBaseCost  = 15 * time.Millisecond
	crossDomainTokenCost = 5 * time.Microsecond
	// crossDomainDelay is added instead if the target that is best with these costs has
	// no room: the network delay alone.
	crossDomainDelay = 4 * time.Millisecond
	// busyPenalty is what a full batch adds to the expected latency of an engine, whose
	// steps take longer the more requests run.
	busyPenalty = 60 * time.Millisecond
	// duplicatePrefillCost is added for each token of a shared part that another engine
	// has cached already: prefilling it again takes engine time from other requests.
	duplicatePrefillCost = 200 * time.Microsecond
	// nonHomePrefillCost is added for each token of a shared part that no engine has
	// cached, at engines other than the part's home.
	nonHomePrefillCost = 20 * time.Microsecond
)

// rankBoundShare is the fraction of an engine's bounds that is open to workspaces of
// each rank, so that room is left for those of better rank.
var rankBoundShare = [...]float64{share.Guaranteed: 1, share.Behind: 1, share.Fair: 0.85, share.Excess: 0.6}

const (
	// duplicatePrefillShare is the fraction of an engine's bounds within which a
	// workspace beyond its fair share may prefill again what another engine has cached:
	// half of what it may use otherwise (see docs/ROUNDS.md, 7f84252).
	duplicatePrefillShare = 0.3
	// lateBoundShare is the fraction of an engine's bounds that is open to a request whose
	// response would be late there, unless its workspace is behind its share. Otherwise late
	// requests would make others late, beyond the end of the overload.
	lateBoundShare = 0.6
	// smallPrefillTokens is the number of tokens up to which a duplicate prefill is not
	// worth avoiding; it takes an engine a few ms.
	smallPrefillTokens = 256
)

// candidate is a target together with the cost of sending a request to it.
type candidate struct {
	target *target
	cost   time.Duration
	// wait is the expected time until the target has a free slot.
	wait time.Duration
	// hasRoom reports whether the target may take the request now.
	hasRoom bool
	inputs  Inputs
	// tokensAhead are the tokens to be prefilled at the target up to the end of this
	// request's prompt.
	tokensAhead int
	// source is the engine from which the target fetches shared parts, nil for none.
	source *target
}

// choose returns the candidate of lowest cost, which may have no room yet, or false if
// no target is usable. Targets outside the router's failure domain cost crossDomainCost
// more, or only crossDomainDelay more if the best candidate would otherwise have no room.
func (s *service) choose(now time.Time, r *Request, domain ids.Domain, rank share.Rank) (candidate, bool) {
	sel := s.newSelection(now, r, rank)
	crossCost := crossDomainCost(r)
	preferLocal, anywhere := choice{less: isCheaper}, choice{less: isCheaper}
	s.forEachCandidate(sel, func(c candidate) {
		if c.target.Domain == domain {
			preferLocal.offer(c)
			anywhere.offer(c)
			return
		}
		anywhere.offer(c.withAddedCost(crossDomainDelay))
		preferLocal.offer(c.withAddedCost(crossCost))
	})
	if preferLocal.best.hasRoom {
		return preferLocal.best, preferLocal.found
	}
	if !anywhere.best.hasRoom && s.usesSubset() {
		if idle, found := s.findIdle(sel, domain); found {
			return idle, true
		}
	}
	return anywhere.best, anywhere.found
}

// chooseWithRoom returns the candidate of lowest cost among those that have room for a
// workspace beyond its fair share, or among all if none has.
func (s *service) chooseWithRoom(now time.Time, r *Request, domain ids.Domain) (candidate, bool) {
	sel := s.newSelection(now, r, share.Excess)
	crossCost := crossDomainCost(r)
	withRoom := choice{less: func(a, b candidate) bool {
		if a.hasRoom != b.hasRoom {
			return a.hasRoom
		}
		return isCheaper(a, b)
	}}
	s.forEachCandidate(sel, func(c candidate) {
		if c.target.Domain != domain {
			c = c.withAddedCost(crossCost)
		}
		withRoom.offer(c)
	})
	if !withRoom.best.hasRoom && s.usesSubset() {
		if idle, found := s.findIdle(sel, domain); found {
			return idle, true
		}
	}
	return withRoom.best, withRoom.found
}

// usesSubset reports whether only some of the engines are considered at first.
func (s *service) usesSubset() bool { return s.isViewOld && s.isEngine() }

// crossDomainCost returns the cost added to a request at a target in another failure
// domain.
func crossDomainCost(r *Request) time.Duration {
	return crossDomainBaseCost + crossDomainTokenCost*time.Duration(r.PromptTokens+r.OutputTokens)
}

// forEachCandidate calls visit with the evaluation of each usable target. If there are
// none, it visits those of last resort, and those for which a request can wait.
func (s *service) forEachCandidate(sel *selection, visit func(candidate)) {
	if s.isViewOld && s.visitSome(sel, func(t *target) { visit(s.evaluate(sel, t)) }) {
		return
	}
	found := false
	for _, t := range s.targets {
		if t.isUsable(sel.now, sel.req) {
			found = true
			visit(s.evaluate(sel, t))
		}
	}
	if found {
		return
	}
	for _, t := range s.targets {
		if (!t.isLeaving() || s.isLastResort(sel.now, t)) && t.mayTake(sel.now, sel.req) {
			c := s.evaluate(sel, t)
			c.inputs.Limited = !t.limits.HasPermit(sel.now, t.run)
			c.hasRoom = c.hasRoom && t.hasPermit(sel.now)
			visit(c)
		}
	}
}

// visitSome calls visit for the few targets that are considered while the view is old, and
// reports whether there is any.
func (s *service) visitSome(sel *selection, visit func(*target)) bool {
	if s.isEngine() {
		return s.subset.visit(sel, visit)
	}
	s.draw.update(sel.now, s.latency.meanDuration())
	return s.draw.visit(sel, visit)
}

// choice keeps the best of the candidates offered to it.
type choice struct {
	less  func(a, b candidate) bool
	best  candidate
	found bool
}

func (ch *choice) offer(c candidate) {
	if !ch.found || ch.less(c, ch.best) {
		ch.best, ch.found = c, true
	}
}

func isCheaper(a, b candidate) bool { return a.cost < b.cost }

// withAddedCost returns a copy of the candidate with a higher cost.
func (c candidate) withAddedCost(added time.Duration) candidate {
	c.cost += added
	return c
}

// selection holds what is the same for all targets while one is chosen for a request.
type selection struct {
	now  time.Time
	req  *Request
	rank share.Rank
	// home is the engine at which a shared part is to be prefilled first, nil if an
	// engine has it cached already.
	home *target
	// sources are the engines with the longest cached prefix of the shared parts,
	// sourceTokens long; there are none if engines cannot transfer parts.
	sources      []*target
	sourceTokens int
	// remaining is the time until the response must start.
	remaining time.Duration
	// boundScale scales an engine's bounds: 1, or less for a workspace beyond its fair
	// share while requests of others wait.
	boundScale float64
	// random is a source of random numbers.
	random *rand.Rand
}

// newSelection prepares the choice of a target for a request.
func (s *service) newSelection(now time.Time, r *Request, rank share.Rank) *selection {
	sel := &selection{now: now, req: r, rank: rank, remaining: r.dueAt().Sub(now), boundScale: 1, sources: s.sourcesBuf[:0], random: s.random}
	s.findSharedParts(sel)
	if rank == share.Excess {
		sel.boundScale = s.excessBoundScale(now)
	}
	return sel
}

// boundShare returns the fraction of an engine's bounds up to which it takes the
// request if it has to prefill sharedMissing tokens of shared parts.
func (sel *selection) boundShare(sharedMissing int) float64 {
	if sel.rank == share.Excess && sel.home == nil && sharedMissing > smallPrefillTokens {
		return sel.boundScale * duplicatePrefillShare
	}
	return sel.boundScale * rankBoundShare[sel.rank]
}

// evaluate computes the cost of a target and whether it has room.
func (s *service) evaluate(sel *selection, t *target) candidate {
	var c candidate
	if s.isEngine() {
		c = s.evaluateEngine(sel, t)
	} else {
		c = s.evaluatePlain(sel, t)
	}
	c.target = t
	c.cost += t.health.penalty(sel.now)
	return c
}

func (s *service) evaluateEngine(sel *selection, t *target) candidate {
	r := sel.req
	running, pending, memory := t.fleetLoad(sel.now)
	cached, sharedMissing := t.cachedTokens(sel.now, r)
	source, fetched := sel.fetchSource(t, cached)
	sharedMissing -= fetched
	uncached := r.PromptTokens - cached - fetched
	tokensAhead := pending + uncached
	speedFactor, slowness := s.speedFactor(sel.now, t), t.slowness(sel.now)
	slowFactor := speedFactor * slowness
	predicted := time.Duration(float64(s.latency.predictAt(tokensAhead, speedFactor)) * slowness)
	if source != nil {
		predicted += s.fetchTime(source, t, fetched)
	}
	slots := max(1, t.Slots)
	c := candidate{
		cost:        predicted + busyPenalty*time.Duration(running)/time.Duration(slots) + fetchTokenCost*time.Duration(fetched),
		tokensAhead: tokensAhead,
		source:      source,
		inputs:      Inputs{Running: running, PendingTokens: pending, UncachedTokens: uncached, FetchedTokens: fetched, PredictedLatency: predicted, Rank: sel.rank},
	}
	switch {
	case sel.home == nil:
		c.cost += duplicatePrefillCost * time.Duration(sharedMissing)
	case sel.home != t:
		c.cost += nonHomePrefillCost * time.Duration(sharedMissing)
	}
	if running >= slots {
		c.wait = time.Duration(float64(s.latency.meanDuration()*time.Duration(running+1-slots)/time.Duration(slots)) * speedFactor)
		c.cost += c.wait
	}
	c.cost += s.pauseCost(uncached, running, slowFactor)
	isLate := predicted > sel.remaining
	if isLate {
		c.cost += r.Objective
	}
	boundShare := sel.boundShare(sharedMissing)
	if isLate && sel.rank >= share.Fair {
		boundShare *= lateBoundShare
	}
	maxPending := float64(s.latency.tokensIn(s.shortestObjective.duration)) * maxPendingPrefillShare * boundShare / slowFactor
	neededMemory := float64(memory+r.PromptTokens) + expectedOutputShare*float64(r.OutputTokens)
	// For a workspace beyond its fair share, an engine that responds late does not count
	// as idle. An engine without work is tried nevertheless, so that its recovery is
	// observed.
	isAvoided := isLate && sel.rank == share.Excess
	c.hasRoom = float64(running+1) <= float64(slots)*boundShare &&
		(pending == 0 || float64(tokensAhead) <= maxPending) &&
		(running == 0 || !isAvoided && neededMemory <= maxMemoryShare*boundShare*float64(s.conf.Engine.MemoryTokens))
	return c
}

func (s *service) evaluatePlain(sel *selection, t *target) candidate {
	running, _, _ := t.fleetLoad(sel.now)
	slots := max(1, t.Slots)
	duration := time.Duration(float64(s.latency.meanDuration()) * t.slowness(sel.now))
	predicted := duration
	if running >= slots {
		predicted += duration * time.Duration(running+1-slots) / time.Duration(slots)
	}
	hasRoom := running < slots+int(maxQueuedShare*float64(slots))
	if s.isViewOld {
		hasRoom = s.throttle.hasCredit()
	}
	return candidate{
		cost:    predicted + duration*time.Duration(running)/time.Duration(4*slots),
		hasRoom: hasRoom,
		inputs:  Inputs{Running: running, PredictedLatency: predicted, Rank: sel.rank},
	}
}
