package admit

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/umberhill/umberhill/internal/core/share"
	"github.com/umberhill/umberhill/internal/ids"
	"github.com/umberhill/umberhill/internal/routing"
)

// readyShare and rereadCost come from the replay and the bench
// (docs/design/ADMISSION.md); the others are untuned first values.
const (
	// readyShare is the part of the tightest latency objective that the tokens
	// not yet read at an engine may take.
	readyShare = 0.7
	// memoryShare is the part of an engine's memory that requests may fill, so
	// that running ones are not preempted as they grow.
	memoryShare = 0.85
	// outputShare is the part of the most tokens generated that a request takes
	// of an engine's memory in the mean.
	outputShare = 0.6
	// queuedShare is the part of a plain target's slots that may wait there.
	queuedShare = 0.5
	// crossDomain is what a target in another failure domain adds to the
	// expected latency: the delay of the network and its price.
	crossDomain = 4 * time.Millisecond
	// busyPenalty is what a full batch adds to the expected latency of an
	// engine, whose steps take longer the more requests run.
	busyPenalty = 60 * time.Millisecond
	// rereadCost is what each token of a shared part adds that another engine
	// holds already: reading it again takes engines' time from others.
	rereadCost = 200 * time.Microsecond
	// strayCost is what each token of a shared part that no engine holds adds at
	// engines other than the one that routers agree on.
	strayCost = 20 * time.Microsecond
	// tightestLife is how long the tightest objective seen holds.
	tightestLife = 10 * time.Second
)

// rankShare is the part of an engine's bounds up to which it takes requests of
// workspaces by their rank, so that there is room for those that stand better. Untuned.
var rankShare = [...]float64{share.Guaranteed: 1, share.Fair: 0.85, share.Excess: 0.6}

const (
	// rereadShare is the part of an engine's bounds up to which a workspace that
	// has had its share may have it read again what another engine holds.
	rereadShare = 0.3
	// smallReread is the number of tokens up to which reading again is not worth
	// avoiding.
	smallReread = 256
)

// service is the state of one service.
type service struct {
	name    string
	conf    *routing.Service
	targets []*target
	latency *latencyModel

	// tightest is the shortest latency objective seen lately.
	tightest   time.Duration
	tightestAt time.Time

	// refused remembers the last refusals for a moment.
	refused map[refusalKind]refusal

	queue   queue
	backlog map[ids.Instance]peerBacklog
}

type peerBacklog struct {
	at time.Time
	Backlog
}

func hashOf(s string) uint64 { return xxhash.Sum64String(s) }

func (s *service) engine() bool { return s.conf != nil && s.conf.Engine != nil }

func (s *service) noteObjective(now time.Time, objective time.Duration) {
	if objective <= 0 {
		return
	}
	if objective <= s.tightest || now.Sub(s.tightestAt) > tightestLife {
		s.tightest = objective
		s.tightestAt = now
	}
}

// candidate is a target with the cost of sending a request there.
type candidate struct {
	target *target
	cost   time.Duration
	// wait is the expected time until the target has a free slot.
	wait     time.Duration
	room     bool
	inputs   Inputs
	uncached int
	ahead    int
}

// choose returns the cheapest target, which may be one to wait for, or nothing
// where no target can be used.
func (s *service) choose(now time.Time, r *Request, self ids.Domain, rank share.Rank) (candidate, bool) {
	return s.cheapest(now, r, self, rank, func(a, b candidate) bool { return a.cost < b.cost })
}

// chooseWithRoom returns the cheapest target that has room for a workspace that has
// had its share, or else the cheapest.
func (s *service) chooseWithRoom(now time.Time, r *Request, self ids.Domain) (candidate, bool) {
	return s.cheapest(now, r, self, share.Excess, func(a, b candidate) bool {
		if a.room != b.room {
			return a.room
		}
		return a.cost < b.cost
	})
}

func (s *service) cheapest(now time.Time, r *Request, self ids.Domain, rank share.Rank, less func(a, b candidate) bool) (candidate, bool) {
	var best candidate
	found := false
	first := s.firstHome(now, r)
	left := r.onTime().Sub(now)
	for _, t := range s.targets {
		if !t.usable(now, r) {
			continue
		}
		c := s.weigh(now, t, r, rank, first, left)
		if t.Domain != self {
			c.cost += crossDomain
		}
		if !found || less(c, best) {
			best, found = c, true
		}
	}
	return best, found
}

// firstHome is the engine at which all routers agree to read a prompt's shared
// parts first, or nil where an engine holds them already.
func (s *service) firstHome(now time.Time, r *Request) *target {
	if !s.engine() || len(r.Parts) < 2 {
		return nil
	}
	key := r.Parts[len(r.Parts)-2].Key
	for _, t := range s.targets {
		if !t.Leaving && t.cache.hold(now, key) {
			return nil
		}
	}
	return home(s.targets, key)
}

// weigh judges a target for a request of which left is the time in which its
// answer must begin.
func (s *service) weigh(now time.Time, t *target, r *Request, rank share.Rank, first *target, left time.Duration) candidate {
	var c candidate
	if s.engine() {
		c = s.weighEngine(now, t, r, rank, first, left)
	} else {
		c = s.weighPlain(now, t, rank)
	}
	c.target = t
	c.cost += t.health.penalty(now)
	return c
}

func (s *service) weighEngine(now time.Time, t *target, r *Request, rank share.Rank, first *target, left time.Duration) candidate {
	running, pending, memory := t.load(now)
	held, sharedMissing := t.cached(now, r)
	uncached := r.Prompt - held
	ahead := pending + uncached
	slow := t.slowness(now)
	predicted := time.Duration(float64(s.latency.predict(ahead)) * slow)
	slots := max(1, t.Slots)
	c := candidate{
		cost:     predicted + busyPenalty*time.Duration(running)/time.Duration(slots),
		uncached: uncached,
		ahead:    ahead,
		inputs:   Inputs{Running: running, Pending: pending, Uncached: uncached, Predicted: predicted, Rank: rank},
	}
	switch {
	case first == nil:
		c.cost += rereadCost * time.Duration(sharedMissing)
	case first != t:
		c.cost += strayCost * time.Duration(sharedMissing)
	}
	if running >= slots {
		c.wait = s.latency.duration() * time.Duration(running+1-slots) / time.Duration(slots)
		c.cost += c.wait
	}
	if predicted > left {
		c.cost += r.Objective
	}
	part := partFor(rank, first == nil, sharedMissing)
	unread := float64(s.latency.tokensIn(s.tightest)) * readyShare * part / slow
	need := float64(memory+r.Prompt) + outputShare*float64(r.Output)
	c.room = float64(running+1) <= float64(slots)*part &&
		(pending == 0 || float64(ahead) <= unread) &&
		(running == 0 || need <= memoryShare*part*float64(s.conf.Engine.MemoryTokens)) &&
		// An engine that answers late is not idle; one without work is tried.
		(running == 0 || rank != share.Excess || predicted <= left)
	return c
}

// partFor is the part of an engine's bounds up to which it takes a request that
// would have it read sharedMissing tokens of shared parts, where another engine may
// hold them already.
func partFor(rank share.Rank, heldElsewhere bool, sharedMissing int) float64 {
	if rank == share.Excess && heldElsewhere && sharedMissing > smallReread {
		return rereadShare
	}
	return rankShare[rank]
}

func (s *service) weighPlain(now time.Time, t *target, rank share.Rank) candidate {
	running, _, _ := t.load(now)
	slots := max(1, t.Slots)
	took := time.Duration(float64(s.latency.duration()) * t.slowness(now))
	predicted := took
	if running >= slots {
		predicted += took * time.Duration(running+1-slots) / time.Duration(slots)
	}
	return candidate{
		cost:   predicted + took*time.Duration(running)/time.Duration(4*slots),
		room:   running < slots+int(queuedShare*float64(slots)),
		inputs: Inputs{Running: running, Predicted: predicted, Rank: rank},
	}
}

// queueWait is the expected time until what waits before a new request has been
// sent, at all routers together.
func (s *service) queueWait(now time.Time) time.Duration {
	requests, tokens := s.queue.len(), s.queue.tokens()
	for peer, b := range s.backlog {
		if now.Sub(b.at) > reportLife {
			delete(s.backlog, peer)
			continue
		}
		requests += b.Requests
		tokens += b.Tokens
	}
	slots, open := 0, 0
	for _, t := range s.targets {
		if !t.Leaving && t.health.open(now) {
			slots += max(1, t.Slots)
			open++
		}
	}
	if open == 0 {
		return 0
	}
	wait := s.latency.duration() * time.Duration(requests) / time.Duration(slots)
	if s.engine() {
		reading := time.Duration(float64(tokens) * s.latency.msPerToken * float64(time.Millisecond) / float64(open))
		wait = max(wait, reading)
	}
	return wait
}
