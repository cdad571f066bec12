package cacheindex

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/greengagegate/greengagegate/internal/engine"
	"pgregory.net/rapid"
)

func event(sequence uint64, kind engine.CacheEventKind, hashes ...uint64) engine.CacheEvent {
	return engine.CacheEvent{Sequence: sequence, Incarnation: 1, Kind: kind, Hashes: hashes}
}

func cached(x *Index, hashes ...uint64) int {
	blocks, _ := x.Cached(hashes)
	return blocks
}

func TestTableEqualsAMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var table table
		model := make(map[uint64]uint32)
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			// Few distinct values, in close neighbourhood, so that runs collide and wrap.
			hash := uint64(rapid.IntRange(1, 60).Draw(t, "hash")) * 0x0123456789ABCDEF
			if rapid.Bool().Draw(t, "set") {
				tick := rapid.Uint32().Draw(t, "tick")
				table.set(hash, tick)
				model[hash] = tick
			} else if i := table.find(hash); i >= 0 {
				table.remove(i)
				table.trim()
				delete(model, hash)
			}
			if table.used != len(model) {
				t.Fatalf("holds %d, want %d", table.used, len(model))
			}
			for hash, tick := range model {
				if i := table.find(hash); i < 0 || table.ticks[i] != tick {
					t.Fatalf("hash %x lost", hash)
				}
			}
		}
	})
}

func TestEventsOfAnEarlierEngineProcessDoNotCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := New()
		x.Apply(event(1, engine.CacheStored, 11, 12))
		x.Observe(2)
		if got := cached(x, 11, 12); got != 0 {
			t.Fatalf("%d blocks kept across incarnations", got)
		}
		x.Apply(event(2, engine.CacheStored, 11, 12))
		x.Started(1, []uint64{11, 12})
		if got := cached(x, 11, 12); got != 0 {
			t.Fatalf("%d blocks taken from a late event", got)
		}
		x.Apply(engine.CacheEvent{Sequence: 1, Incarnation: 2, Kind: engine.CacheStored, Hashes: []uint64{11}})
		if got := cached(x, 11, 12); got != 1 {
			t.Fatalf("got %d blocks of the new incarnation", got)
		}
	})
}

func TestLateEvictionDoesNotUndoALaterUse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := New()
		x.Apply(event(1, engine.CacheStored, 11))
		time.Sleep(5 * time.Second)
		x.Started(1, []uint64{11})
		time.Sleep(500 * time.Millisecond)
		x.Apply(event(2, engine.CacheEvicted, 11))
		if got := cached(x, 11); got != 1 {
			t.Fatal("eviction from before the use removed the block")
		}
		time.Sleep(5 * time.Second)
		x.Apply(event(3, engine.CacheEvicted, 11))
		if got := cached(x, 11); got != 0 {
			t.Fatal("eviction ignored")
		}
	})
}

func TestBlocksFromBeforeAGapAreDroppedOnceIdle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := New()
		x.Apply(event(1, engine.CacheStored, 1, 2, 3))
		time.Sleep(8 * time.Second)
		x.Apply(event(2, engine.CacheEvicted, 1))
		x.Started(1, []uint64{4})
		// The evictions of 2 and 3 are lost.
		x.Apply(event(5, engine.CacheStored, 5))
		if got := cached(x, 2, 3); got != 2 {
			t.Fatal("blocks given up at once")
		}
		time.Sleep(3 * time.Second)
		if got := cached(x, 2, 3); got != 0 {
			t.Fatal("idle blocks from before the gap still believed")
		}
		if cached(x, 4) != 1 || cached(x, 5) != 1 {
			t.Fatal("fresh blocks given up")
		}
		x.Sweep()
		if got := x.Blocks(); got != 2 {
			t.Fatalf("%d blocks after sweep", got)
		}
	})
}

func TestOnlyLeadingBlocksCount(t *testing.T) {
	x := New()
	x.Started(1, []uint64{1, 2, 3, 4})
	x.Missing(1, []uint64{1, 2, 3, 4}, 2)
	if got := cached(x, 1, 2, 3, 4); got != 2 {
		t.Fatalf("got %d leading blocks", got)
	}
	x.Promised(1, []uint64{4})
	if got := cached(x, 1, 2, 3, 4); got != 2 {
		t.Fatalf("got %d leading blocks with a hole", got)
	}
	x.Clear()
	if cached(x, 1) != 0 || x.Blocks() != 0 {
		t.Fatal("blocks left after clear")
	}
}
