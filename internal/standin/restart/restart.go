// Package restart runs an HTTP server of a stand-in that can be crashed and restarts
// at the same address.
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
	// relistenInterval is the pause between attempts to listen after a crash while the
	// address is not available.
	relistenInterval = 50 * time.Millisecond
	// headerTimeout limits the time to read the headers of a request.
	headerTimeout = 5 * time.Second
)

// Options configures a Server.
type Options struct {
	Address string
	// Downtime is how long the server refuses connections after a crash.
	Downtime time.Duration
	// StartIncarnation is called at the start and after each restart. It starts the
	// tasks of a new incarnation, which must end when ctx ends, and returns the
	// incarnation's handler and a function that waits for its tasks.
	StartIncarnation func(ctx context.Context) (handler http.Handler, waitTasks func())
}

// Server runs the incarnations of a stand-in one after another, at the same address.
type Server struct {
	options Options
	ctx     context.Context // ends at Stop
	stop    context.CancelFunc
	tasks   sync.WaitGroup

	mu sync.Mutex
	// endIncarnation ends the current incarnation; nil while the server is down.
	endIncarnation func()
}

// New returns a server that is not started.
func New(options Options) *Server {
	ctx, stop := context.WithCancel(context.Background())
	return &Server{options: options, ctx: ctx, stop: stop}
}

// Start listens at the address and starts to serve. It returns an error when it cannot
// listen.
func (s *Server) Start() error {
	listener, err := net.Listen("tcp", s.options.Address)
	if err != nil {
		return fault.Wrap(err, "listen", s.options.Address)
	}
	s.serve(listener)
	return nil
}

// Stop stops the server permanently and waits for its tasks.
func (s *Server) Stop() {
	s.stop()
	s.tasks.Wait()
}

// Crash ends the current incarnation: the server closes all connections and refuses new
// ones for Options.Downtime. Crash reports whether the server was up.
func (s *Server) Crash() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.endIncarnation == nil {
		return false
	}
	s.endIncarnation()
	s.endIncarnation = nil
	return true
}

// serve starts a new incarnation on the listener.
func (s *Server) serve(listener net.Listener) {
	ctx, cancel := context.WithCancel(s.ctx)
	s.mu.Lock()
	s.endIncarnation = func() {
		// The listener closes before the connections do: a caller that sees its connection
		// close and connects again must be refused, not cut off a second time.
		_ = listener.Close()
		cancel()
	}
	s.mu.Unlock()
	handler, waitTasks := s.options.StartIncarnation(ctx)
	httpServer := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	s.tasks.Go(func() { _ = httpServer.Serve(listener) })
	s.tasks.Go(func() {
		<-ctx.Done()
		_ = httpServer.Close()
		waitTasks()
		s.restartAfterCrash()
	})
}

// restartAfterCrash waits for the downtime and serves again. It repeats failed attempts
// to listen, and returns without serving after Stop.
func (s *Server) restartAfterCrash() {
	delay := s.options.Downtime
	for pause.For(s.ctx, delay) == nil {
		listener, err := net.Listen("tcp", s.options.Address)
		if err == nil {
			s.serve(listener)
			return
		}
		delay = relistenInterval
	}
}
