package engine

import (
	"container/list"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// BlockTokens is the number of prompt tokens in a block of the prefix cache.
const BlockTokens = 16

// prefixCache remembers the blocks of prompts seen last, a block being named
// by the hash of the whole prompt up to its end.
type prefixCache struct {
	mu     sync.Mutex
	size   int
	order  *list.List
	blocks map[uint64]*list.Element
}

func newPrefixCache(size int) *prefixCache {
	return &prefixCache{size: size, order: list.New(), blocks: map[uint64]*list.Element{}}
}

// admit adds a prompt's blocks and returns the number of its tokens that were
// in the cache before.
func (c *prefixCache) admit(prompt string) int {
	if c.size == 0 {
		return 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	words := strings.Fields(prompt)
	digest := xxhash.New()
	cached, unbroken := 0, true
	for end := BlockTokens; end <= len(words); end += BlockTokens {
		_, _ = digest.WriteString(strings.Join(words[end-BlockTokens:end], " ") + " ")
		known := c.touch(digest.Sum64())
		unbroken = unbroken && known
		if unbroken {
			cached = end
		}
	}
	return cached
}

// touch moves a block to the front, adding it where it is new.
func (c *prefixCache) touch(block uint64) (known bool) {
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
