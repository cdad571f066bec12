package cacheindex

import "math/bits"

const (
	// The blocks are split by the upper tableBits bits of their hash into tableCount
	// tables, which are resized one by one. One mutex guards all tables.
	tableBits  = 6
	tableCount = 1 << tableBits

	minSlots = 8
	// maxLoadPercent is the share of used slots above which a table grows, to
	// growthPercent of its size. Below minLoadPercent it shrinks.
	maxLoadPercent = 85
	growthPercent  = 125
	minLoadPercent = 40
)

// table is an open-addressing hash table that maps block hashes to the ticks of
// their last use. An empty slot has hash zero, so hash zero is never stored.
type table struct {
	hashes []uint64
	ticks  []uint32
	count  int
}

// preferredSlot returns the slot at which the search for a hash starts. Within a
// table, it increases monotonically with the hash.
func (t *table) preferredSlot(hash uint64) int {
	high, _ := bits.Mul64(hash<<tableBits, uint64(len(t.hashes)))
	return int(high)
}

// find returns the slot that holds hash, or -1.
func (t *table) find(hash uint64) int {
	if len(t.hashes) == 0 || hash == 0 {
		return -1
	}
	for i := t.preferredSlot(hash); t.hashes[i] != 0; i = t.nextSlot(i) {
		if t.hashes[i] == hash {
			return i
		}
	}
	return -1
}

// nextSlot returns the slot after i, wrapping around at the end.
func (t *table) nextSlot(i int) int {
	if i++; i == len(t.hashes) {
		return 0
	}
	return i
}

// set stores the tick of a hash. It ignores hash zero.
func (t *table) set(hash uint64, tick uint32) {
	if hash == 0 {
		return
	}
	if i := t.find(hash); i >= 0 {
		t.ticks[i] = tick
		return
	}
	if (t.count+1)*100 > len(t.hashes)*maxLoadPercent {
		t.resize(max(minSlots, len(t.hashes)*growthPercent/100+1))
	}
	t.insert(hash, tick)
}

// insert adds a hash that the table does not hold. The table must have an empty
// slot.
func (t *table) insert(hash uint64, tick uint32) {
	i := t.preferredSlot(hash)
	for t.hashes[i] != 0 {
		i = t.nextSlot(i)
	}
	t.hashes[i], t.ticks[i] = hash, tick
	t.count++
}

// resize rehashes the entries into the given number of slots, which must exceed
// the number of entries.
func (t *table) resize(slots int) {
	old := *t
	*t = table{hashes: make([]uint64, slots), ticks: make([]uint32, slots)}
	for i, hash := range old.hashes {
		if hash != 0 {
			t.insert(hash, old.ticks[i])
		}
	}
}

// remove deletes the entry in slot i and moves back entries that follow it
// without an empty slot between, so that searches need no markers for deleted entries.
func (t *table) remove(i int) {
	t.count--
	for j := t.nextSlot(i); t.hashes[j] != 0; j = t.nextSlot(j) {
		if isCyclicallyBetween(i, t.preferredSlot(t.hashes[j]), j) {
			continue
		}
		t.hashes[i], t.ticks[i] = t.hashes[j], t.ticks[j]
		i = j
	}
	t.hashes[i], t.ticks[i] = 0, 0
}

// isCyclicallyBetween reports whether preferred lies after i and not after j in
// the cyclic order of the slots.
func isCyclicallyBetween(i, preferred, j int) bool {
	if i < j {
		return i < preferred && preferred <= j
	}
	return i < preferred || preferred <= j
}

// shrink reduces the number of slots when less than minLoadPercent are in use.
func (t *table) shrink() {
	if len(t.hashes) > minSlots && t.count*100 < len(t.hashes)*minLoadPercent {
		t.resize(max(minSlots, t.count*100/maxLoadPercent+t.count/8+1))
	}
}
