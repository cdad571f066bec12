package wire

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/greengagegate/greengagegate/internal/contain"
	"github.com/greengagegate/greengagegate/internal/wire/wirepb"
	"github.com/hashicorp/yamux"
	"github.com/rs/zerolog"
)

const (
	// minAcceptPause and maxAcceptPause bound the pause after an accept that failed.
	minAcceptPause = 5 * time.Millisecond
	maxAcceptPause = time.Second
)

// Request holds the id and the sender's Hello of an accepted stream. The request
// message itself is read from the stream by the handler.
type Request struct {
	// ID is the request id of the Open frame. It may be empty.
	ID string
	// Peer is the Hello of the process that opened the stream.
	Peer *wirepb.Hello
}

// Handler serves one stream and runs on a goroutine of its own. The server closes
// the stream when the handler returns. ctx ends at the caller's deadline, when the
// session ends, and when Shutdown stops waiting for handlers.
type Handler func(ctx context.Context, request Request, stream *Stream)

// Server accepts sessions and passes each stream to the handler of its kind.
type Server struct {
	localHello *wirepb.Hello
	log        zerolog.Logger
	mu         sync.Mutex
	handlers   map[wirepb.Kind]Handler
	sessions   map[*yamux.Session]struct{}
	streams    sync.WaitGroup
	closing    bool
	ctx        context.Context
	cancel     context.CancelFunc
}

// NewServer returns a server that sends localHello to each peer.
func NewServer(localHello *wirepb.Hello, log zerolog.Logger) *Server {
	ctx, cancel := context.WithCancel(context.Background())
	return &Server{
		localHello: localHello,
		log:        log,
		handlers:   make(map[wirepb.Kind]Handler),
		sessions:   make(map[*yamux.Session]struct{}),
		ctx:        ctx,
		cancel:     cancel,
	}
}

// Handle registers the handler of a kind. It must be called before Serve.
func (s *Server) Handle(kind wirepb.Kind, handler Handler) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handlers[kind] = handler
}

// Serve accepts sessions. It returns nil when the listener has been closed. After other errors, such
// as a lack of descriptors, it accepts again after a pause.
func (s *Server) Serve(listener net.Listener) error {
	pause := minAcceptPause
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			s.log.Warn().Err(err).Str("address", listener.Addr().String()).Dur("pause_ms", pause).Msg("wire: accepting a session failed; trying again after a pause")
			time.Sleep(pause)
			pause = min(2*pause, maxAcceptPause)
			continue
		}
		pause = minAcceptPause
		go s.serveConn(conn)
	}
}

func (s *Server) serveConn(conn net.Conn) {
	address := conn.RemoteAddr().String()
	hello, err := exchangeHello(conn, cloneHello(s.localHello))
	if err != nil {
		_ = conn.Close()
		s.log.Debug().Err(err).Str("peer", address).Msg("wire: Hello exchange with peer failed; closing the connection")
		return
	}
	coalescing := newCoalescingConn(conn)
	mux, err := yamux.Server(coalescing, yamuxConfig())
	if err != nil {
		_ = conn.Close()
		return
	}
	if !s.addSession(mux) {
		_ = mux.Close()
		return
	}
	defer s.removeSession(mux)
	ctx, cancel := context.WithCancel(s.ctx)
	defer cancel()
	for {
		stream, err := mux.AcceptStream()
		if err != nil {
			return
		}
		if !s.addStream() {
			_ = stream.Close()
			continue
		}
		go s.serveStream(ctx, stream, hello, address, coalescing)
	}
}

func (s *Server) serveStream(ctx context.Context, conn net.Conn, hello *wirepb.Hello, address string, sessionConn *coalescingConn) {
	defer s.streams.Done()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream := newStream(ctx, conn, address, sessionConn)
	defer func() { _ = stream.Close() }()
	defer contain.Panics(s.log, "wire", address)
	open := new(wirepb.Open)
	if err := stream.Recv(open); err != nil {
		return
	}
	if open.DeadlineMs > 0 {
		var stop context.CancelFunc
		ctx, stop = context.WithTimeout(ctx, time.Duration(open.DeadlineMs)*time.Millisecond)
		defer stop()
	}
	s.mu.Lock()
	handler := s.handlers[open.Kind]
	s.mu.Unlock()
	if handler == nil {
		s.log.Warn().Str("peer", address).Stringer("kind", open.Kind).Msg("wire: no handler for the kind of stream; closing the stream")
		return
	}
	handler(ctx, Request{ID: open.RequestId, Peer: hello}, stream)
}

// addSession records a session and reports whether the server still accepts sessions.
func (s *Server) addSession(mux *yamux.Session) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closing {
		return false
	}
	s.sessions[mux] = struct{}{}
	return true
}

func (s *Server) removeSession(mux *yamux.Session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sessions, mux)
	_ = mux.Close()
}

// addStream counts a stream and reports whether the server still accepts streams.
func (s *Server) addStream() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closing {
		return false
	}
	s.streams.Add(1)
	return true
}

// Shutdown rejects new sessions and streams, sends go-away to the peers, and waits
// until the handlers in progress have returned or ctx ends. Then it closes every
// session. It returns the error of ctx when that ended first. The caller must close
// the listener.
func (s *Server) Shutdown(ctx context.Context) error {
	s.mu.Lock()
	s.closing = true
	for mux := range s.sessions {
		_ = mux.GoAway()
	}
	s.mu.Unlock()
	done := make(chan struct{})
	go func() {
		s.streams.Wait()
		close(done)
	}()
	var err error
	select {
	case <-done:
	case <-ctx.Done():
		err = ctx.Err()
	}
	s.cancel()
	s.mu.Lock()
	defer s.mu.Unlock()
	for mux := range s.sessions {
		_ = mux.Close()
	}
	return err
}

// cloneHello copies h, since exchangeHello sets the version in its argument.
func cloneHello(h *wirepb.Hello) *wirepb.Hello {
	return &wirepb.Hello{
		Version: h.Version, Process: h.Process, Role: h.Role,
		Address: h.Address, Zone: h.Zone, Incarnation: h.Incarnation,
	}
}
