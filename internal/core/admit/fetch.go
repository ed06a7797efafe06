package admit

import (
	"time"

	"github.com/umberhill/umberhill/internal/ids"
)

// Engines can fetch shared parts of prompts from each other's caches. For the values of
// fetchTokenCost and minFetchTokens see docs/ROUNDS.md, 64502e1.
const (
	// fetchSetup is the time before a transfer between engines starts.
	fetchSetup = 5 * time.Millisecond
	// fetchTokenCost is added for each token fetched from another engine's cache. It is
	// small because the fetched tokens serve later requests too.
	fetchTokenCost = time.Microsecond
	// minFetchTokens is the smallest transfer. With a bound of 32 tokens more requests
	// are served than with 256.
	minFetchTokens = 32
	// crossDomainFetchFactor is how much longer a transfer to another failure domain
	// takes. The protocol states this factor for the migration of running requests;
	// transfers are assumed to behave alike.
	crossDomainFetchFactor = 2
)

// findSharedParts sets the selection's sources, the engines that hold the longest
// prefix of the prompt's shared parts. If no engine holds all of them, it also sets
// home, the engine at which all routers prefill them first.
func (s *service) findSharedParts(sel *selection) {
	if !s.isEngine() || len(sel.req.Parts) < 2 {
		return
	}
	shared := sel.req.Parts[:len(sel.req.Parts)-1]
	complete := false
	for _, t := range s.targets {
		if t.isLeaving() || !sel.req.allowsRegionOf(t.Target) {
			continue
		}
		tokens, all := t.cache.prefilledPrefix(sel.now, shared)
		complete = complete || all
		if tokens >= max(minFetchTokens, sel.sourceTokens) && t.health.failures == 0 && !t.stated.turnAway.isActive(sel.now) && s.conf.Engine.CanFetch() {
			if tokens > sel.sourceTokens {
				sel.sources = sel.sources[:0]
			}
			sel.sources, sel.sourceTokens = append(sel.sources, t), tokens
		}
	}
	s.sourcesBuf = sel.sources
	if !complete {
		sel.home = homeTarget(s.targets, sel.req, shared[len(shared)-1].Key)
	}
}

// fetchSource returns the engine from which a target that has the first cached tokens
// of the prompt fetches shared parts, and the number of tokens; nil if it fetches none.
func (sel *selection) fetchSource(t *target, cached int) (*target, int) {
	tokens := min(sel.sourceTokens, sel.req.PromptTokens) - cached
	if tokens < minFetchTokens {
		return nil, 0
	}
	var best *target
	for _, o := range sel.sources {
		if o != t && (best == nil || o.isBetterSource(best, t.Domain)) {
			best = o
		}
	}
	if best == nil {
		return nil, 0
	}
	return best, tokens
}

// isBetterSource reports whether t is a better source than o for a transfer to a
// failure domain: in that domain, or with fewer tokens in transfer.
func (t *target) isBetterSource(o *target, to ids.Domain) bool {
	if tIsLocal, oIsLocal := t.Domain == to, o.Domain == to; tIsLocal != oIsLocal {
		return tIsLocal
	}
	return t.sendingTokens < o.sendingTokens
}

// fetchTime returns the expected time of a transfer between two engines. Transfers from
// one engine run one after another.
func (s *service) fetchTime(from, to *target, tokens int) time.Duration {
	d := s.conf.Engine.FetchTime(from.sendingTokens + tokens)
	if from.Domain != to.Domain {
		d *= crossDomainFetchFactor
	}
	return fetchSetup + d
}
