// Package enginestate polls the load reports of the agent's engine and keeps the
// latest state: whether the engine answers, which weights it has loaded, and its
// incarnation.
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
	// loadTimeout limits one request for a load report.
	loadTimeout = time.Second
	// failuresUntilUnreachable is the number of consecutive failed requests for a
	// load report after which the engine counts as unreachable.
	failuresUntilUnreachable = 2
)

// Options holds the dependencies of a Poller.
type Options struct {
	Driver engine.Driver
	Index  *cacheindex.Index
	Queue  *fairqueue.Queue
	Source object.Source
	Log    zerolog.Logger
}

// Poller polls the engine for load reports and implements prober.StatusSource. It
// also passes the engine's incarnation, batch limit and prefill rate to the cache
// index and the queue. Its methods are safe for concurrent use, except that Start
// must precede Stop.
type Poller struct {
	options  Options
	draining atomic.Bool

	mu   sync.Mutex
	load engine.Load
	// failures is the number of consecutive failed requests for a load report.
	// MarkUnreachable raises it to failuresUntilUnreachable.
	failures int
	// hasReport is true once a load report has been received.
	hasReport bool

	cancel context.CancelFunc
	tasks  sync.WaitGroup
}

// New returns a poller. Until it has been started, the status does not report the
// engine as serving.
func New(options Options) *Poller {
	return &Poller{options: options}
}

// Start begins to poll load reports and to follow cache events. It does not block.
func (p *Poller) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	p.tasks.Go(func() { p.pollLoop(ctx) })
	p.tasks.Go(func() { p.options.Index.Follow(ctx, p.options.Driver) })
	return nil
}

// Stop ends polling and the following of cache events, and blocks until both have
// ended.
func (p *Poller) Stop(context.Context) error {
	p.cancel()
	p.tasks.Wait()
	return nil
}

// Drain makes the status report the engine as draining.
func (p *Poller) Drain() { p.draining.Store(true) }

// Status implements prober.StatusSource. It does not call the engine.
func (p *Poller) Status() prober.Status {
	p.mu.Lock()
	defer p.mu.Unlock()
	status := prober.Status{
		Serving:     p.hasReport && p.failures < failuresUntilUnreachable,
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

// MarkUnreachable records that a request could not reach the engine or that the engine
// crashed. The engine counts as unreachable until the next load report.
func (p *Poller) MarkUnreachable() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failures = max(p.failures, failuresUntilUnreachable)
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

// poll requests one load report and applies it.
func (p *Poller) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	load, err := p.options.Driver.Load(ctx)
	if err != nil {
		p.recordFailure(err)
		return
	}
	p.options.Index.SetIncarnation(load.Incarnation)
	p.mu.Lock()
	defer p.mu.Unlock()
	if load.BatchLimit > 0 && load.BatchLimit != p.load.BatchLimit {
		p.options.Queue.Resize(fairqueue.DefaultOptions(load.BatchLimit))
	}
	if load.PrefillRate > 0 && load.Incarnation != p.load.Incarnation {
		// Only the first reported rate has an effect.
		p.options.Queue.SetInitialRate(load.PrefillRate)
	}
	p.load = load
	p.failures = 0
	p.hasReport = true
}

// recordFailure counts a failed request for a load report. It logs the failure with
// which the count reaches failuresUntilUnreachable. After MarkUnreachable has raised the
// count, it logs nothing until a load report has reset the count.
func (p *Poller) recordFailure(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failures++
	if p.failures == failuresUntilUnreachable {
		p.options.Log.Warn().Err(err).Msg("engine: requests for load reports failed; the engine counts as unreachable")
	}
}
