package once

import (
	"errors"
	"sync"
)

// ErrWitnessRefused reports that a witness refused a mark or a query: the witness has
// restarted, a successor has fenced the epoch of the mark, or there is a mark of a
// later epoch.
var ErrWitnessRefused = errors.New("witness can't vouch")

// UnjournaledMark reports to a witness that the owner of an epoch begins, or has ended,
// an unjournaled period.
type UnjournaledMark struct {
	Shard int
	Epoch uint64
	// Period is the number of the unjournaled period within the epoch, from 1.
	Period uint64
	Ended  bool
}

// UnjournaledQuery asks a witness whether the owner of an epoch is in an unjournaled
// period.
type UnjournaledQuery struct {
	Shard int
	Epoch uint64
}

// witness records the unjournaled periods of other owners. A query fences the epoch it
// asks about: later marks of that epoch are refused.
type witness struct {
	mu     sync.Mutex
	shards map[int]*shardPeriods
}

// shardPeriods holds what a witness knows about one shard.
type shardPeriods struct {
	// epoch is the latest epoch with a mark.
	epoch uint64
	// lastBegun and lastEnded are the highest numbers of the periods of epoch that have
	// begun and ended.
	lastBegun uint64
	lastEnded uint64
	// fencedEpoch is the latest epoch that a query has fenced.
	fencedEpoch uint64
}

func newWitness() *witness {
	return &witness{shards: make(map[int]*shardPeriods)}
}

// periodsOf returns the state of a shard and creates it if there is none. w.mu must be
// held.
func (w *witness) periodsOf(shard int) *shardPeriods {
	periods, ok := w.shards[shard]
	if !ok {
		periods = new(shardPeriods)
		w.shards[shard] = periods
	}
	return periods
}

// recordMark records the begin or end of an unjournaled period. It returns
// ErrWitnessRefused when the mark's epoch is fenced, or older than that of an earlier
// mark.
func (w *witness) recordMark(mark UnjournaledMark) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	periods := w.periodsOf(mark.Shard)
	if mark.Epoch <= periods.fencedEpoch || mark.Epoch < periods.epoch {
		return ErrWitnessRefused
	}
	if mark.Epoch > periods.epoch {
		periods.epoch, periods.lastBegun, periods.lastEnded = mark.Epoch, 0, 0
	}
	if mark.Ended {
		periods.lastEnded = max(periods.lastEnded, mark.Period)
		return nil
	}
	periods.lastBegun = max(periods.lastBegun, mark.Period)
	return nil
}

// fenceAndQuery fences the epoch and reports whether its owner is in an unjournaled
// period.
func (w *witness) fenceAndQuery(query UnjournaledQuery) (periodOpen bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	periods := w.periodsOf(query.Shard)
	periods.fencedEpoch = max(periods.fencedEpoch, query.Epoch)
	return periods.epoch == query.Epoch && periods.lastBegun > periods.lastEnded
}
