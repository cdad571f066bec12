package cacheindex

import (
	"encoding/json"
	"flag"
	"math/rand/v2"
	"os"
	"runtime"
	"syscall"
	"testing"
	"time"

	"github.com/greengagegate/greengagegate/internal/engine"
)

var slopes = flag.Bool("slopes", false, "print what the index costs at several sizes as JSON lines")

// slope is one line of the capacity figures.
type slope struct {
	Name        string  `json:"name"`
	Size        int     `json:"size"`
	BytesPerS   float64 `json:"bytes_per_s"`
	CPUUsPerS   float64 `json:"cpu_us_per_s"`
	HeapBytes   uint64  `json:"heap_bytes"`
	PerBlock    float64 `json:"heap_bytes_per_block"`
	UsPerEvent  float64 `json:"cpu_us_per_event"`
	EventsPerS  int     `json:"events_per_s"`
	HashesEvent int     `json:"hashes_per_event"`
}

func heap() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

func cpuTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
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
		if err := json.NewEncoder(os.Stdout).Encode(measure(blocks)); err != nil {
			t.Fatal(err)
		}
	}
}

func measure(blocks int) slope {
	const events, perSecond = 400_000, 2_000
	before := heap()
	x, hashes := filled(blocks)
	used := heap() - before - uint64(8*blocks)
	sequence := uint64(blocks)
	began := cpuTime()
	for i := range events / 2 {
		hash := hashes[i%blocks]
		x.tables[hash>>(64-shardBits)].set(hash, 0)
		sequence += 2
		x.Apply(event(sequence-1, engine.CacheEvicted, hash))
		x.Apply(event(sequence, engine.CacheStored, hash))
	}
	perEvent := float64((cpuTime() - began).Microseconds()) / events
	return slope{
		Name: "cache index", Size: blocks, HeapBytes: used, PerBlock: float64(used) / float64(blocks),
		UsPerEvent: perEvent, EventsPerS: perSecond, CPUUsPerS: perEvent * perSecond, HashesEvent: 1,
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
