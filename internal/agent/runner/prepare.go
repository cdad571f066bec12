package runner

import (
	"context"
	"time"

	"github.com/greengagegate/greengagegate/internal/agent/cacheindex"
	"github.com/greengagegate/greengagegate/internal/wire/wirepb"
)

const (
	// holdRatio is how long a request keeps its place at the engine for a copy that
	// has not arrived, as a part of the time to compute the blocks instead.
	holdRatio = 0.6
	// minHold is the least such time.
	minHold = 50 * time.Millisecond
)

// Transfers copies blocks between the engine and the KV store.
type Transfers interface {
	// Importable returns how many leading blocks the KV store holds and the speed of a copy.
	Importable(ctx context.Context, salt uint64, hashes []uint64, cached int) (blocks int, rate float64)
	// Import copies them and returns how many leading blocks the engine then holds.
	Import(ctx context.Context, salt uint64, hashes []uint64, cached int) int
	// Served says that a prompt is computed.
	Served(salt uint64, hashes []uint64)
}

// prefix follows the cached part of one prompt from its arrival to its start.
type prefix struct {
	index       *cacheindex.Index
	incarnation uint64
	hashes      []uint64
	// cached is the number of leading blocks that need no computing, an import included.
	cached int
	// held is the number of leading blocks known to be in the cache itself.
	held int
	// copied delivers the number of leading blocks held after an import; nil without one.
	copied chan int
	cancel context.CancelFunc
}

// prepare looks the prompt up, announces its blocks to later probes, and begins
// to copy what the KV store has when the router allows it.
func (r *Runner) prepare(ctx context.Context, request *wirepb.RunRequest) *prefix {
	p := &prefix{index: r.options.Index, hashes: request.BlockHashes, cancel: func() {}}
	p.held, p.incarnation = p.index.Cached(p.hashes)
	p.cached = p.held
	p.index.Promised(p.incarnation, p.hashes)
	if !request.AllowImport || r.options.Transfers == nil || p.held >= len(p.hashes) {
		return p
	}
	stored, _ := r.options.Transfers.Importable(ctx, salt(request), p.hashes, p.held)
	if stored <= p.held {
		return p
	}
	p.cached = stored
	p.copied = make(chan int, 1)
	ctx, p.cancel = context.WithCancel(ctx)
	held := p.held
	go func() { p.copied <- r.options.Transfers.Import(ctx, salt(request), p.hashes, held) }()
	return p
}

// await waits for the copy while that is better than to compute the blocks at
// the rate, in tokens a second.
func (p *prefix) await(ctx context.Context, blockTokens int64, rate float64) {
	if p.copied == nil {
		return
	}
	defer p.cancel()
	compute := float64(int64(p.cached-p.held)*blockTokens) / rate
	hold := max(minHold, time.Duration(holdRatio*compute*float64(time.Second)))
	timer := time.NewTimer(hold)
	defer timer.Stop()
	select {
	case p.held = <-p.copied:
	case <-timer.C:
	case <-ctx.Done():
	}
	p.cached = p.held
}

// abandon withdraws what was announced of a prompt that was not computed.
func (p *prefix) abandon() {
	p.cancel()
	p.index.Missing(p.incarnation, p.hashes, p.held)
}
