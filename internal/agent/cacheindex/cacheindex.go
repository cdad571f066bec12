// Package cacheindex estimates which blocks are in the cache of the agent's
// engine.
//
// The engine's cache events arrive late and with gaps. The index therefore also
// uses the requests that the agent sends to the engine. For a run that ended before
// its first token it also uses the number of cached tokens that the engine
// reported. The estimate serves placement only; the engine alone decides what a
// request reuses.
package cacheindex

import (
	"sync"
	"time"

	"github.com/greengagegate/greengagegate/internal/engine"
	"github.com/greengagegate/greengagegate/internal/metrics"
)

const (
	// ticksPerSecond is the resolution of the times of last use.
	ticksPerSecond = 16

	// maxEventDelay is the maximum assumed delay of an event. An eviction event that
	// arrives within this time after a use of the block is assumed to precede the
	// use and is ignored.
	maxEventDelay = time.Second

	// defaultIdleTime is the assumed time for which an unused block stays in the
	// cache, until an eviction has been observed.
	defaultIdleTime = 30 * time.Second
	// idleTimeMargin is the safety factor on the observed idle time of evicted blocks.
	idleTimeMargin = 1.25
	// idleTimeSmoothing is the weight of a new, shorter idle time in the moving average.
	idleTimeSmoothing = 0.02
)

var (
	eventsApplied = metrics.Counter("agent.cache_events")
	eventsMissed  = metrics.Counter("agent.cache_events_lost")
	indexBlocks   = metrics.Gauge("agent.cache_index_blocks")
)

// Index estimates the cache content of one engine. It is safe for concurrent use.
type Index struct {
	mu          sync.Mutex
	start       time.Time
	tables      [tableCount]table
	blocks      int
	incarnation uint64
	// sequence is the last sequence number applied in the incarnation, or zero.
	sequence uint64
	// gapTick is the tick at which missing events were last detected, or zero.
	// Entries last used at or before it may have been evicted without an event.
	gapTick uint32
	// idleTime is the estimated time for which unused blocks stay in the cache.
	idleTime time.Duration
}

// New returns an empty index.
func New() *Index {
	return &Index{start: time.Now(), idleTime: defaultIdleTime}
}

// currentTick returns the time since the creation of the index in ticks. It is
// never zero, because a zero gapTick means that no gap has been detected.
func (x *Index) currentTick() uint32 {
	return uint32(time.Since(x.start)*ticksPerSecond/time.Second) + 1
}

// durationTicks converts a duration to ticks, rounded down.
func durationTicks(d time.Duration) uint32 { return uint32(d * ticksPerSecond / time.Second) }

// tableFor returns the table that holds hash.
func (x *Index) tableFor(hash uint64) *table { return &x.tables[hash>>(64-tableBits)] }

// Apply applies a cache event of the engine. Events of earlier incarnations and
// events that have already been applied are ignored. After a gap in the sequence
// numbers, entries last used before the gap expire when they are unused for the
// estimated idle time and its margin. A new incarnation empties the index.
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
	now := x.currentTick()
	if missed := event.Sequence - x.sequence - 1; missed > 0 && x.sequence > 0 {
		x.gapTick = now
		eventsMissed.Inc(int64(missed))
	}
	x.sequence = event.Sequence
	eventsApplied.Inc(1)
	switch event.Kind {
	case engine.CacheStored:
		x.addBlocks(event.Hashes, now)
	case engine.CacheEvicted:
		x.evictBlocks(event.Hashes, now)
	case engine.CacheCleared:
		x.clear()
	}
	indexBlocks.Update(int64(x.blocks))
}

// LastApplied returns the incarnation and the last sequence number applied, for
// resuming the engine's event stream.
func (x *Index) LastApplied() (incarnation, sequence uint64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.incarnation, x.sequence
}

// SetIncarnation records the engine's incarnation from a load report. A new incarnation
// empties the index.
func (x *Index) SetIncarnation(incarnation uint64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if incarnation > x.incarnation {
		x.reset(incarnation)
	}
}

// AddPromised adds the blocks of a queued request. They will be cached by the time
// the engine computes a later request. RemoveUncomputed removes them again if the request
// is not computed. Blocks for another incarnation are ignored.
func (x *Index) AddPromised(incarnation uint64, hashes []uint64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if incarnation == x.incarnation {
		x.addBlocks(hashes, x.currentTick())
	}
}

// AddStarted adds the blocks of a request that the engine has begun: they are cached
// or will be shortly. A new incarnation empties the index first; an earlier one is
// ignored.
func (x *Index) AddStarted(incarnation uint64, hashes []uint64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if incarnation < x.incarnation {
		return
	}
	if incarnation > x.incarnation {
		x.reset(incarnation)
	}
	x.addBlocks(hashes, x.currentTick())
}

// RemoveUncomputed removes hashes[cached:], the blocks that a request did not add
// because it was not computed. The first blocks, cached in number, are known to be
// in the cache. Blocks for another incarnation are ignored.
func (x *Index) RemoveUncomputed(incarnation uint64, hashes []uint64, cached int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if incarnation != x.incarnation || cached >= len(hashes) {
		return
	}
	for _, hash := range hashes[max(0, cached):] {
		x.removeBlock(hash)
	}
}

// CachedPrefix returns the estimated number of leading blocks of hashes in the cache, and
// the incarnation of the engine that holds them.
func (x *Index) CachedPrefix(hashes []uint64) (blocks int, incarnation uint64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.countLeading(hashes, x.currentTick()), x.incarnation
}

// Blocks returns the number of blocks in the index.
func (x *Index) Blocks() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.blocks
}

// Clear empties the index, for example after the engine has changed weights.
func (x *Index) Clear() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.clear()
}

// reset empties the index for a new incarnation, whose sequence numbers start
// again. It must be called with mu held.
func (x *Index) reset(incarnation uint64) {
	x.clear()
	x.incarnation = incarnation
	x.sequence = 0
	x.gapTick = 0
}

// clear removes all blocks and keeps the incarnation. It must be called with mu held.
func (x *Index) clear() {
	x.tables = [tableCount]table{}
	x.blocks = 0
}

// addBlocks adds blocks or refreshes their ticks. It must be called with mu held.
func (x *Index) addBlocks(hashes []uint64, now uint32) {
	for _, hash := range hashes {
		t := x.tableFor(hash)
		previousCount := t.count
		t.set(hash, now)
		x.blocks += t.count - previousCount
	}
}

// removeBlock removes a block if the index holds it. It must be called with mu held.
func (x *Index) removeBlock(hash uint64) {
	t := x.tableFor(hash)
	if i := t.find(hash); i >= 0 {
		t.remove(i)
		x.blocks--
		t.shrink()
	}
}

// evictBlocks removes evicted blocks, except for those used within maxEventDelay,
// and updates the idle time. It must be called with mu held.
func (x *Index) evictBlocks(hashes []uint64, now uint32) {
	for _, hash := range hashes {
		t := x.tableFor(hash)
		i := t.find(hash)
		if i < 0 {
			continue
		}
		age := now - t.ticks[i]
		if age < durationTicks(maxEventDelay) {
			continue
		}
		x.updateIdleTime(time.Duration(age) * time.Second / ticksPerSecond)
		t.remove(i)
		x.blocks--
		t.shrink()
	}
}

// updateIdleTime updates the idle time with that of an evicted block. The first one
// replaces defaultIdleTime, whether it is longer or shorter. After that the estimate
// rises to a longer idle time at once and falls slowly towards shorter ones, so
// that it follows the longest idle times. It must be called with mu held.
func (x *Index) updateIdleTime(age time.Duration) {
	if age > x.idleTime || x.idleTime == defaultIdleTime {
		x.idleTime = age
		return
	}
	x.idleTime -= time.Duration(float64(x.idleTime-age) * idleTimeSmoothing)
}

// countLeading returns the number of leading hashes that the index holds and that
// have not expired. It must be called with mu held.
func (x *Index) countLeading(hashes []uint64, now uint32) int {
	idleLimit := durationTicks(time.Duration(float64(x.idleTime) * idleTimeMargin))
	for n, hash := range hashes {
		t := x.tableFor(hash)
		i := t.find(hash)
		if i < 0 || x.isExpired(t.ticks[i], now, idleLimit) {
			return n
		}
	}
	return len(hashes)
}

// isExpired reports whether an entry precedes the last gap and has been idle for
// longer than idleLimit, both in ticks. Its eviction was then probably among the
// missed events. It must be called with mu held.
func (x *Index) isExpired(tick, now, idleLimit uint32) bool {
	return tick <= x.gapTick && now-tick > idleLimit
}

// Sweep removes expired entries. Follow calls it every sweepInterval.
func (x *Index) Sweep() {
	x.mu.Lock()
	defer x.mu.Unlock()
	now := x.currentTick()
	idleLimit := durationTicks(time.Duration(float64(x.idleTime) * idleTimeMargin))
	for s := range x.tables {
		t := &x.tables[s]
		for i := 0; i < len(t.hashes); {
			if t.hashes[i] != 0 && x.isExpired(t.ticks[i], now, idleLimit) {
				t.remove(i)
				x.blocks--
				continue
			}
			i++
		}
		t.shrink()
	}
	indexBlocks.Update(int64(x.blocks))
}
