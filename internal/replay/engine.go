package replay

import (
	"time"

	"github.com/umberhill/umberhill/internal/core/admit"
)

// EngineSpec describes the engines of a pattern. They differ in speed only.
type EngineSpec struct {
	Slots        int
	MemoryTokens int
	// StepTime is the duration of a decoding step without requests; each running
	// request adds StepTimePerRequest.
	StepTime, StepTimePerRequest time.Duration
	// PromptTokensPerMs is the prefill rate; one step prefills at most ChunkTokens.
	PromptTokensPerMs float64
	ChunkTokens       int
	// TokensPerEvent is the number of output tokens in one event of a stream.
	TokensPerEvent int
	// TokenBytes and LinkBitsPerSecond set the cost of fetching cached prompt parts from
	// another engine, as in routing.Engine. Engines don't fetch where one of them is 0.
	TokenBytes, LinkBitsPerSecond float64
	// Speeds are the speeds of the engines in turn, as factors of the speed above; empty
	// stands for 1.
	Speeds []float64
}

// speed returns the speed of the engine with an index, as a factor.
func (e EngineSpec) speed(index int) float64 {
	if len(e.Speeds) == 0 {
		return 1
	}
	return e.Speeds[index%len(e.Speeds)]
}

// job is a request at an engine.
type job struct {
	req                   *request
	engine                int
	remainingPromptTokens int
	outputTokens          int
	// firstEventAt and lastEventAt are the times of the first and the last event; longestGap
	// is the longest pause between two events.
	firstEventAt, lastEventAt time.Duration
	longestGap                time.Duration
	events                    int
	hasStarted                bool
	isOnTime                  bool
}

// engine models continuous batching with chunked prefill and an LRU cache of prompt
// parts.
type engine struct {
	spec    EngineSpec
	waiting []*job
	running []*job
	cache   partCache
	// isStepping is set while a step runs.
	isStepping bool
	// prefilledTokens counts the prefilled prompt tokens; repeatedTokens counts those of
	// shared parts that some engine had prefilled before. busyTime is the sum of the steps'
	// durations.
	prefilledTokens, repeatedTokens int
	busyTime                        time.Duration
	// arrivals counts the requests that the engine got.
	arrivals int
}

// admitWaiting moves waiting requests into the batch in order of arrival, as long as
// slots and memory are free.
func (e *engine) admitWaiting(prefilledParts map[uint64]bool) {
	for len(e.waiting) > 0 && len(e.running) < e.spec.Slots && e.memoryTokens()+e.waiting[0].req.totalTokens() <= e.spec.MemoryTokens {
		j := e.waiting[0]
		e.waiting = e.waiting[1:]
		cached := e.cache.insert(j.req.Parts)
		j.remainingPromptTokens = max(1, j.req.PromptTokens-cached)
		e.prefilledTokens += j.remainingPromptTokens
		e.countRepeatedPrefill(j, cached, prefilledParts)
		e.running = append(e.running, j)
		e.cache.limitTokens = max(0, e.spec.MemoryTokens-e.memoryTokens())
		e.cache.evict()
	}
}

// countRepeatedPrefill counts the tokens of shared parts that any engine had prefilled before.
func (e *engine) countRepeatedPrefill(j *job, cached int, prefilledParts map[uint64]bool) {
	partsEnd := 0
	for i, p := range j.req.Parts {
		partsEnd += p.Tokens
		if i == len(j.req.Parts)-1 {
			break
		}
		if partsEnd > cached && prefilledParts[p.Key] {
			e.repeatedTokens += p.Tokens
		}
		prefilledParts[p.Key] = true
	}
}

func (e *engine) memoryTokens() int {
	sum := 0
	for _, j := range e.running {
		sum += j.req.PromptTokens + j.outputTokens
	}
	return sum
}

// runStep applies the prefill of the next step and returns the step's duration at a speed.
func (e *engine) runStep(speed float64) time.Duration {
	budget := e.spec.ChunkTokens
	prefilled := 0
	for _, j := range e.running {
		if j.remainingPromptTokens > 0 && budget > 0 {
			n := min(j.remainingPromptTokens, budget)
			j.remainingPromptTokens -= n
			budget -= n
			prefilled += n
		}
	}
	d := e.spec.StepTime + time.Duration(len(e.running))*e.spec.StepTimePerRequest +
		time.Duration(float64(prefilled)/e.spec.PromptTokensPerMs*float64(time.Millisecond))
	d = time.Duration(float64(d) / speed)
	e.busyTime += d
	return d
}

// fetchParts copies the leading prompt parts that another engine caches into the cache
// and returns the number of their tokens that were missing here.
func (e *engine) fetchParts(from *engine, parts []admit.Part) int {
	tokens := 0
	for _, p := range parts {
		if _, isCachedThere := from.cache.tokens[p.Key]; !isCachedThere {
			break
		}
		if _, isCachedHere := e.cache.tokens[p.Key]; !isCachedHere {
			tokens += p.Tokens
		}
		e.cache.insert([]admit.Part{p})
	}
	e.cache.evict()
	return tokens
}

// partCache is an LRU cache of prompt parts.
type partCache struct {
	limitTokens, usedTokens int
	tokens                  map[uint64]int
	lruKeys                 []uint64 // least recently used first
}

// insert adds all parts, marks them as used, and returns the number of tokens of the
// leading parts that were cached before. It may exceed the limit until evict is called.
func (c *partCache) insert(parts []admit.Part) int {
	if c.tokens == nil {
		c.tokens = make(map[uint64]int)
	}
	cached, hasMissing := 0, false
	for _, p := range parts {
		_, isCached := c.tokens[p.Key]
		hasMissing = hasMissing || !isCached
		if !hasMissing {
			cached += p.Tokens
		}
		if !isCached {
			c.tokens[p.Key] = p.Tokens
			c.usedTokens += p.Tokens
		}
		c.touch(p.Key)
	}
	return cached
}

func (c *partCache) touch(key uint64) {
	for i, k := range c.lruKeys {
		if k == key {
			c.lruKeys = append(c.lruKeys[:i], c.lruKeys[i+1:]...)
			break
		}
	}
	c.lruKeys = append(c.lruKeys, key)
}

func (c *partCache) evict() {
	for c.usedTokens > c.limitTokens && len(c.lruKeys) > 0 {
		key := c.lruKeys[0]
		c.lruKeys = c.lruKeys[1:]
		c.usedTokens -= c.tokens[key]
		delete(c.tokens, key)
	}
}
