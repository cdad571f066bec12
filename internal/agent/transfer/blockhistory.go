package transfer

import "time"

const (
	// historyEntries is the size of each table.
	historyEntries = 1 << 12
	// repeatWindow is the time within which a block must be requested twice to be worth
	// exporting.
	repeatWindow = 20 * time.Second
	// exportTTL is how long an exported block is assumed to be still in the store.
	exportTTL = 5 * time.Second
)

// blockHistory remembers when blocks were last requested and last exported. Its tables
// have a fixed size; newer blocks overwrite older ones.
type blockHistory struct {
	requests []requestEntry
	exports  []exportEntry
}

// requestEntry is a block and the last two times at which it was requested.
type requestEntry struct {
	hash           uint64
	last, previous time.Time
}

// exportEntry is a block and when it was last known to be in the store.
type exportEntry struct {
	hash       uint64
	exportedAt time.Time
}

func newBlockHistory() blockHistory {
	return blockHistory{requests: make([]requestEntry, historyEntries), exports: make([]exportEntry, historyEntries)}
}

// recordRequest records a request for the blocks.
func (h *blockHistory) recordRequest(hashes []uint64, now time.Time) {
	for _, hash := range hashes {
		entry := &h.requests[hash%historyEntries]
		if entry.hash != hash {
			*entry = requestEntry{hash: hash}
		}
		entry.previous, entry.last = entry.last, now
	}
}

// repeatedBlocks returns how many leading blocks were requested at least twice within
// repeatWindow.
func (h *blockHistory) repeatedBlocks(hashes []uint64, now time.Time) int {
	for i, hash := range hashes {
		if h.isFirstRequest(hash, now) {
			return i
		}
	}
	return len(hashes)
}

// isFirstRequest reports whether a block was requested at most once within repeatWindow.
func (h *blockHistory) isFirstRequest(hash uint64, now time.Time) bool {
	entry := &h.requests[hash%historyEntries]
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
