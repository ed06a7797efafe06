package engine

import (
	"container/list"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// BlockTokens is the number of prompt tokens in a block of the prefix cache.
const BlockTokens = 16

// prefixCache is an LRU cache of prompt blocks. The key of a block is the hash of the
// prompt from its beginning to the end of the block.
type prefixCache struct {
	mu     sync.Mutex
	size   int
	order  *list.List
	blocks map[uint64]*list.Element
}

func newPrefixCache(size int) *prefixCache {
	return &prefixCache{size: size, order: list.New(), blocks: map[uint64]*list.Element{}}
}

// admit adds a prompt's blocks and returns the number of tokens of its leading blocks
// that were cached before.
func (c *prefixCache) admit(prompt string) int {
	if c.size == 0 {
		return 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	words := strings.Fields(prompt)
	digest := xxhash.New()
	cached, isPrefixCached := 0, true
	for end := BlockTokens; end <= len(words); end += BlockTokens {
		_, _ = digest.WriteString(strings.Join(words[end-BlockTokens:end], " ") + " ")
		wasCached := c.touch(digest.Sum64())
		isPrefixCached = isPrefixCached && wasCached
		if isPrefixCached {
			cached = end
		}
	}
	return cached
}

// touch marks a block as the most recently used and adds it if it is not cached. It
// returns whether the block was cached before.
func (c *prefixCache) touch(block uint64) (wasCached bool) {
	if elem, ok := c.blocks[block]; ok {
		c.order.MoveToFront(elem)
		return true
	}
	c.blocks[block] = c.order.PushFront(block)
	if c.order.Len() > c.size {
		oldest := c.order.Back()
		c.order.Remove(oldest)
		delete(c.blocks, oldest.Value.(uint64))
	}
	return false
}
