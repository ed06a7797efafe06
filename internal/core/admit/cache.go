package admit

import "time"

// Untuned first values. An engine forgets a part when it needs the room, which
// depends on its load; cacheLife stands in for that.
const (
	// cacheLife is how long a part is believed to be in an engine's cache after
	// it was last used there.
	cacheLife = 12 * time.Second
	// maxCached bounds the parts remembered for one engine.
	maxCached = 8192
	// reportAgain is how long a use of a part holds for peers, so that a part
	// in steady use is not reported with each request.
	reportAgain = time.Second
	// maxUnreported bounds the parts in one report.
	maxUnreported = 256
)

// prefixCache is what one engine is believed to hold of prompts.
type prefixCache struct {
	parts map[uint64]cachedPart
	// unreported are shared parts that this router sent there and peers do not know of.
	unreported []uint64
}

// cachedPart is a part of a prompt in an engine's cache.
type cachedPart struct {
	used time.Time
	// ready is when it is expected to have been read.
	ready time.Time
}

// alive tells whether the part was used lately.
func (p cachedPart) alive(now time.Time) bool { return now.Sub(p.used) < cacheLife }

// hold tells whether the part was used there lately.
func (c *prefixCache) hold(now time.Time, key uint64) bool {
	p, ok := c.parts[key]
	return ok && p.alive(now)
}

// readPrefix returns the tokens of the leading parts that have been read, and whether
// all parts are held or about to be.
func (c *prefixCache) readPrefix(now time.Time, parts []Part) (read int, all bool) {
	unread := false
	for _, p := range parts {
		known, ok := c.parts[p.Key]
		if !ok || !known.alive(now) {
			return read, false
		}
		unread = unread || now.Before(known.ready)
		if !unread {
			read += p.Tokens
		}
	}
	return read, true
}

// send notes that this router sent a prompt there, which is expected to have been
// read at a time. Peers are told of all parts but the last, which no other request has.
func (c *prefixCache) send(now, ready time.Time, parts []Part) {
	for i, p := range parts {
		known, ok := c.parts[p.Key]
		if i < len(parts)-1 && (!ok || now.Sub(known.used) >= reportAgain) && len(c.unreported) < maxUnreported {
			c.unreported = append(c.unreported, p.Key)
		}
		c.touch(now, ready, p.Key)
	}
}

// touch notes a use of a part. One that is held already stays ready.
func (c *prefixCache) touch(now, ready time.Time, key uint64) {
	if c.parts == nil {
		c.parts = make(map[uint64]cachedPart)
	}
	if known, ok := c.parts[key]; ok && known.alive(now) && known.ready.Before(ready) {
		ready = known.ready
	}
	c.parts[key] = cachedPart{used: now, ready: ready}
	if len(c.parts) > maxCached {
		c.trim(now)
	}
}

// takeUnreported returns the parts that peers do not know of, once.
func (c *prefixCache) takeUnreported() []uint64 {
	unreported := c.unreported
	c.unreported = nil
	return unreported
}

// trim forgets what has expired, and everything where that is not enough.
func (c *prefixCache) trim(now time.Time) {
	for key, p := range c.parts {
		if !p.alive(now) {
			delete(c.parts, key)
		}
	}
	if len(c.parts) > maxCached {
		clear(c.parts)
	}
}
