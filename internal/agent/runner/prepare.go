package runner

import (
	"context"
	"time"

	"github.com/greengagegate/greengagegate/internal/agent/cacheindex"
	"github.com/greengagegate/greengagegate/internal/wire/wirepb"
)

const (
	// importWaitRatio bounds how long a request waits for an import while it occupies its
	// place at the engine, as a fraction of the time to compute the blocks instead.
	importWaitRatio = 0.6
	// minImportWait is the lower bound of that wait.
	minImportWait = 50 * time.Millisecond
)

// Transfers copies blocks between the engine and the cache store.
type Transfers interface {
	// ImportableBlocks returns how many leading blocks of hashes the cache store
	// holds, the cached ones included, and the rate, in tokens per second, at which
	// the blocks after the cached ones would be copied. Both are 0 if an import is
	// not possible or not worthwhile, or if the store does not answer in time. salt
	// is the placement.ChainRoot that the hashes start from, and cached is the
	// number of leading blocks in the engine's cache.
	ImportableBlocks(ctx context.Context, salt uint64, hashes []uint64, cached int) (blocks int, rate float64)
	// Import copies those blocks and returns how many leading blocks the engine then
	// holds. It blocks until the copy ends.
	Import(ctx context.Context, salt uint64, hashes []uint64, cached int) int
	// RecordPrefill records that the engine has computed a prompt.
	RecordPrefill(salt uint64, hashes []uint64)
}

// cachedPrefix tracks the cached blocks of one prompt from its arrival to its start.
type cachedPrefix struct {
	index       *cacheindex.Index
	incarnation uint64
	hashes      []uint64
	// expectedBlocks is the number of leading blocks that need no computing, including
	// those of a running import.
	expectedBlocks int
	// cachedBlocks is the number of leading blocks known to be in the engine's cache.
	cachedBlocks int
	// imported delivers the number of leading blocks cached after the import; it is nil
	// when nothing is imported.
	imported chan int
	cancel   context.CancelFunc
}

// prepare looks up the prompt in the index, adds its blocks to the index so that
// later probes count them, and starts to import the blocks that the cache store
// holds when the router allows it.
func (r *Runner) prepare(ctx context.Context, request *wirepb.RunRequest) *cachedPrefix {
	p := &cachedPrefix{index: r.options.Index, hashes: request.BlockHashes, cancel: func() {}}
	p.cachedBlocks, p.incarnation = p.index.CachedPrefix(p.hashes)
	p.expectedBlocks = p.cachedBlocks
	p.index.AddPromised(p.incarnation, p.hashes)
	if !request.AllowImport || r.options.Transfers == nil || p.cachedBlocks >= len(p.hashes) {
		return p
	}
	stored, _ := r.options.Transfers.ImportableBlocks(ctx, salt(request), p.hashes, p.cachedBlocks)
	if stored <= p.cachedBlocks {
		return p
	}
	p.expectedBlocks = stored
	p.imported = make(chan int, 1)
	ctx, p.cancel = context.WithCancel(ctx)
	cached := p.cachedBlocks
	go func() { p.imported <- r.options.Transfers.Import(ctx, salt(request), p.hashes, cached) }()
	return p
}

// awaitImport waits for the import, at most for importWaitRatio of the time to compute
// the blocks instead, or for minImportWait if that is longer. When the time is over or ctx
// ends, it cancels the import and counts the blocks to import as not cached. rate is
// the prefill rate in tokens per second.
func (p *cachedPrefix) awaitImport(ctx context.Context, blockTokens int64, rate float64) {
	if p.imported == nil {
		return
	}
	defer p.cancel()
	computeSeconds := float64(int64(p.expectedBlocks-p.cachedBlocks)*blockTokens) / rate
	maxWait := max(minImportWait, time.Duration(importWaitRatio*computeSeconds*float64(time.Second)))
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	select {
	case p.cachedBlocks = <-p.imported:
	case <-timer.C:
	case <-ctx.Done():
	}
	p.expectedBlocks = p.cachedBlocks
}

// withdraw cancels the import and removes the blocks that prepare added to the index,
// except the cached ones. It is called when no token was generated.
func (p *cachedPrefix) withdraw() {
	p.cancel()
	p.index.RemoveUncomputed(p.incarnation, p.hashes, p.cachedBlocks)
}
