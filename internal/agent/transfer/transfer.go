// Package transfer copies cache blocks between the agent's engine and the cache
// store that all engines share.
//
// The store's bandwidth is shared, so each copy is timed, and the estimated wait for
// other copies decides whether a further copy is worthwhile.
package transfer

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/greengagegate/greengagegate/internal/engine"
	"github.com/greengagegate/greengagegate/internal/metrics"
	"github.com/greengagegate/greengagegate/internal/pause"
	"github.com/rs/zerolog"
)

const (
	// minImportBlocks is the smallest number of blocks that is worth a copy: any block is.
	minImportBlocks = 1
	// lookupTimeout bounds a lookup in the cache store while a router waits for the answer.
	lookupTimeout = 8 * time.Millisecond
	// minSharedBlocks is a length in blocks. A cached prefix of this length or longer is
	// assumed to end where the prompt stops being shared with other prompts.
	minSharedBlocks = 8
	importTimeout   = 3 * time.Second
	exportTimeout   = 5 * time.Second
	// maxExportWait is the expected wait for the store above which exports are skipped.
	maxExportWait     = 60 * time.Millisecond
	exportQueueLength = 8
	// exportChunkBlocks is the number of blocks exported at once. It is small so that
	// imports do not wait long behind an export.
	exportChunkBlocks = 2
	// exportPauseFactor is the length of the pause after each chunk, as a multiple of the
	// time that the chunk took. It bounds the load of all agents together on the store:
	// the slower the store is, the less often each agent exports.
	exportPauseFactor = 5
)

var (
	importedBlocks = metrics.Counter("agent.imported_blocks")
	importFailures = metrics.Counter("agent.import_failures")
	exportedBlocks = metrics.Counter("agent.exported_blocks")
	exportsSkipped = metrics.Counter("agent.exports_skipped")
)

// errEvicted reports that the engine no longer holds the blocks to export.
var errEvicted = errors.New("blocks were evicted")

// Options are the dependencies of a Manager.
type Options struct {
	Driver engine.Driver
	// BlockTokens returns the size of a block in tokens, 0 when unknown.
	BlockTokens func() int64
	Log         zerolog.Logger
}

// Manager imports and exports blocks. It is safe for concurrent use.
type Manager struct {
	options Options
	exports chan exportTask

	mu      sync.Mutex
	rates   rateEstimator
	history blockHistory
	lookups lookupCache
}

// exportTask is a prefix to copy to the cache store.
type exportTask struct {
	salt   uint64
	hashes []uint64
}

// New returns a Manager. Exports are made only while Run runs.
func New(options Options) *Manager {
	return &Manager{
		options: options,
		exports: make(chan exportTask, exportQueueLength),
		rates:   newRateEstimator(),
		history: newBlockHistory(),
		lookups: newLookupCache(),
	}
}

// ImportableBlocks returns how many leading blocks of hashes the cache store holds,
// and the rate, in tokens per second, at which the blocks after the first cached
// ones would be copied. blocks counts the cached ones too. It returns 0 for both
// when the store holds no more than the cached blocks, when it does not answer
// within lookupTimeout, or when the missing blocks are probably not shared with
// other prompts. salt is the placement.ChainRoot that the hashes start from, and cached
// is the number of leading blocks in the engine's cache.
func (m *Manager) ImportableBlocks(ctx context.Context, salt uint64, hashes []uint64, cached int) (blocks int, rate float64) {
	if len(hashes)-cached < minImportBlocks || m.isMissingPartProbablyUnshared(hashes, cached) {
		return 0, 0
	}
	blocks, err := m.lookUpStored(ctx, salt, hashes)
	if err != nil || blocks-cached < minImportBlocks {
		return 0, 0
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return blocks, m.rates.effectiveRate(float64(int64(blocks-cached)*m.options.BlockTokens()), time.Now())
}

// lookUpStored returns how many leading blocks the cache store holds. It asks the engine
// only when recent answers do not determine the number.
func (m *Manager) lookUpStored(ctx context.Context, salt uint64, hashes []uint64) (int, error) {
	m.mu.Lock()
	blocks, known := m.lookups.leadingBlocks(hashes, time.Now())
	m.mu.Unlock()
	if known {
		return blocks, nil
	}
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	blocks, err := m.options.Driver.Stored(ctx, salt, hashes)
	if err != nil {
		return 0, err
	}
	m.recordStored(hashes, blocks)
	return blocks, nil
}

// isMissingPartProbablyUnshared reports whether the cached prefix has at least
// minSharedBlocks blocks and the next block was probed at most once within repeatWindow.
// The blocks that are not cached then probably belong to one prompt only, and the store
// lacks them.
func (m *Manager) isMissingPartProbablyUnshared(hashes []uint64, cached int) bool {
	if cached < minSharedBlocks {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.history.wasProbedAtMostOnce(hashes[cached], time.Now())
}

// Import copies the stored blocks of hashes into the engine's cache and returns how
// many leading blocks the cache then holds. It blocks until the copy ends. cached is
// the number of leading blocks already in the cache, which it returns on failure.
func (m *Manager) Import(ctx context.Context, salt uint64, hashes []uint64, cached int) int {
	ctx, cancel := context.WithTimeout(ctx, importTimeout)
	defer cancel()
	startedAt := time.Now()
	result, err := m.options.Driver.Import(ctx, salt, hashes)
	if err != nil {
		importFailures.Inc(1)
		m.options.Log.Debug().Err(err).Msg("transfer: import from the cache store failed; the engine computes the blocks")
		return cached
	}
	if copied := result.Blocks - cached; copied > 0 {
		importedBlocks.Inc(int64(copied))
		m.recordCopy(copied, time.Since(startedAt))
	}
	return min(result.Blocks, len(hashes))
}

func (m *Manager) recordStored(hashes []uint64, blocks int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lookups.record(hashes, blocks, time.Now())
}

func (m *Manager) recordCopy(blocks int, took time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.rates.observe(float64(int64(blocks)*m.options.BlockTokens()), took, time.Now())
}

// RecordProbe records that a router sent a probe for a prompt.
func (m *Manager) RecordProbe(hashes []uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.history.recordProbe(hashes, time.Now())
}

// RecordPrefill records that the engine has computed a prompt. It queues an export of
// the leading blocks that were probed twice within repeatWindow, unless the store is
// busy, the queue is full or the blocks were known to be in the store within exportTTL.
func (m *Manager) RecordPrefill(salt uint64, hashes []uint64) {
	m.mu.Lock()
	now := time.Now()
	repeated := m.history.repeatedBlocks(hashes, now)
	busy := m.rates.expectedCopyWait(now) > maxExportWait
	inStore := m.history.allExported(hashes[:repeated], now)
	m.mu.Unlock()
	if repeated == 0 || inStore {
		return
	}
	if busy {
		exportsSkipped.Inc(1)
		return
	}
	select {
	case m.exports <- exportTask{salt: salt, hashes: hashes[:repeated]}:
	default:
		exportsSkipped.Inc(1)
	}
}

// Run makes the queued exports until ctx ends.
func (m *Manager) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case task := <-m.exports:
			m.export(ctx, task)
		}
	}
}

// export copies a prefix in chunks. It stops at the first error, for example when the
// blocks were evicted.
func (m *Manager) export(ctx context.Context, task exportTask) {
	stored, err := m.options.Driver.Stored(ctx, task.salt, task.hashes)
	for err == nil && stored < len(task.hashes) && ctx.Err() == nil {
		end := min(len(task.hashes), stored+exportChunkBlocks)
		stored, err = m.exportChunk(ctx, task.salt, task.hashes[:end], stored)
	}
	if err != nil {
		m.options.Log.Debug().Err(err).Msg("transfer: export to the cache store failed; the remaining blocks are not exported")
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.history.markExported(task.hashes[:min(stored, len(task.hashes))], time.Now())
}

// exportChunk copies the blocks after the stored ones and pauses. It returns the
// number of leading blocks that the store then holds.
func (m *Manager) exportChunk(ctx context.Context, salt uint64, hashes []uint64, stored int) (int, error) {
	startedAt := time.Now()
	copyCtx, cancel := context.WithTimeout(ctx, exportTimeout)
	defer cancel()
	result, err := m.options.Driver.Export(copyCtx, salt, hashes)
	if err != nil {
		return stored, err
	}
	if result.Blocks <= stored {
		return stored, errEvicted
	}
	took := time.Since(startedAt)
	exportedBlocks.Inc(int64(result.Blocks - stored))
	m.recordCopy(result.Blocks-stored, took)
	m.recordStored(hashes, result.Blocks)
	_ = pause.For(ctx, exportPauseFactor*took)
	return result.Blocks, nil
}
