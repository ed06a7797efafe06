package admit

import (
	"time"

	"github.com/umberhill/umberhill/internal/ids"
)

// Engines take shared parts of prompts from each other's caches. fetchCost and
// leastFetch come from the bench (docs/ROUNDS.md, 64502e1).
const (
	// fetchSetup, untuned, is the time before a transfer between engines begins.
	fetchSetup = 5 * time.Millisecond
	// fetchCost is what each token adds that is taken from another engine's cache. It
	// is small, since what was taken serves later requests too.
	fetchCost = time.Microsecond
	// leastFetch is the number of tokens that are worth a transfer: 32 served more than
	// 256.
	leastFetch = 32
	// farFetch is how many times as long a transfer to another failure domain takes: the
	// protocol says so of running requests that are moved. Not measured for transfers.
	farFetch = 2
)

// findShared looks for the engines that hold the prompt's shared parts: where none
// holds them all, first is the one at which all routers agree to read them.
func (s *service) findShared(l *look) {
	if !s.engine() || len(l.req.Parts) < 2 {
		return
	}
	shared := l.req.Parts[:len(l.req.Parts)-1]
	complete := false
	for _, t := range s.targets {
		if t.Leaving {
			continue
		}
		tokens, all := t.cache.readPrefix(l.now, shared)
		complete = complete || all
		if tokens >= max(leastFetch, l.sourceTokens) && t.health.failures == 0 && s.conf.Engine.Fetches() {
			if tokens > l.sourceTokens {
				l.sources = l.sources[:0]
			}
			l.sources, l.sourceTokens = append(l.sources, t), tokens
		}
	}
	s.sources = l.sources
	if !complete {
		l.first = home(s.targets, shared[len(shared)-1].Key)
	}
}

// fetch returns the engine from which a target that holds the first tokens of the
// prompt takes shared parts, and how many tokens; nil where it takes none.
func (l *look) fetch(t *target, held int) (*target, int) {
	tokens := min(l.sourceTokens, l.req.Prompt) - held
	if tokens < leastFetch {
		return nil, 0
	}
	var best *target
	for _, o := range l.sources {
		if o != t && (best == nil || o.nearer(best, t.Domain)) {
			best = o
		}
	}
	if best == nil {
		return nil, 0
	}
	return best, tokens
}

// nearer tells whether a source is better than another one: in the same failure
// domain, then with fewer transfers under way.
func (t *target) nearer(o *target, to ids.Domain) bool {
	if here, there := t.Domain == to, o.Domain == to; here != there {
		return here
	}
	return t.sending < o.sending
}

// fetchTime is how long a transfer between two engines is expected to take: those of
// one engine run one after another.
func (s *service) fetchTime(from, to *target, tokens int) time.Duration {
	d := s.conf.Engine.FetchTime(from.sending + tokens)
	if from.Domain != to.Domain {
		d *= farFetch
	}
	return fetchSetup + d
}
