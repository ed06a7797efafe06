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
	used map[uint64]time.Time
	// unreported are shared parts that this router sent there and peers do not know of.
	unreported []uint64
}

// hold tells whether the part was used there lately.
func (c *prefixCache) hold(now time.Time, key uint64) bool {
	at, ok := c.used[key]
	return ok && now.Sub(at) < cacheLife
}

// send notes that this router sent a prompt there. Peers are told of all parts but
// the last, which no other request has.
func (c *prefixCache) send(now time.Time, parts []Part) {
	for i, p := range parts {
		at, known := c.used[p.Key]
		if i < len(parts)-1 && (!known || now.Sub(at) >= reportAgain) && len(c.unreported) < maxUnreported {
			c.unreported = append(c.unreported, p.Key)
		}
		c.touch(now, p.Key)
	}
}

func (c *prefixCache) touch(now time.Time, key uint64) {
	if c.used == nil {
		c.used = make(map[uint64]time.Time)
	}
	c.used[key] = now
	if len(c.used) > maxCached {
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
	for key, at := range c.used {
		if now.Sub(at) >= cacheLife {
			delete(c.used, key)
		}
	}
	if len(c.used) > maxCached {
		clear(c.used)
	}
}
