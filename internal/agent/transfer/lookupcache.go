package transfer

import "time"

const (
	// lookupEntries is the number of entries of the table.
	lookupEntries = 1 << 12
	// lookupTTL is how long an answer of the cache store is reused.
	lookupTTL = time.Second
)

// lookupCache remembers which blocks the cache store recently reported as stored or
// missing. Its table has a fixed number of entries; a block overwrites another one with
// the same entry.
type lookupCache struct {
	entries []lookupEntry
}

// lookupEntry is a block and whether the store held it at recordedAt.
type lookupEntry struct {
	hash       uint64
	stored     bool
	recordedAt time.Time
}

func newLookupCache() lookupCache { return lookupCache{entries: make([]lookupEntry, lookupEntries)} }

// record stores the answer that the store holds the first blocks of hashes, blocks in
// number, and, if there are more, not the next one.
func (c *lookupCache) record(hashes []uint64, blocks int, now time.Time) {
	for i, hash := range hashes[:min(blocks+1, len(hashes))] {
		c.entries[hash%lookupEntries] = lookupEntry{hash: hash, stored: i < blocks, recordedAt: now}
	}
}

// leadingBlocks returns how many leading blocks the store holds. known is false when
// recent answers do not determine the number.
func (c *lookupCache) leadingBlocks(hashes []uint64, now time.Time) (blocks int, known bool) {
	for i, hash := range hashes {
		entry := c.entries[hash%lookupEntries]
		if entry.hash != hash || now.Sub(entry.recordedAt) > lookupTTL {
			return 0, false
		}
		if !entry.stored {
			return i, true
		}
	}
	return len(hashes), true
}
