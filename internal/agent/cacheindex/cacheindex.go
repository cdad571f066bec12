// Package cacheindex estimates which blocks are in the cache of the engine
// beside the agent.
//
// The engine's cache events come late and with gaps, so the index also learns
// from the agent's own dispatches and from the cached tokens that the engine
// reports for each of them. It is an estimate for placement: what a request may
// reuse is decided by the engine alone.
package cacheindex

import (
	"sync"
	"time"

	"github.com/greengagegate/greengagegate/internal/engine"
	"github.com/greengagegate/greengagegate/internal/metrics"
)

const (
	ticksPerSecond = 16

	// lateness is how late an event may be. An eviction reported within this time
	// of a block's use is taken for one from before the use.
	lateness = time.Second

	// defaultIdle is how long a block is believed to stay unused in a cache, until
	// evictions have been seen.
	defaultIdle = 30 * time.Second
	// idleMargin stretches the observed idle time of evicted blocks.
	idleMargin = 1.25
	// idleDecay pulls the observed idle time towards the latest one.
	idleDecay = 0.02
)

var (
	eventsApplied = metrics.Counter("agent.cache_events")
	eventsLost    = metrics.Counter("agent.cache_events_lost")
	indexBlocks   = metrics.Gauge("agent.cache_index_blocks")
)

// Index is the estimate of one engine's cache. It is safe for concurrent use.
type Index struct {
	mu          sync.Mutex
	start       time.Time
	tables      [shards]table
	blocks      int
	incarnation uint64
	sequence    uint64
	// gapTick is when events were last found missing. Entries from before it may
	// have been evicted without notice.
	gapTick uint32
	// idle is how long unused blocks are seen to stay.
	idle time.Duration
}

// New returns an empty index.
func New() *Index {
	return &Index{start: time.Now(), idle: defaultIdle}
}

// tick returns the present time; it is never zero.
func (x *Index) tick() uint32 {
	return uint32(time.Since(x.start)*ticksPerSecond/time.Second) + 1
}

func ticks(d time.Duration) uint32 { return uint32(d * ticksPerSecond / time.Second) }

func (x *Index) table(hash uint64) *table { return &x.tables[hash>>(64-shardBits)] }

// Apply takes in an event of the engine. A jump in sequence numbers makes what
// is older uncertain; a new incarnation empties the index.
func (x *Index) Apply(event engine.CacheEvent) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if event.Incarnation < x.incarnation {
		return
	}
	if event.Incarnation > x.incarnation {
		x.reset(event.Incarnation)
	}
	if event.Sequence <= x.sequence {
		return
	}
	now := x.tick()
	if lost := event.Sequence - x.sequence - 1; lost > 0 && x.sequence > 0 {
		x.gapTick = now
		eventsLost.Inc(int64(lost))
	}
	x.sequence = event.Sequence
	eventsApplied.Inc(1)
	switch event.Kind {
	case engine.CacheStored:
		x.put(event.Hashes, now)
	case engine.CacheEvicted:
		x.evict(event.Hashes, now)
	case engine.CacheCleared:
		x.clear()
	}
	indexBlocks.Update(int64(x.blocks))
}

// Sequence returns the incarnation and the last sequence number applied, for
// resuming the engine's event stream.
func (x *Index) Sequence() (incarnation, sequence uint64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.incarnation, x.sequence
}

// Observe notes the engine's incarnation from a load report. A new one empties the index.
func (x *Index) Observe(incarnation uint64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if incarnation > x.incarnation {
		x.reset(incarnation)
	}
}

// Promised takes in the blocks of a request that waits for its turn, which will
// be cached by the time that a later request is computed. Missing withdraws
// those that did not come about.
func (x *Index) Promised(incarnation uint64, hashes []uint64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if incarnation == x.incarnation {
		x.put(hashes, x.tick())
	}
}

// Started takes in that the engine began a request: its blocks are cached or
// about to be.
func (x *Index) Started(incarnation uint64, hashes []uint64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if incarnation < x.incarnation {
		return
	}
	if incarnation > x.incarnation {
		x.reset(incarnation)
	}
	x.put(hashes, x.tick())
}

// Missing removes the blocks of a request that was not computed, after the
// leading ones that are known to be cached.
func (x *Index) Missing(incarnation uint64, hashes []uint64, cached int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if incarnation != x.incarnation || cached >= len(hashes) {
		return
	}
	for _, hash := range hashes[max(0, cached):] {
		x.drop(hash)
	}
}

// Cached returns how many leading blocks of hashes are believed to be cached,
// and the incarnation of the engine that holds them.
func (x *Index) Cached(hashes []uint64) (blocks int, incarnation uint64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.leading(hashes, x.tick()), x.incarnation
}

// Blocks returns the number of blocks held.
func (x *Index) Blocks() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.blocks
}

// Clear empties the index, as when the engine has changed weights.
func (x *Index) Clear() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.clear()
}

func (x *Index) reset(incarnation uint64) {
	x.clear()
	x.incarnation = incarnation
	x.sequence = 0
	x.gapTick = 0
}

func (x *Index) clear() {
	x.tables = [shards]table{}
	x.blocks = 0
}

func (x *Index) put(hashes []uint64, now uint32) {
	for _, hash := range hashes {
		t := x.table(hash)
		before := t.used
		t.set(hash, now)
		x.blocks += t.used - before
	}
}

func (x *Index) drop(hash uint64) {
	t := x.table(hash)
	if i := t.find(hash); i >= 0 {
		t.remove(i)
		x.blocks--
		t.trim()
	}
}

func (x *Index) evict(hashes []uint64, now uint32) {
	for _, hash := range hashes {
		t := x.table(hash)
		i := t.find(hash)
		if i < 0 {
			continue
		}
		age := now - t.ticks[i]
		if age < ticks(lateness) {
			continue
		}
		x.learnIdle(time.Duration(age) * time.Second / ticksPerSecond)
		t.remove(i)
		x.blocks--
		t.trim()
	}
}

// learnIdle follows the longest idle times of evicted blocks.
func (x *Index) learnIdle(age time.Duration) {
	if age > x.idle || x.idle == defaultIdle {
		x.idle = age
		return
	}
	x.idle -= time.Duration(float64(x.idle-age) * idleDecay)
}

func (x *Index) leading(hashes []uint64, now uint32) int {
	limit := ticks(time.Duration(float64(x.idle) * idleMargin))
	for n, hash := range hashes {
		t := x.table(hash)
		i := t.find(hash)
		if i < 0 || x.expired(t.ticks[i], now, limit) {
			return n
		}
	}
	return len(hashes)
}

// expired reports whether an entry is too old to be believed: its eviction may
// have been among the events that were lost.
func (x *Index) expired(tick, now, limit uint32) bool {
	return tick <= x.gapTick && now-tick > limit
}

// Sweep removes entries that are no longer believed. It is called every few seconds.
func (x *Index) Sweep() {
	x.mu.Lock()
	defer x.mu.Unlock()
	now := x.tick()
	limit := ticks(time.Duration(float64(x.idle) * idleMargin))
	for s := range x.tables {
		t := &x.tables[s]
		for i := 0; i < len(t.hashes); {
			if t.hashes[i] != 0 && x.expired(t.ticks[i], now, limit) {
				t.remove(i)
				x.blocks--
				continue
			}
			i++
		}
		t.trim()
	}
	indexBlocks.Update(int64(x.blocks))
}
