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

// Manager is one engine. It lives through crashes: each one ends all its
// connections and loses its cache.
type Manager struct {
	options Options
	stats   stats
	server  *restart.Manager
	born    uint64
	begun   atomic.Uint64 // the number of lives so far
}

// New returns an engine that is not started.
func New(options Options) *Manager {
	m := &Manager{options: options, born: uint64(time.Now().UnixMicro())}
	m.server = restart.New(restart.Options{Address: options.Address, Restart: options.Restart, Begin: m.begin})
	return m
}

// Start listens and serves. An error means that the address could not be used.
func (m *Manager) Start() error { return m.server.Start() }

// Stop ends the engine for good and waits for its tasks.
func (m *Manager) Stop() { m.server.Stop() }

// Crash drops all connections. The engine refuses new ones for its restart time
// and comes back with an empty cache.
func (m *Manager) Crash() {
	if m.server.Crash() {
		m.stats.crashes.Add(1)
	}
}

// Stats returns the engine's counters.
func (m *Manager) Stats() Stats { return m.stats.snapshot(m.options) }

// begin starts one life of the engine.
func (m *Manager) begin(ctx context.Context) (handler http.Handler, wait func()) {
	life := m.begun.Add(1)
	weights := &weightSet{store: m.options.WeightStore}
	if life == 1 && m.options.Weights != "" {
		weights.loaded = []string{m.options.Weights}
	}
	in := newInstance(m.options, m.born+life, &m.stats, weights, m.Crash)
	history := &loadHistory{lag: m.options.LoadLag}
	tasks := new(sync.WaitGroup)
	tasks.Go(func() { in.run(ctx) })
	tasks.Go(func() { in.sampleLoop(ctx, history) })
	tasks.Go(func() { weights.load(ctx, m.options.Weights) })
	return newHandler(ctx, in, history), tasks.Wait
}

// blockHashes returns the hash chain of a prompt's whole blocks.
func blockHashes(o Options, salt uint64, prompt []byte) []uint64 {
	return placement.Chain(salt, prompt, o.BlockTokens*answer.BytesPerToken)
}
