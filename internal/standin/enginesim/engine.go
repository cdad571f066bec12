package enginesim

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/greengagegate/greengagegate/internal/standin/answer"
	"github.com/greengagegate/greengagegate/internal/standin/restart"
	"github.com/greengagegate/greengagegate/placement"
)

// Manager is one engine. It restarts after each crash: a crash closes all its
// connections and empties its cache. It is safe for concurrent use.
type Manager struct {
	options Options
	stats   stats
	server  *restart.Server
	// incarnationBase is the creation time in microseconds. The nth incarnation has the
	// number incarnationBase+n, so that a new process continues with higher numbers.
	incarnationBase uint64
	starts          atomic.Uint64 // number of incarnations so far
}

// New returns an engine that is not started.
func New(options Options) *Manager {
	m := &Manager{options: options, incarnationBase: uint64(time.Now().UnixMicro())}
	m.server = restart.New(restart.Options{Address: options.Address, Downtime: options.Restart, StartIncarnation: m.startIncarnation})
	return m
}

// Start listens at the address and starts to serve. It returns an error when it cannot
// listen.
func (m *Manager) Start() error { return m.server.Start() }

// Stop stops the engine permanently and waits for its tasks.
func (m *Manager) Stop() { m.server.Stop() }

// Crash closes all connections. The engine refuses new ones for Options.Restart and
// restarts with an empty cache. Crash does nothing while the engine is down.
func (m *Manager) Crash() {
	if m.server.Crash() {
		m.stats.crashes.Add(1)
	}
}

// Stats returns the engine's counters.
func (m *Manager) Stats() Stats { return m.stats.snapshot(m.options) }

// startIncarnation starts the tasks of a new incarnation, which end with ctx. It returns
// the incarnation's handler and a function that waits for the tasks. Only the first
// incarnation has its weights loaded from the start.
func (m *Manager) startIncarnation(ctx context.Context) (handler http.Handler, waitTasks func()) {
	start := m.starts.Add(1)
	weights := &weightSet{store: m.options.WeightStore}
	if start == 1 && m.options.Weights != "" {
		weights.loaded = []string{m.options.Weights}
	}
	e := newInstance(m.options, m.incarnationBase+start, &m.stats, weights, m.Crash)
	history := &loadHistory{lag: m.options.LoadLag}
	tasks := new(sync.WaitGroup)
	tasks.Go(func() { e.run(ctx) })
	tasks.Go(func() { e.sampleLoadLoop(ctx, history) })
	tasks.Go(func() { weights.loadWeights(ctx, m.options.Weights) })
	return newHandler(ctx, e, history), tasks.Wait
}

// blockHashes returns one chained hash for each complete block of a prompt.
func blockHashes(options Options, salt uint64, prompt []byte) []uint64 {
	return placement.BlockHashes(salt, prompt, options.BlockTokens*answer.BytesPerToken)
}
