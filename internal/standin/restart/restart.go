// Package restart runs a stand-in's server that crashes and comes back at the same
// address.
package restart

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/greengagegate/greengagegate/internal/fault"
	"github.com/greengagegate/greengagegate/internal/pause"
)

const (
	relistenInterval = 50 * time.Millisecond
	headerTimeout    = 5 * time.Second
)

// Options describes the server.
type Options struct {
	Address string
	// Restart is how long a crashed server refuses connections.
	Restart time.Duration
	// Begin starts a life that ends with ctx. It returns the life's handler, and
	// what waits for the life's tasks.
	Begin func(ctx context.Context) (handler http.Handler, wait func())
}

// Manager runs the lives, one after the other.
type Manager struct {
	options Options
	ctx     context.Context // ends at Stop
	stop    context.CancelFunc
	tasks   sync.WaitGroup

	mu    sync.Mutex
	crash context.CancelFunc // ends the present life, nil while down
}

// New returns a server that is not started.
func New(options Options) *Manager {
	ctx, stop := context.WithCancel(context.Background())
	return &Manager{options: options, ctx: ctx, stop: stop}
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

// Stop ends the server for good and waits for its tasks.
func (m *Manager) Stop() {
	m.stop()
	m.tasks.Wait()
}

// Crash drops all connections; new ones are refused for the restart time. It
// reports false when the server is down already.
func (m *Manager) Crash() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.crash == nil {
		return false
	}
	m.crash()
	m.crash = nil
	return true
}

// live starts one life on the listener.
func (m *Manager) live(listener net.Listener) {
	ctx, end := context.WithCancel(m.ctx)
	m.mu.Lock()
	m.crash = end
	m.mu.Unlock()
	handler, wait := m.options.Begin(ctx)
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	m.tasks.Go(func() { _ = server.Serve(listener) })
	m.tasks.Go(func() {
		<-ctx.Done()
		_ = server.Close()
		wait()
		m.restart()
	})
}

// restart brings a crashed server back after its restart time.
func (m *Manager) restart() {
	wait := m.options.Restart
	for pause.For(m.ctx, wait) == nil {
		listener, err := net.Listen("tcp", m.options.Address)
		if err == nil {
			m.live(listener)
			return
		}
		wait = relistenInterval
	}
}
