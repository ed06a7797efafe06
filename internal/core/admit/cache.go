package admit

import "time"

const (
	// cacheLife is how long a part is believed to be in an engine's cache after
	// it was last used there.
	cacheLife = 12 * time.Second
	// maxCached bounds the parts remembered for one engine.
	maxCached = 8192
	// newsInterval is how long a use of a part holds for peers, so that a part
	// in steady use is not told with each request.
	newsInterval = time.Second
	// maxNews bounds the parts told in one report.
	maxNews = 256
)

// prefixCache is what one engine is believed to hold of prompts.
type prefixCache struct {
	used map[uint64]time.Time
	// news are shared parts that this router sent there and peers do not know of.
	news []uint64
}

// hold tells whether the part was used there lately.
func (c *prefixCache) hold(now time.Time, key uint64) bool {
	at, ok := c.used[key]
	return ok && now.Sub(at) < cacheLife
}

// send notes that this router sent a prompt there. The last part belongs to the
// request or its session and is no news to peers.
func (c *prefixCache) send(now time.Time, parts []Part) {
	for i, p := range parts {
		at, known := c.used[p.Key]
		if i < len(parts)-1 && (!known || now.Sub(at) >= newsInterval) && len(c.news) < maxNews {
			c.news = append(c.news, p.Key)
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

// takeNews returns the news for peers, once.
func (c *prefixCache) takeNews() []uint64 {
	news := c.news
	c.news = nil
	return news
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
