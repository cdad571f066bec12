package enginesim

import (
	"container/list"
	"time"
)

type block struct {
	hash uint64
	salt uint64
	used time.Time
}

// cache is a set of blocks in order of use. It is not safe for concurrent use.
type cache struct {
	capacity int
	blocks   map[uint64]*list.Element
	recent   *list.List // of block, most recent first
}

func newCache(capacity int) *cache {
	return &cache{capacity: capacity, blocks: make(map[uint64]*list.Element), recent: list.New()}
}

func (c *cache) len() int { return c.recent.Len() }

// leading counts the leading blocks held.
func (c *cache) leading(hashes []uint64) int {
	for i, hash := range hashes {
		if _, held := c.blocks[hash]; !held {
			return i
		}
	}
	return len(hashes)
}

// touch marks the blocks that are held as used. The first block is marked last,
// so that a prefix outlives what depends on it.
func (c *cache) touch(hashes []uint64, now time.Time) {
	for i := len(hashes) - 1; i >= 0; i-- {
		element, held := c.blocks[hashes[i]]
		if !held {
			continue
		}
		element.Value.(*block).used = now
		c.recent.MoveToFront(element)
	}
}

// insert adds blocks and returns those that were not held before and those that had to go.
func (c *cache) insert(salt uint64, hashes []uint64, now time.Time) (stored []uint64, evicted []block) {
	for _, hash := range hashes {
		if _, held := c.blocks[hash]; held {
			continue
		}
		c.blocks[hash] = c.recent.PushFront(&block{hash: hash, salt: salt, used: now})
		stored = append(stored, hash)
	}
	c.touch(hashes, now)
	for c.recent.Len() > c.capacity {
		evicted = append(evicted, c.removeOldest())
	}
	return stored, evicted
}

// evictIdle removes the blocks not used since the given time.
func (c *cache) evictIdle(since time.Time) []block {
	var evicted []block
	for c.recent.Len() > 0 && c.recent.Back().Value.(*block).used.Before(since) {
		evicted = append(evicted, c.removeOldest())
	}
	return evicted
}

func (c *cache) removeOldest() block {
	oldest := c.recent.Back()
	c.recent.Remove(oldest)
	removed := *oldest.Value.(*block)
	delete(c.blocks, removed.hash)
	return removed
}
