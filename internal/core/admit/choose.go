package admit

import (
	"time"

	"github.com/umberhill/umberhill/internal/core/share"
	"github.com/umberhill/umberhill/internal/ids"
)

// readyShare and rereadCost come from the replay and the bench, crossDomain and
// crossToken from the bench (docs/design/ADMISSION.md); the others are untuned first
// values.
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
	// expected latency: the delay of the network and its price. crossToken adds the
	// same for each token, since prompts and answers cross as text.
	crossDomain = 15 * time.Millisecond
	crossToken  = 5 * time.Microsecond
	// crossDelay is what it adds where the own domain has no room: the delay alone.
	crossDelay = 4 * time.Millisecond
	// busyPenalty is what a full batch adds to the expected latency of an
	// engine, whose steps take longer the more requests run.
	busyPenalty = 60 * time.Millisecond
	// rereadCost is what each token of a shared part adds that another engine
	// holds already: reading it again takes engines' time from others.
	rereadCost = 200 * time.Microsecond
	// strayCost is what each token of a shared part that no engine holds adds at
	// engines other than the one that routers agree on.
	strayCost = 20 * time.Microsecond
)

// rankShare is the part of an engine's bounds up to which it takes requests of
// workspaces by their rank, so that there is room for those that stand better. Untuned.
var rankShare = [...]float64{share.Guaranteed: 1, share.Fair: 0.85, share.Excess: 0.6}

const (
	// rereadShare is the part of an engine's bounds up to which a workspace that
	// has had its share may have it read again what another engine holds: half of
	// what it may use otherwise, measured on the bench (docs/ROUNDS.md, 7f84252).
	rereadShare = 0.3
	// smallReread is the number of tokens up to which reading again is not worth
	// avoiding, some ms of an engine's time. Untuned.
	smallReread = 256
)

// candidate is a target with the cost of sending a request there.
type candidate struct {
	target *target
	cost   time.Duration
	// wait is the expected time until the target has a free slot.
	wait   time.Duration
	room   bool
	inputs Inputs
	// ahead are the tokens to be read there before and with this request.
	ahead int
	// source is the engine from which the target takes shared parts, nil for none.
	source *target
}

// choose returns the cheapest target, which may be one to wait for, or nothing
// where no target can be used. Requests stay in the router's failure domain while
// it has room.
func (s *service) choose(now time.Time, r *Request, self ids.Domain, rank share.Rank) (candidate, bool) {
	l := s.newLook(now, r, rank)
	stay := crossCost(r)
	near, anywhere := choice{less: cheaper}, choice{less: cheaper}
	s.each(l, func(c candidate) {
		if c.target.Domain == self {
			near.offer(c)
			anywhere.offer(c)
			return
		}
		anywhere.offer(c.dearer(crossDelay))
		near.offer(c.dearer(stay))
	})
	if near.best.room {
		return near.best, near.found
	}
	return anywhere.best, anywhere.found
}

// chooseWithRoom returns the cheapest target that has room for a workspace that has
// had its share, or else the cheapest.
func (s *service) chooseWithRoom(now time.Time, r *Request, self ids.Domain) (candidate, bool) {
	l := s.newLook(now, r, share.Excess)
	stay := crossCost(r)
	first := choice{less: func(a, b candidate) bool {
		if a.room != b.room {
			return a.room
		}
		return cheaper(a, b)
	}}
	s.each(l, func(c candidate) {
		if c.target.Domain != self {
			c = c.dearer(stay)
		}
		first.offer(c)
	})
	return first.best, first.found
}

// crossCost is what a target in another failure domain adds for a request.
func crossCost(r *Request) time.Duration {
	return crossDomain + crossToken*time.Duration(r.Prompt+r.Output)
}

// each judges the targets that can be used.
func (s *service) each(l *look, judged func(candidate)) {
	for _, t := range s.targets {
		if t.usable(l.now, l.req) {
			judged(s.weigh(l, t))
		}
	}
}

// choice keeps the best of the candidates that it is offered.
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

func cheaper(a, b candidate) bool { return a.cost < b.cost }

// dearer returns the candidate with a cost on top.
func (c candidate) dearer(by time.Duration) candidate {
	c.cost += by
	return c
}

// look is what is the same for all targets while one is chosen for a request.
type look struct {
	now  time.Time
	req  *Request
	rank share.Rank
	// first is the engine at which a shared part is to be read first, nil where an
	// engine holds it already.
	first *target
	// sources are the engines that hold most of the shared parts, sourceTokens of them;
	// none where engines can't take parts from each other.
	sources      []*target
	sourceTokens int
	// left is the time in which the answer must begin.
	left time.Duration
	// scale of an engine's bounds: 1, less for a workspace that has had its share
	// while others wait.
	scale float64
}

// newLook prepares a choice.
func (s *service) newLook(now time.Time, r *Request, rank share.Rank) *look {
	l := &look{now: now, req: r, rank: rank, left: r.onTime().Sub(now), scale: 1, sources: s.sources[:0]}
	s.findShared(l)
	if rank == share.Excess {
		l.scale = s.excessScale(now)
	}
	return l
}

// part is the part of an engine's bounds up to which it takes the request, where it
// would have to read sharedMissing tokens of shared parts.
func (l *look) part(sharedMissing int) float64 {
	if l.rank == share.Excess && l.first == nil && sharedMissing > smallReread {
		return l.scale * rereadShare
	}
	return l.scale * rankShare[l.rank]
}

// weigh judges a target.
func (s *service) weigh(l *look, t *target) candidate {
	var c candidate
	if s.engine() {
		c = s.weighEngine(l, t)
	} else {
		c = s.weighPlain(l, t)
	}
	c.target = t
	c.cost += t.health.penalty(l.now)
	return c
}

func (s *service) weighEngine(l *look, t *target) candidate {
	r := l.req
	running, pending, memory := t.load(l.now)
	held, sharedMissing := t.cached(l.now, r)
	source, fetched := l.fetch(t, held)
	sharedMissing -= fetched
	uncached := r.Prompt - held - fetched
	ahead := pending + uncached
	slow := t.slowness(l.now)
	predicted := time.Duration(float64(s.latency.predict(ahead)) * slow)
	if source != nil {
		predicted += s.fetchTime(source, t, fetched)
	}
	slots := max(1, t.Slots)
	c := candidate{
		cost:   predicted + busyPenalty*time.Duration(running)/time.Duration(slots) + fetchCost*time.Duration(fetched),
		ahead:  ahead,
		source: source,
		inputs: Inputs{Running: running, Pending: pending, Uncached: uncached, Fetched: fetched, Predicted: predicted, Rank: l.rank},
	}
	switch {
	case l.first == nil:
		c.cost += rereadCost * time.Duration(sharedMissing)
	case l.first != t:
		c.cost += strayCost * time.Duration(sharedMissing)
	}
	if running >= slots {
		c.wait = s.latency.duration() * time.Duration(running+1-slots) / time.Duration(slots)
		c.cost += c.wait
	}
	if predicted > l.left {
		c.cost += r.Objective
	}
	part := l.part(sharedMissing)
	unread := float64(s.latency.tokensIn(s.tightest)) * readyShare * part / slow
	need := float64(memory+r.Prompt) + outputShare*float64(r.Output)
	// For a workspace that has had its share an engine that answers late is not idle;
	// one without work is tried, so that it is seen when it is fast again.
	late := l.rank == share.Excess && predicted > l.left
	c.room = float64(running+1) <= float64(slots)*part &&
		(pending == 0 || float64(ahead) <= unread) &&
		(running == 0 || !late && need <= memoryShare*part*float64(s.conf.Engine.MemoryTokens))
	return c
}

func (s *service) weighPlain(l *look, t *target) candidate {
	running, _, _ := t.load(l.now)
	slots := max(1, t.Slots)
	took := time.Duration(float64(s.latency.duration()) * t.slowness(l.now))
	predicted := took
	if running >= slots {
		predicted += took * time.Duration(running+1-slots) / time.Duration(slots)
	}
	return candidate{
		cost:   predicted + took*time.Duration(running)/time.Duration(4*slots),
		room:   running < slots+int(queuedShare*float64(slots)),
		inputs: Inputs{Running: running, Predicted: predicted, Rank: l.rank},
	}
}
