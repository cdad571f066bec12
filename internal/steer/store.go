package steer

import (
	"time"

	"github.com/greengagegate/greengagegate/internal/bootclock"
	"github.com/greengagegate/greengagegate/internal/catalog"
)

const (
	// saveAgain is how long after a save was asked for the parts are expected in
	// the store's events.
	saveAgain = 2 * time.Second
	// maxStored bounds the parts that are remembered of the store.
	maxStored = 65536
	// minSaved is the least number of shared tokens that are worth saving.
	minSaved = 1000
)

// storedParts is what is known of the store of cached parts.
type storedParts struct {
	held map[string]bool
	// asked is when a save of a part was asked for.
	asked map[string]bootclock.Instant
}

func newStoredParts() storedParts {
	return storedParts{held: make(map[string]bool), asked: make(map[string]bootclock.Instant)}
}

// leading returns the number of leading tokens of the work that the store holds.
func (p storedParts) leading(work *Work, keys []string) int64 {
	tokens := int64(0)
	for i, part := range work.Parts {
		if !p.held[keys[i]] {
			break
		}
		tokens += part.Tokens
	}
	return tokens
}

// UseStore names the store that engines may copy from; nil means none.
func (c *Chooser) UseStore(store *catalog.CacheStore) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.store = store
}

// NoteStored says that the store holds a part, or dropped it.
func (c *Chooser) NoteStored(salt, part string, held bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := salt + part
	if !held {
		delete(c.stored.held, key)
		return
	}
	if len(c.stored.held) < maxStored {
		c.stored.held[key] = true
	}
	delete(c.stored.asked, key)
}

// ForgetStored says that the store is empty.
func (c *Chooser) ForgetStored() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stored = newStoredParts()
}

// saveTo returns the store's address when the shared parts of the work should be
// saved there; c.mu is held. The last part belongs to the request alone.
func (c *Chooser) saveTo(work *Work, version int64, now bootclock.Instant) string {
	if c.store == nil || len(work.Parts) < 2 {
		return ""
	}
	shared := work.Parts[:len(work.Parts)-1]
	tokens := int64(0)
	for _, part := range shared {
		tokens += part.Tokens
	}
	key := work.Salt(version) + shared[len(shared)-1].ID
	if tokens < minSaved || c.stored.held[key] {
		return ""
	}
	if asked, ok := c.stored.asked[key]; ok && now.Sub(asked) < saveAgain {
		return ""
	}
	if len(c.stored.asked) >= maxStored {
		clear(c.stored.asked)
	}
	c.stored.asked[key] = now
	return c.store.Address
}
