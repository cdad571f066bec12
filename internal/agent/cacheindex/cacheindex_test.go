package cacheindex

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/greengagegate/greengagegate/internal/engine"
	"pgregory.net/rapid"
)

func newEvent(sequence uint64, kind engine.CacheEventKind, hashes ...uint64) engine.CacheEvent {
	return engine.CacheEvent{Sequence: sequence, Incarnation: 1, Kind: kind, Hashes: hashes}
}

func cachedBlocks(x *Index, hashes ...uint64) int {
	blocks, _ := x.CachedPrefix(hashes)
	return blocks
}

// TestTableMatchesMap compares the hash table with a map under random inserts and
// removals. A removal that moves the entries of a run wrongly makes other entries
// unreachable.
func TestTableMatchesMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var table table
		model := make(map[uint64]uint32)
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			// Few distinct hashes with close preferred slots make runs collide and wrap around.
			hash := uint64(rapid.IntRange(1, 60).Draw(t, "hash")) * 0x0123456789ABCDEF
			if rapid.Bool().Draw(t, "set") {
				tick := rapid.Uint32().Draw(t, "tick")
				table.set(hash, tick)
				model[hash] = tick
			} else if i := table.find(hash); i >= 0 {
				table.remove(i)
				table.shrink()
				delete(model, hash)
			}
			if table.count != len(model) {
				t.Fatalf("table holds %d entries, want %d", table.count, len(model))
			}
			for hash, tick := range model {
				if i := table.find(hash); i < 0 || table.ticks[i] != tick {
					t.Fatalf("hash %x is missing or has the wrong tick", hash)
				}
			}
		}
	})
}

// TestEventsOfEarlierIncarnationAreIgnored guards against blocks of a restarted
// engine's previous cache. Events and requests of the earlier incarnation may still
// arrive after the restart.
func TestEventsOfEarlierIncarnationAreIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := New()
		x.Apply(newEvent(1, engine.CacheStored, 11, 12))
		x.SetIncarnation(2)
		if got := cachedBlocks(x, 11, 12); got != 0 {
			t.Fatalf("%d blocks of the earlier incarnation are still cached, want 0", got)
		}
		x.Apply(newEvent(2, engine.CacheStored, 11, 12))
		x.AddStarted(1, []uint64{11, 12})
		if got := cachedBlocks(x, 11, 12); got != 0 {
			t.Fatalf("%d blocks of a late event are cached, want 0", got)
		}
		x.Apply(engine.CacheEvent{Sequence: 1, Incarnation: 2, Kind: engine.CacheStored, Hashes: []uint64{11}})
		if got := cachedBlocks(x, 11, 12); got != 1 {
			t.Fatalf("%d blocks of the new incarnation are cached, want 1", got)
		}
	})
}

// TestDelayedEvictionKeepsRecentlyUsedBlock guards against an eviction event that
// arrives after a later use of the block and removes the block from the index.
func TestDelayedEvictionKeepsRecentlyUsedBlock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := New()
		x.Apply(newEvent(1, engine.CacheStored, 11))
		time.Sleep(5 * time.Second)
		x.AddStarted(1, []uint64{11})
		time.Sleep(500 * time.Millisecond)
		x.Apply(newEvent(2, engine.CacheEvicted, 11))
		if got := cachedBlocks(x, 11); got != 1 {
			t.Fatal("eviction event within maxEventDelay of the use removed the block")
		}
		time.Sleep(5 * time.Second)
		x.Apply(newEvent(3, engine.CacheEvicted, 11))
		if got := cachedBlocks(x, 11); got != 0 {
			t.Fatal("eviction event did not remove the idle block")
		}
	})
}

// TestIdleBlocksExpireAfterEventGap guards against blocks that stay in the index
// forever because their eviction events were lost.
func TestIdleBlocksExpireAfterEventGap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := New()
		x.Apply(newEvent(1, engine.CacheStored, 1, 2, 3))
		time.Sleep(8 * time.Second)
		x.Apply(newEvent(2, engine.CacheEvicted, 1))
		x.AddStarted(1, []uint64{4})
		// The evictions of 2 and 3 are lost.
		x.Apply(newEvent(5, engine.CacheStored, 5))
		if got := cachedBlocks(x, 2, 3); got != 2 {
			t.Fatal("blocks expired immediately after the gap")
		}
		time.Sleep(3 * time.Second)
		if got := cachedBlocks(x, 2, 3); got != 0 {
			t.Fatal("idle blocks from before the gap did not expire")
		}
		if cachedBlocks(x, 4) != 1 || cachedBlocks(x, 5) != 1 {
			t.Fatal("recently used blocks expired")
		}
		x.Sweep()
		if got := x.Blocks(); got != 2 {
			t.Fatalf("index holds %d blocks after Sweep, want 2", got)
		}
	})
}

// TestCachedPrefixCountsOnlyLeadingBlocks guards against counting blocks after a
// missing one. The engine can reuse only an unbroken prefix of a prompt.
func TestCachedPrefixCountsOnlyLeadingBlocks(t *testing.T) {
	x := New()
	x.AddStarted(1, []uint64{1, 2, 3, 4})
	x.RemoveUncomputed(1, []uint64{1, 2, 3, 4}, 2)
	if got := cachedBlocks(x, 1, 2, 3, 4); got != 2 {
		t.Fatalf("%d leading blocks are cached, want 2", got)
	}
	x.AddPromised(1, []uint64{4})
	if got := cachedBlocks(x, 1, 2, 3, 4); got != 2 {
		t.Fatalf("%d leading blocks are cached before a missing block, want 2", got)
	}
	x.Clear()
	if cachedBlocks(x, 1) != 0 || x.Blocks() != 0 {
		t.Fatal("index is not empty after Clear")
	}
}
