package admit

import "time"

// An engine evicts a part when it needs the memory, which depends on its load; cacheTTL
// approximates that.
const (
	// cacheTTL is how long a part is assumed to stay in an engine's cache after its
	// last use there.
	cacheTTL = 12 * time.Second
	// maxCachedParts bounds the parts tracked per engine.
	maxCachedParts = 8192
	// minEvictParts is the least number of parts at which expired ones are removed.
	minEvictParts = 256
	// reportInterval is the minimum time between two reports of the same part to peers,
	// so that a part in steady use is not reported with each request.
	reportInterval = time.Second
	// maxUnreported bounds the parts in one report.
	maxUnreported = 256
)

// prefixCache is the estimated content of one engine's prefix cache.
type prefixCache struct {
	parts map[uint64]cachedPart
	// evictAt is the number of parts at which expired ones are removed next.
	evictAt int
	// unreported holds the keys of shared parts that this router sent to the engine and
	// has not yet reported to its peers.
	unreported []uint64
}

// cachedPart is a part of a prompt in an engine's cache.
type cachedPart struct {
	usedAt time.Time
	// readyAt is when the part's prefill is expected to have completed.
	readyAt time.Time
}

// isFresh reports whether the part was used within cacheTTL.
func (p cachedPart) isFresh(now time.Time) bool { return now.Sub(p.usedAt) < cacheTTL }

// holds reports whether the part is assumed to be in the cache.
func (c *prefixCache) holds(now time.Time, key uint64) bool {
	p, ok := c.parts[key]
	return ok && p.isFresh(now)
}

// prefilledPrefix returns the tokens of the leading parts whose prefill has completed,
// and whether all parts are cached or being prefilled.
func (c *prefixCache) prefilledPrefix(now time.Time, parts []Part) (prefilled int, all bool) {
	isPending := false
	for _, p := range parts {
		cached, ok := c.parts[p.Key]
		if !ok || !cached.isFresh(now) {
			return prefilled, false
		}
		isPending = isPending || now.Before(cached.readyAt)
		if !isPending {
			prefilled += p.Tokens
		}
	}
	return prefilled, true
}

// recordPrompt records that this router sent a prompt to the engine, whose prefill is
// expected to complete at readyAt. All parts but the last are reported to peers; the
// last belongs to this request alone.
func (c *prefixCache) recordPrompt(now, readyAt time.Time, parts []Part) {
	for i, p := range parts {
		cached, ok := c.parts[p.Key]
		if i < len(parts)-1 && (!ok || now.Sub(cached.usedAt) >= reportInterval) && len(c.unreported) < maxUnreported {
			c.unreported = append(c.unreported, p.Key)
		}
		c.recordUse(now, readyAt, p.Key)
	}
}

// recordUse records a use of a part. A part that is cached already keeps its earlier
// readyAt.
func (c *prefixCache) recordUse(now, readyAt time.Time, key uint64) {
	if c.parts == nil {
		c.parts = make(map[uint64]cachedPart)
	}
	if cached, ok := c.parts[key]; ok && cached.isFresh(now) && cached.readyAt.Before(readyAt) {
		readyAt = cached.readyAt
	}
	c.parts[key] = cachedPart{usedAt: now, readyAt: readyAt}
	if len(c.parts) > max(c.evictAt, minEvictParts) {
		c.evict(now)
	}
}

// takeUnreported returns the parts that have not been reported to peers and clears
// them.
func (c *prefixCache) takeUnreported() []uint64 {
	unreported := c.unreported
	c.unreported = nil
	return unreported
}

// evict removes expired parts, and all parts if that does not bring the cache below its
// bound.
func (c *prefixCache) evict(now time.Time) {
	for key, p := range c.parts {
		if !p.isFresh(now) {
			delete(c.parts, key)
		}
	}
	if len(c.parts) > maxCachedParts {
		clear(c.parts)
	}
	// The cost of a removal is spread over as many additions as there are parts.
	c.evictAt = min(2*len(c.parts), maxCachedParts)
}
