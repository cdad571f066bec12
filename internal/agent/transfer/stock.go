package transfer

import "time"

const (
	stockSlots = 1 << 12
	// stockFor is how long an answer of the KV store is used again.
	stockFor = time.Second
)

// stock remembers what the KV store lately said of blocks, in a bounded table in
// which newer blocks overwrite older ones.
type stock struct {
	slots []stocked
}

// stocked is a block and whether the store held it at a time.
type stocked struct {
	hash uint64
	held bool
	at   time.Time
}

func newStock() stock { return stock{slots: make([]stocked, stockSlots)} }

// note keeps the store's answer that it holds so many leading blocks.
func (s *stock) note(hashes []uint64, blocks int, now time.Time) {
	for i, hash := range hashes[:min(blocks+1, len(hashes))] {
		s.slots[hash%stockSlots] = stocked{hash: hash, held: i < blocks, at: now}
	}
}

// leading returns how many leading blocks the store holds, if that follows from
// recent answers.
func (s *stock) leading(hashes []uint64, now time.Time) (blocks int, known bool) {
	for i, hash := range hashes {
		slot := s.slots[hash%stockSlots]
		if slot.hash != hash || now.Sub(slot.at) > stockFor {
			return 0, false
		}
		if !slot.held {
			return i, true
		}
	}
	return len(hashes), true
}
