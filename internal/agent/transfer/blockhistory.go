package transfer

import "time"

const (
	// historyEntries is the number of entries of each table.
	historyEntries = 1 << 12
	// repeatWindow is the time within which a block must be probed twice to be worth
	// exporting.
	repeatWindow = 20 * time.Second
	// exportTTL is how long a block that was known to be in the store is assumed to be
	// still there.
	exportTTL = 5 * time.Second
)

// blockHistory remembers when blocks were last probed and when they were last known to
// be in the store. Its tables have a fixed number of entries; a block overwrites another
// one with the same entry.
type blockHistory struct {
	probes  []probeEntry
	exports []exportEntry
}

// probeEntry is a block and the last two times at which it was probed.
type probeEntry struct {
	hash           uint64
	last, previous time.Time
}

// exportEntry is a block and when it was last known to be in the store.
type exportEntry struct {
	hash       uint64
	exportedAt time.Time
}

func newBlockHistory() blockHistory {
	return blockHistory{probes: make([]probeEntry, historyEntries), exports: make([]exportEntry, historyEntries)}
}

// recordProbe records a probe for a prompt with the blocks.
func (h *blockHistory) recordProbe(hashes []uint64, now time.Time) {
	for _, hash := range hashes {
		entry := &h.probes[hash%historyEntries]
		if entry.hash != hash {
			*entry = probeEntry{hash: hash}
		}
		entry.previous, entry.last = entry.last, now
	}
}

// repeatedBlocks returns how many leading blocks were probed at least twice within
// repeatWindow.
func (h *blockHistory) repeatedBlocks(hashes []uint64, now time.Time) int {
	for i, hash := range hashes {
		if h.wasProbedAtMostOnce(hash, now) {
			return i
		}
	}
	return len(hashes)
}

// wasProbedAtMostOnce reports whether a block was probed at most once within
// repeatWindow. A block whose entry was overwritten counts as not probed.
func (h *blockHistory) wasProbedAtMostOnce(hash uint64, now time.Time) bool {
	entry := &h.probes[hash%historyEntries]
	return entry.hash != hash || entry.previous.IsZero() || now.Sub(entry.previous) > repeatWindow
}

// allExported reports whether all blocks were known to be in the store at most
// exportTTL ago.
func (h *blockHistory) allExported(hashes []uint64, now time.Time) bool {
	for _, hash := range hashes {
		entry := h.exports[hash%historyEntries]
		if entry.hash != hash || now.Sub(entry.exportedAt) > exportTTL {
			return false
		}
	}
	return true
}

// markExported records that the blocks are in the store.
func (h *blockHistory) markExported(hashes []uint64, now time.Time) {
	for _, hash := range hashes {
		h.exports[hash%historyEntries] = exportEntry{hash: hash, exportedAt: now}
	}
}
