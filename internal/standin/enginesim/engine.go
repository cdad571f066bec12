package enginesim

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/greengagegate/greengagegate/internal/fault"
	"github.com/greengagegate/greengagegate/internal/standin/answer"
	"github.com/greengagegate/greengagegate/placement"
)

const (
	relistenInterval = 50 * time.Millisecond
	headerTimeout    = 5 * time.Second
)

// Manager is one engine. It lives through crashes: each one ends all its
// connections and loses its cache.
type Manager struct {
	options Options
	stats   stats

	ctx   context.Context // ends at Stop
	stop  context.CancelFunc
	tasks sync.WaitGroup

	mu    sync.Mutex
	crash context.CancelFunc // ends the present life, nil while down
	lives uint64
	born  uint64
}

// New returns an engine that is not started.
func New(options Options) *Manager {
	ctx, stop := context.WithCancel(context.Background())
	return &Manager{options: options, ctx: ctx, stop: stop, born: uint64(time.Now().UnixMicro())}
}

// Start listens and serves. An error means that the address could not be used.
func (m *Manager) Start() error {
	listener, err := net.Listen("tcp", m.options.Address)
	if err != nil {
		return fault.Wrap(err, "listen", m.options.Address)
	}
	m.live(listener)
	return nil
}

// Stop ends the engine for good and waits for its tasks.
func (m *Manager) Stop() {
	m.stop()
	m.tasks.Wait()
}

// Crash drops all connections. The engine refuses new ones for its restart time
// and comes back with an empty cache.
func (m *Manager) Crash() {
	m.mu.Lock()
	end := m.crash
	m.crash = nil
	m.mu.Unlock()
	if end == nil {
		return
	}
	m.stats.crashes.Add(1)
	end()
}

// Stats returns the engine's counters.
func (m *Manager) Stats() Stats { return m.stats.snapshot(m.options) }

// live starts one life of the engine on the listener.
func (m *Manager) live(listener net.Listener) {
	ctx, end := context.WithCancel(m.ctx)
	m.mu.Lock()
	m.lives++
	first := m.lives == 1
	incarnation := m.born + m.lives
	m.crash = end
	m.mu.Unlock()

	weights := &weightSet{store: m.options.WeightStore}
	if first && m.options.Weights != "" {
		weights.loaded = []string{m.options.Weights}
	}
	in := newInstance(m.options, incarnation, &m.stats, weights, m.Crash)
	history := &loadHistory{lag: m.options.LoadLag}
	server := &http.Server{
		Handler:           newHandler(ctx, in, history),
		ReadHeaderTimeout: headerTimeout,
	}
	var tasks sync.WaitGroup
	tasks.Go(func() { in.run(ctx) })
	tasks.Go(func() { in.sampleLoop(ctx, history) })
	tasks.Go(func() { _ = server.Serve(listener) })
	tasks.Go(func() { weights.load(ctx, m.options.Weights) })
	m.tasks.Go(func() {
		<-ctx.Done()
		_ = server.Close()
		tasks.Wait()
		m.restart()
	})
}

// restart brings a crashed engine back after its restart time.
func (m *Manager) restart() {
	if !sleepEither(m.ctx, m.ctx, m.options.Restart) {
		return
	}
	for {
		listener, err := net.Listen("tcp", m.options.Address)
		if err == nil {
			m.live(listener)
			return
		}
		if !sleepEither(m.ctx, m.ctx, relistenInterval) {
			return
		}
	}
}

// blockHashes returns the hash chain of a prompt's whole blocks.
func blockHashes(o Options, salt uint64, prompt []byte) []uint64 {
	return placement.Chain(salt, prompt, o.BlockTokens*answer.BytesPerToken)
}
