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
	shards map[int]*periods
}

// periods is what a witness knows of one shard's latest epoch.
type periods struct {
	epoch  uint64
	begun  uint64
	ended  uint64
	fenced uint64
}

func newWitness() *witness {
	return &witness{shards: make(map[int]*periods)}
}

func (w *witness) of(shard int) *periods {
	found, ok := w.shards[shard]
	if !ok {
		found = new(periods)
		w.shards[shard] = found
	}
	return found
}

// mark records an episode; it fails for an epoch that is fenced or past.
func (w *witness) mark(m UnjournaledMark) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	t := w.of(m.Shard)
	if m.Epoch <= t.fenced || m.Epoch < t.epoch {
		return ErrWitness
	}
	if m.Epoch > t.epoch {
		t.epoch, t.begun, t.ended = m.Epoch, 0, 0
	}
	if m.Ended {
		t.ended = max(t.ended, m.Period)
		return nil
	}
	t.begun = max(t.begun, m.Period)
	return nil
}

// ask fences the epoch and reports whether an episode of it is under way.
func (w *witness) ask(a UnjournaledQuery) (marked bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	t := w.of(a.Shard)
	t.fenced = max(t.fenced, a.Epoch)
	return t.epoch == a.Epoch && t.begun > t.ended
}
