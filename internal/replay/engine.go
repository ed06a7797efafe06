package replay

import (
	"time"

	"github.com/umberhill/umberhill/internal/core/admit"
)

// EngineSpec describes the engines of a pattern.
type EngineSpec struct {
	Slots        int
	MemoryTokens int
	// Step is the time of a decoding step, PerRequest what each running request
	// adds to it.
	Step, PerRequest time.Duration
	// TokensPerMs are read, at most Chunk in one step.
	TokensPerMs float64
	Chunk       int
	// EventTokens is the number of tokens in one event.
	EventTokens int
	// TokenBytes and LinkBits tell how engines take parts of prompts from each other, as
	// in routing.Engine; they can't where one is 0.
	TokenBytes, LinkBits float64
}

// job is a request at an engine.
type job struct {
	req    *request
	unread int
	made   int
	// lastEvent is when the last event came, worstGap the longest pause so far.
	lastEvent time.Duration
	worstGap  time.Duration
	began     bool
	onTime    bool
}

// engine models continuous batching with chunked reading of prompts and a cache
// of their parts from which the least recently used yield.
type engine struct {
	spec    EngineSpec
	waiting []*job
	running []*job
	cache   partCache
	// stepping is set while a step is on its way.
	stepping bool
	// read and reread count prompt tokens, busy the time of the steps.
	read, reread int
	busy         time.Duration
}

// admitWaiting fills the batch in order of arrival.
func (e *engine) admitWaiting(everRead map[uint64]bool) {
	for len(e.waiting) > 0 && len(e.running) < e.spec.Slots && e.memory()+e.waiting[0].req.size() <= e.spec.MemoryTokens {
		j := e.waiting[0]
		e.waiting = e.waiting[1:]
		cached := e.cache.use(j.req.Parts)
		j.unread = max(1, j.req.PromptTokens-cached)
		e.read += j.unread
		e.countReread(j, cached, everRead)
		e.running = append(e.running, j)
		e.cache.limit = max(0, e.spec.MemoryTokens-e.memory())
		e.cache.trim()
	}
}

// countReread counts the tokens of shared parts that an engine had read before.
func (e *engine) countReread(j *job, cached int, everRead map[uint64]bool) {
	seen := 0
	for i, p := range j.req.Parts {
		seen += p.Tokens
		if i == len(j.req.Parts)-1 {
			break
		}
		if seen > cached && everRead[p.Key] {
			e.reread += p.Tokens
		}
		everRead[p.Key] = true
	}
}

func (e *engine) memory() int {
	sum := 0
	for _, j := range e.running {
		sum += j.req.PromptTokens + j.made
	}
	return sum
}

// step returns how long the next step takes and what it does.
func (e *engine) step() time.Duration {
	budget := e.spec.Chunk
	reading := 0
	for _, j := range e.running {
		if j.unread > 0 && budget > 0 {
			n := min(j.unread, budget)
			j.unread -= n
			budget -= n
			reading += n
		}
	}
	d := e.spec.Step + time.Duration(len(e.running))*e.spec.PerRequest +
		time.Duration(float64(reading)/e.spec.TokensPerMs*float64(time.Millisecond))
	e.busy += d
	return d
}

// take puts the leading parts of a prompt that another engine holds into the cache, and
// returns how many tokens those were that it lacked.
func (e *engine) take(from *engine, parts []admit.Part) int {
	tokens := 0
	for _, p := range parts {
		if _, there := from.cache.tokens[p.Key]; !there {
			break
		}
		if _, here := e.cache.tokens[p.Key]; !here {
			tokens += p.Tokens
		}
		e.cache.use([]admit.Part{p})
	}
	e.cache.trim()
	return tokens
}

// partCache holds parts of prompts by their last use.
type partCache struct {
	limit, used int
	tokens      map[uint64]int
	order       []uint64 // the least recently used first
}

// use returns the tokens of the leading parts that are held, and holds them all.
func (c *partCache) use(parts []admit.Part) int {
	if c.tokens == nil {
		c.tokens = make(map[uint64]int)
	}
	cached, missing := 0, false
	for _, p := range parts {
		_, held := c.tokens[p.Key]
		missing = missing || !held
		if !missing {
			cached += p.Tokens
		}
		if !held {
			c.tokens[p.Key] = p.Tokens
			c.used += p.Tokens
		}
		c.touch(p.Key)
	}
	return cached
}

func (c *partCache) touch(key uint64) {
	for i, k := range c.order {
		if k == key {
			c.order = append(c.order[:i], c.order[i+1:]...)
			break
		}
	}
	c.order = append(c.order, key)
}

func (c *partCache) trim() {
	for c.used > c.limit && len(c.order) > 0 {
		key := c.order[0]
		c.order = c.order[1:]
		c.used -= c.tokens[key]
		delete(c.tokens, key)
	}
}
