package enginesim

import (
	"container/list"
	"time"
)

// block is a cached block of prompt tokens.
type block struct {
	hash     uint64
	salt     uint64
	lastUsed time.Time
}

// cache is an LRU cache of blocks. It is not safe for concurrent use.
type cache struct {
	capacity int
	blocks   map[uint64]*list.Element
	lru      *list.List // of *block, most recently used first
}

func newCache(capacity int) *cache {
	return &cache{capacity: capacity, blocks: make(map[uint64]*list.Element), lru: list.New()}
}

func (c *cache) len() int { return c.lru.Len() }

// countLeading returns the number of leading blocks of hashes that the cache holds.
func (c *cache) countLeading(hashes []uint64) int {
	for i, hash := range hashes {
		if _, held := c.blocks[hash]; !held {
			return i
		}
	}
	return len(hashes)
}

// touch marks the blocks that the cache holds as used. It marks the first block last, so
// that the blocks of a prefix are evicted after the blocks that depend on them.
func (c *cache) touch(hashes []uint64, now time.Time) {
	for i := len(hashes) - 1; i >= 0; i-- {
		element, held := c.blocks[hashes[i]]
		if !held {
			continue
		}
		element.Value.(*block).lastUsed = now
		c.lru.MoveToFront(element)
	}
}

// insert adds blocks and marks all of hashes as used. It returns the hashes that were not
// in the cache before and the blocks that it evicted above the capacity.
func (c *cache) insert(salt uint64, hashes []uint64, now time.Time) (stored []uint64, evicted []block) {
	for _, hash := range hashes {
		if _, held := c.blocks[hash]; held {
			continue
		}
		c.blocks[hash] = c.lru.PushFront(&block{hash: hash, salt: salt, lastUsed: now})
		stored = append(stored, hash)
	}
	c.touch(hashes, now)
	for c.lru.Len() > c.capacity {
		evicted = append(evicted, c.removeOldest())
	}
	return stored, evicted
}

// evictIdle removes and returns the blocks that were last used before since.
func (c *cache) evictIdle(since time.Time) []block {
	var evicted []block
	for c.lru.Len() > 0 && c.lru.Back().Value.(*block).lastUsed.Before(since) {
		evicted = append(evicted, c.removeOldest())
	}
	return evicted
}

// removeOldest removes and returns the least recently used block.
func (c *cache) removeOldest() block {
	oldest := c.lru.Back()
	c.lru.Remove(oldest)
	removed := *oldest.Value.(*block)
	delete(c.blocks, removed.hash)
	return removed
}
