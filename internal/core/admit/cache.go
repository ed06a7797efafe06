package admit

import "time"

const (
	// cacheLife is how long a part is believed to be in an engine's cache after
	// it was last used there.
	cacheLife = 12 * time.Second
	// maxCached bounds the parts remembered for one engine.
	maxCached = 8192
)

// prefixCache is what one engine is believed to hold of prompts.
type prefixCache struct {
	used map[uint64]time.Time
}

// hold tells whether the part was used there lately.
func (c *prefixCache) hold(now time.Time, key uint64) bool {
	at, ok := c.used[key]
	return ok && now.Sub(at) < cacheLife
}

func (c *prefixCache) touch(now time.Time, parts []Part) {
	if c.used == nil {
		c.used = make(map[uint64]time.Time)
	}
	for _, p := range parts {
		c.used[p.Key] = now
	}
	if len(c.used) > maxCached {
		c.trim(now)
	}
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
