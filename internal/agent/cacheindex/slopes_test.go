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

// slopesFlag selects the tests that print slopes: costs in relation to size.
var slopesFlag = flag.Bool("slopes", false, "print the costs of the index at several sizes as JSON lines")

// heapBytes returns the live heap after garbage collection.
func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// newFilledIndex returns an index with the given number of random blocks, and
// their hashes.
func newFilledIndex(blocks int) (*Index, []uint64) {
	rnd := rand.New(rand.NewPCG(1, 1))
	hashes := make([]uint64, blocks)
	x := New()
	for i := range hashes {
		hashes[i] = rnd.Uint64()
		x.Apply(newEvent(uint64(i)+1, engine.CacheStored, hashes[i]))
	}
	return x, hashes
}

// TestIndexMemoryPerBlock checks that an index of 170,000 blocks takes at most 24
// bytes per block.
func TestIndexMemoryPerBlock(t *testing.T) {
	const blocks, maxBytes = 170_000, 24
	initialHeap := heapBytes()
	x, hashes := newFilledIndex(blocks)
	indexBytes := float64(heapBytes()-initialHeap) - 8*blocks
	runtime.KeepAlive(hashes)
	if x.Blocks() != blocks || indexBytes/blocks > maxBytes {
		t.Fatalf("index holds %d blocks at %.1f bytes per block", x.Blocks(), indexBytes/blocks)
	}
	t.Logf("%.1f bytes per block", indexBytes/blocks)
}

// TestSlopes prints the costs of the index at three sizes. It runs only with
// -slopes.
func TestSlopes(t *testing.T) {
	if !*slopesFlag {
		t.Skip("run with -slopes")
	}
	for _, blocks := range []int{10_000, 50_000, 170_000} {
		if err := slope.Print(os.Stdout, measureIndex(blocks)); err != nil {
			t.Fatal(err)
		}
	}
}

// measureIndex returns the costs of an index that applies 2,000 events per second.
func measureIndex(blocks int) slope.Point {
	const events, eventsPerSecond = 400_000, 2_000
	initialHeap := heapBytes()
	x, hashes := newFilledIndex(blocks)
	indexBytes := heapBytes() - initialHeap - uint64(8*blocks)
	sequence := uint64(blocks)
	startUsage := slope.Read()
	for i := range events / 2 {
		hash := hashes[i%blocks]
		x.tableFor(hash).set(hash, 0)
		sequence += 2
		x.Apply(newEvent(sequence-1, engine.CacheEvicted, hash))
		x.Apply(newEvent(sequence, engine.CacheStored, hash))
	}
	perEvent := float64((slope.Read().CPU - startUsage.CPU).Microseconds()) / events
	return slope.Point{
		Name:               "placement.cache_index",
		Size:               float64(blocks),
		Unit:               "blocks, at 2,000 events a second",
		CPUMicrosPerSecond: perEvent * eventsPerSecond,
		HeapBytes:          float64(indexBytes),
	}
}

func BenchmarkApply(b *testing.B) {
	x, hashes := newFilledIndex(170_000)
	sequence := uint64(len(hashes))
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		sequence++
		x.Apply(newEvent(sequence, engine.CacheStored, hashes[i%len(hashes)]))
	}
}

func BenchmarkCached(b *testing.B) {
	x, hashes := newFilledIndex(170_000)
	b.ReportAllocs()
	for i := 0; b.Loop(); i += 16 {
		x.CachedPrefix(hashes[i%(len(hashes)-16):][:16])
	}
}
