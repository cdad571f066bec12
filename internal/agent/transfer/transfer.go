// Package transfer copies cache blocks between the engine beside the agent and
// the KV store that all engines share.
//
// The store's bandwidth is shared, so each copy is timed, and what it waited for
// others decides whether further copies are worth their while.
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
	// minImportBlocks is the least number of blocks that is worth a copy.
	minImportBlocks = 1
	storedTimeout   = 8 * time.Millisecond
	// sharedBlocks is the length from which a cached prefix is taken for the part
	// of a prompt that others share.
	sharedBlocks  = 8
	importTimeout = 3 * time.Second
	exportTimeout = 5 * time.Second
	// maxExportWait is the wait for the store above which nothing is exported.
	maxExportWait = 60 * time.Millisecond
	exportQueue   = 8
	// exportChunk is the number of blocks exported at once, so that imports need
	// not wait long behind them.
	exportChunk = 2
	// exportPause is the pause after a chunk, as a multiple of the time it took. It
	// bounds what all agents together put on the store: the longer it takes, the
	// less often each of them comes.
	exportPause = 5
)

var (
	imported       = metrics.Counter("agent.imported_blocks")
	importFailures = metrics.Counter("agent.import_failures")
	exported       = metrics.Counter("agent.exported_blocks")
	exportsSkipped = metrics.Counter("agent.exports_skipped")
)

// errEvicted reports that the engine no longer holds what was to be exported.
var errEvicted = errors.New("blocks were evicted")

// Options are a Manager's parts.
type Options struct {
	Driver engine.Driver
	// BlockTokens returns the size of a block, 0 when unknown.
	BlockTokens func() int64
	Log         zerolog.Logger
}

// Manager copies blocks. It is safe for concurrent use.
type Manager struct {
	options Options
	exports chan export

	mu    sync.Mutex
	speed speed
	wants wants
	stock stock
}

// export is a prefix to copy to the KV store.
type export struct {
	salt   uint64
	hashes []uint64
}

// New returns a Manager whose exports are made by Run.
func New(options Options) *Manager {
	return &Manager{
		options: options,
		exports: make(chan export, exportQueue),
		speed:   newSpeed(),
		wants:   newWants(),
		stock:   newStock(),
	}
}

// Importable returns how many leading blocks of hashes the KV store holds, 0
// when it does not answer at once, and the speed at which those after the
// cached ones would come, in tokens a second.
func (m *Manager) Importable(ctx context.Context, salt uint64, hashes []uint64, cached int) (blocks int, rate float64) {
	if len(hashes)-cached < minImportBlocks || m.ownPart(hashes, cached) {
		return 0, 0
	}
	blocks, err := m.stored(ctx, salt, hashes)
	if err != nil || blocks-cached < minImportBlocks {
		return 0, 0
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return blocks, m.speed.rateFor(float64(int64(blocks-cached)*m.options.BlockTokens()), time.Now())
}

// stored returns how many leading blocks the KV store holds. It asks the engine
// only when that does not follow from its recent answers.
func (m *Manager) stored(ctx context.Context, salt uint64, hashes []uint64) (int, error) {
	m.mu.Lock()
	blocks, known := m.stock.leading(hashes, time.Now())
	m.mu.Unlock()
	if known {
		return blocks, nil
	}
	ctx, cancel := context.WithTimeout(ctx, storedTimeout)
	defer cancel()
	blocks, err := m.options.Driver.Stored(ctx, salt, hashes)
	if err != nil {
		return 0, err
	}
	m.noteStored(hashes, blocks)
	return blocks, nil
}

// ownPart reports whether what is missing is a prompt's own part, which no store
// holds: the shared part is cached and nobody asked for the next block before.
func (m *Manager) ownPart(hashes []uint64, cached int) bool {
	if cached < sharedBlocks {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.wants.fresh(hashes[cached], time.Now())
}

// Import copies the stored blocks of hashes into the engine's cache and returns
// how many leading ones it then holds. It blocks for the copy; cached is the
// number of blocks that need none.
func (m *Manager) Import(ctx context.Context, salt uint64, hashes []uint64, cached int) int {
	ctx, cancel := context.WithTimeout(ctx, importTimeout)
	defer cancel()
	began := time.Now()
	done, err := m.options.Driver.Import(ctx, salt, hashes)
	if err != nil {
		importFailures.Inc(1)
		m.options.Log.Debug().Err(err).Msg("transfer: import failed")
		return cached
	}
	if copied := done.Blocks - cached; copied > 0 {
		imported.Inc(int64(copied))
		m.observe(copied, time.Since(began))
	}
	return min(done.Blocks, len(hashes))
}

func (m *Manager) noteStored(hashes []uint64, blocks int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stock.note(hashes, blocks, time.Now())
}

func (m *Manager) observe(blocks int, took time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.speed.observe(float64(int64(blocks)*m.options.BlockTokens()), took, time.Now())
}

// Wanted says that a router asked about a prompt.
func (m *Manager) Wanted(hashes []uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.wants.note(hashes, time.Now())
}

// Served says that the engine has computed a prompt. Its leading blocks that
// were asked for twice within a short time are copied to the KV store later,
// when the store is not busy.
func (m *Manager) Served(salt uint64, hashes []uint64) {
	m.mu.Lock()
	now := time.Now()
	again := m.wants.again(hashes, now)
	busy := m.speed.waitNow(now) > maxExportWait
	known := m.wants.exported(hashes[:again], now)
	m.mu.Unlock()
	if again == 0 || known {
		return
	}
	if busy {
		exportsSkipped.Inc(1)
		return
	}
	select {
	case m.exports <- export{salt: salt, hashes: hashes[:again]}:
	default:
		exportsSkipped.Inc(1)
	}
}

// Run makes the exports until ctx ends.
func (m *Manager) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-m.exports:
			m.export(ctx, e)
		}
	}
}

// export copies a prefix in chunks and gives up when the store has become busy.
func (m *Manager) export(ctx context.Context, e export) {
	stored, err := m.options.Driver.Stored(ctx, e.salt, e.hashes)
	for err == nil && stored < len(e.hashes) && ctx.Err() == nil {
		end := min(len(e.hashes), stored+exportChunk)
		stored, err = m.exportChunk(ctx, e.salt, e.hashes[:end], stored)
	}
	if err != nil {
		m.options.Log.Debug().Err(err).Msg("transfer: export ended early")
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.wants.markExported(e.hashes[:min(stored, len(e.hashes))], time.Now())
}

// exportChunk copies the blocks after the stored ones and pauses. It returns the
// number of leading blocks that the store then holds.
func (m *Manager) exportChunk(ctx context.Context, salt uint64, hashes []uint64, stored int) (int, error) {
	began := time.Now()
	copyCtx, cancel := context.WithTimeout(ctx, exportTimeout)
	defer cancel()
	done, err := m.options.Driver.Export(copyCtx, salt, hashes)
	if err != nil {
		return stored, err
	}
	if done.Blocks <= stored {
		return stored, errEvicted
	}
	took := time.Since(began)
	exported.Inc(int64(done.Blocks - stored))
	m.observe(done.Blocks-stored, took)
	m.noteStored(hashes, done.Blocks)
	_ = pause.For(ctx, exportPause*took)
	return done.Blocks, nil
}
