package once

import (
	"errors"
	"sync"
)

// ErrWitness reports that a witness can't vouch: it was started anew, or a later
// epoch has asked it already.
var ErrWitness = errors.New("witness can't vouch")

// UnjournaledMark tells a witness that the owner of an epoch begins, or has ended, an
// episode of running calls without a journal.
type UnjournaledMark struct {
	Shard  int
	Epoch  uint64
	Period uint64
	Ended  bool
}

// UnjournaledQuery asks a witness about the owner of an epoch.
type UnjournaledQuery struct {
	Shard int
	Epoch uint64
}

// witness remembers the episodes of other owners. A successor's question fences
// the epoch it asks about: later marks of that epoch are refused.
type witness struct {
	mu     sync.Mutex
	shards map[int]*shardPeriods
}

// shardPeriods is what a witness knows of one shard's latest epoch.
type shardPeriods struct {
	epoch       uint64
	lastBegun   uint64
	lastEnded   uint64
	fencedEpoch uint64
}

func newWitness() *witness {
	return &witness{shards: make(map[int]*shardPeriods)}
}

func (w *witness) periodsOf(shard int) *shardPeriods {
	found, ok := w.shards[shard]
	if !ok {
		found = new(shardPeriods)
		w.shards[shard] = found
	}
	return found
}

// recordMark records an episode; it fails for an epoch that is fenced or past.
func (w *witness) recordMark(m UnjournaledMark) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	t := w.periodsOf(m.Shard)
	if m.Epoch <= t.fencedEpoch || m.Epoch < t.epoch {
		return ErrWitness
	}
	if m.Epoch > t.epoch {
		t.epoch, t.lastBegun, t.lastEnded = m.Epoch, 0, 0
	}
	if m.Ended {
		t.lastEnded = max(t.lastEnded, m.Period)
		return nil
	}
	t.lastBegun = max(t.lastBegun, m.Period)
	return nil
}

// fenceAndQuery fences the epoch and reports whether an episode of it is under way.
func (w *witness) fenceAndQuery(a UnjournaledQuery) (marked bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	t := w.periodsOf(a.Shard)
	t.fencedEpoch = max(t.fencedEpoch, a.Epoch)
	return t.epoch == a.Epoch && t.lastBegun > t.lastEnded
}
