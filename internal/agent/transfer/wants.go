package transfer

import "time"

const (
	wantSlots = 1 << 12
	// wantWindow is how soon a block must be wanted again to be worth exporting.
	wantWindow = 20 * time.Second
	// exportedFor is how long an exported block is taken to be in the store still.
	exportedFor = 5 * time.Second
)

// wants remembers when blocks were last wanted and last known to be in the
// store, in bounded tables in which newer blocks overwrite older ones.
type wants struct {
	wanted []want
	stored []seen
}

// want is a block and the last two times at which it was asked for.
type want struct {
	hash         uint64
	last, before time.Time
}

// seen is a block and a time.
type seen struct {
	hash uint64
	at   time.Time
}

func newWants() wants {
	return wants{wanted: make([]want, wantSlots), stored: make([]seen, wantSlots)}
}

// note marks blocks as asked for.
func (w *wants) note(hashes []uint64, now time.Time) {
	for _, hash := range hashes {
		slot := &w.wanted[hash%wantSlots]
		if slot.hash != hash {
			*slot = want{hash: hash}
		}
		slot.before, slot.last = slot.last, now
	}
}

// again returns how many leading blocks were asked for at least twice within wantWindow.
func (w *wants) again(hashes []uint64, now time.Time) int {
	for i, hash := range hashes {
		if w.fresh(hash, now) {
			return i
		}
	}
	return len(hashes)
}

// fresh reports whether a block was asked for no more than once within wantWindow.
func (w *wants) fresh(hash uint64, now time.Time) bool {
	slot := &w.wanted[hash%wantSlots]
	return slot.hash != hash || slot.before.IsZero() || now.Sub(slot.before) > wantWindow
}

// exported reports whether all blocks are known to be in the store.
func (w *wants) exported(hashes []uint64, now time.Time) bool {
	for _, hash := range hashes {
		slot := w.stored[hash%wantSlots]
		if slot.hash != hash || now.Sub(slot.at) > exportedFor {
			return false
		}
	}
	return true
}

func (w *wants) markExported(hashes []uint64, now time.Time) {
	for _, hash := range hashes {
		w.stored[hash%wantSlots] = seen{hash: hash, at: now}
	}
}
