package cacheindex

import (
	"flag"
	"math/rand/v2"
	"os"
	"runtime"
	"testing"

	"github.com/greengagegate/greengagegate/internal/engine"
	"github.com/greengagegate/greengagegate/internal/slope"
)

var slopes = flag.Bool("slopes", false, "print what the index costs at several sizes as JSON lines")

func heap() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

func filled(blocks int) (*Index, []uint64) {
	rnd := rand.New(rand.NewPCG(1, 1))
	hashes := make([]uint64, blocks)
	x := New()
	for i := range hashes {
		hashes[i] = rnd.Uint64()
		x.Apply(event(uint64(i)+1, engine.CacheStored, hashes[i]))
	}
	return x, hashes
}

// TestIndexTakesFewBytesABlock checks the memory that an agent's index may use.
func TestIndexTakesFewBytesABlock(t *testing.T) {
	const blocks, maxBytes = 170_000, 24
	before := heap()
	x, hashes := filled(blocks)
	used := float64(heap()-before) - 8*blocks
	runtime.KeepAlive(hashes)
	if x.Blocks() != blocks || used/blocks > maxBytes {
		t.Fatalf("%d blocks, %.1f bytes a block", x.Blocks(), used/blocks)
	}
	t.Logf("%.1f bytes a block", used/blocks)
}

// TestSlopes prints the index's cost at three sizes under -slopes.
func TestSlopes(t *testing.T) {
	if !*slopes {
		t.Skip("needs -slopes")
	}
	for _, blocks := range []int{10_000, 50_000, 170_000} {
		if err := slope.Print(os.Stdout, measure(blocks)); err != nil {
			t.Fatal(err)
		}
	}
}

// measure returns the cost of an index that takes 2,000 events a second.
func measure(blocks int) slope.Point {
	const events, perSecond = 400_000, 2_000
	empty := heap()
	x, hashes := filled(blocks)
	used := heap() - empty - uint64(8*blocks)
	sequence := uint64(blocks)
	before := slope.Read()
	for i := range events / 2 {
		hash := hashes[i%blocks]
		x.table(hash).set(hash, 0)
		sequence += 2
		x.Apply(event(sequence-1, engine.CacheEvicted, hash))
		x.Apply(event(sequence, engine.CacheStored, hash))
	}
	perEvent := float64((slope.Read().CPU - before.CPU).Microseconds()) / events
	return slope.Point{
		Name:               "placement.cache_index",
		Size:               float64(blocks),
		Unit:               "blocks, at 2,000 events a second",
		CPUMicrosPerSecond: perEvent * perSecond,
		HeapBytes:          float64(used),
	}
}

func BenchmarkApply(b *testing.B) {
	x, hashes := filled(170_000)
	sequence := uint64(len(hashes))
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		sequence++
		x.Apply(event(sequence, engine.CacheStored, hashes[i%len(hashes)]))
	}
}

func BenchmarkCached(b *testing.B) {
	x, hashes := filled(170_000)
	b.ReportAllocs()
	for i := 0; b.Loop(); i += 16 {
		x.Cached(hashes[i%(len(hashes)-16):][:16])
	}
}
