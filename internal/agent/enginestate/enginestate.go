// Package enginestate keeps the agent's view of its engine from regular load
// reports: whether it serves, which weights it has, and its incarnation.
package enginestate

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/greengagegate/greengagegate/internal/agent/cacheindex"
	"github.com/greengagegate/greengagegate/internal/agent/fairqueue"
	"github.com/greengagegate/greengagegate/internal/agent/prober"
	"github.com/greengagegate/greengagegate/internal/engine"
	"github.com/greengagegate/greengagegate/internal/object"
	"github.com/rs/zerolog"
)

const (
	reportTimeout = time.Second
	// failuresUntilDown is the number of reports in a row that fail before the engine counts as down.
	failuresUntilDown = 2
)

// Options holds what a Poller works with.
type Options struct {
	Driver engine.Driver
	Index  *cacheindex.Index
	Queue  *fairqueue.Queue
	Source object.Source
	Log    zerolog.Logger
}

// Poller asks the engine for its load and implements prober.StatusSource.
type Poller struct {
	options  Options
	draining atomic.Bool

	mu       sync.Mutex
	load     engine.Load
	failures int
	seen     bool

	cancel context.CancelFunc
	done   sync.WaitGroup
}

// New returns a poller that is not started.
func New(options Options) *Poller {
	return &Poller{options: options}
}

// Start begins to ask for reports and to follow cache events.
func (p *Poller) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	p.done.Go(func() { p.pollLoop(ctx) })
	p.done.Go(func() { p.options.Index.Follow(ctx, p.options.Driver) })
	return nil
}

// Stop ends the background work.
func (p *Poller) Stop(context.Context) error {
	p.cancel()
	p.done.Wait()
	return nil
}

// Drain makes the status say that no new work is wanted.
func (p *Poller) Drain() { p.draining.Store(true) }

// Status implements prober.StatusSource.
func (p *Poller) Status() prober.Status {
	p.mu.Lock()
	defer p.mu.Unlock()
	status := prober.Status{
		Serving:     p.seen && p.failures < failuresUntilDown,
		Draining:    p.draining.Load(),
		Weights:     p.load.Weights,
		Incarnation: p.load.Incarnation,
		BlockTokens: int64(p.load.BlockTokens),
		PrefillRate: p.load.PrefillRate,
	}
	if set := p.options.Source.Current(); set != nil {
		status.Revision = set.Revision
	}
	return status
}

// Unreachable says that a request could not reach the engine or that the engine
// crashed. The engine counts as down until the next report.
func (p *Poller) Unreachable() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failures = max(p.failures, failuresUntilDown)
}

func (p *Poller) pollLoop(ctx context.Context) {
	ticker := time.NewTicker(engine.LoadInterval)
	defer ticker.Stop()
	for {
		p.poll(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (p *Poller) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	load, err := p.options.Driver.Load(ctx)
	if err != nil {
		p.failed(err)
		return
	}
	p.options.Index.Observe(load.Incarnation)
	p.mu.Lock()
	defer p.mu.Unlock()
	if load.BatchLimit > 0 && load.BatchLimit != p.load.BatchLimit {
		p.options.Queue.Resize(fairqueue.DefaultOptions(load.BatchLimit))
	}
	if load.PrefillRate > 0 && load.Incarnation != p.load.Incarnation {
		p.options.Queue.SetRate(load.PrefillRate)
	}
	p.load = load
	p.failures = 0
	p.seen = true
}

func (p *Poller) failed(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failures++
	if p.failures == failuresUntilDown {
		p.options.Log.Warn().Err(err).Msg("engine: no load report, engine counts as down")
	}
}
