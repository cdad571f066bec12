package cacheindex

import "math/bits"

const (
	shardBits = 6
	shards    = 1 << shardBits

	minSlots   = 8
	maxLoadPct = 85
	growthPct  = 125
	shrinkPct  = 40
)

// table is an open-addressing hash table from block hashes to ticks. The empty
// slot has hash zero, so that hash zero is never held.
type table struct {
	hashes []uint64
	ticks  []uint32
	used   int
}

// home returns the preferred slot of a hash; it grows with the hash.
func (t *table) home(hash uint64) int {
	high, _ := bits.Mul64(hash<<shardBits, uint64(len(t.hashes)))
	return int(high)
}

// find returns the slot that holds hash, or -1.
func (t *table) find(hash uint64) int {
	if len(t.hashes) == 0 || hash == 0 {
		return -1
	}
	for i := t.home(hash); t.hashes[i] != 0; i = t.next(i) {
		if t.hashes[i] == hash {
			return i
		}
	}
	return -1
}

func (t *table) next(i int) int {
	if i++; i == len(t.hashes) {
		return 0
	}
	return i
}

// set inserts or overwrites a hash's tick.
func (t *table) set(hash uint64, tick uint32) {
	if hash == 0 {
		return
	}
	if i := t.find(hash); i >= 0 {
		t.ticks[i] = tick
		return
	}
	if (t.used+1)*100 > len(t.hashes)*maxLoadPct {
		t.resize(max(minSlots, len(t.hashes)*growthPct/100+1))
	}
	t.insert(hash, tick)
}

func (t *table) insert(hash uint64, tick uint32) {
	i := t.home(hash)
	for t.hashes[i] != 0 {
		i = t.next(i)
	}
	t.hashes[i], t.ticks[i] = hash, tick
	t.used++
}

func (t *table) resize(slots int) {
	old := *t
	*t = table{hashes: make([]uint64, slots), ticks: make([]uint32, slots)}
	for i, hash := range old.hashes {
		if hash != 0 {
			t.insert(hash, old.ticks[i])
		}
	}
}

// remove deletes the entry in slot i and moves later entries of its run back.
func (t *table) remove(i int) {
	t.used--
	for j := t.next(i); t.hashes[j] != 0; j = t.next(j) {
		if between(i, t.home(t.hashes[j]), j) {
			continue
		}
		t.hashes[i], t.ticks[i] = t.hashes[j], t.ticks[j]
		i = j
	}
	t.hashes[i], t.ticks[i] = 0, 0
}

// between reports whether home lies cyclically after i, up to j.
func between(i, home, j int) bool {
	if i < j {
		return i < home && home <= j
	}
	return i < home || home <= j
}

// trim shrinks a table that has become mostly empty.
func (t *table) trim() {
	if len(t.hashes) > minSlots && t.used*100 < len(t.hashes)*shrinkPct {
		t.resize(max(minSlots, t.used*100/maxLoadPct+t.used/8+1))
	}
}
