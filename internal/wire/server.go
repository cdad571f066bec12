package wire

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/greengagegate/greengagegate/internal/contain"
	"github.com/greengagegate/greengagegate/internal/loglimit"
	"github.com/greengagegate/greengagegate/internal/metrics"
	"github.com/greengagegate/greengagegate/internal/wire/wirepb"
	"github.com/hashicorp/yamux"
	"github.com/rs/zerolog"
)

const (
	// minAcceptPause and maxAcceptPause bound the pause after an accept that failed.
	minAcceptPause = 5 * time.Millisecond
	maxAcceptPause = time.Second
	// closeWait is the longest time for which Serve waits for a connection that it has closed.
	closeWait = 100 * time.Millisecond
	// maxLinesPerSecond bounds the log lines about connections that are closed.
	maxLinesPerSecond = 20
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
	sessions   *sessionTable
	received   *receiveBudget
	lines      *loglimit.Limiter
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
		sessions:   newSessionTable(DefaultLimits().Sessions),
		received:   newReceiveBudget(DefaultLimits().ReceivedBytes),
		lines:      loglimit.New(log, "wire", maxLinesPerSecond),
		ctx:        ctx,
		cancel:     cancel,
	}
}

// SetLimits replaces DefaultLimits. It must be called before Serve.
func (s *Server) SetLimits(limits Limits) {
	s.sessions = newSessionTable(limits.Sessions)
	s.received = newReceiveBudget(limits.ReceivedBytes)
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
		s.accept(conn)
	}
}

// accept serves a connection, and closes another one if there are too many.
func (s *Server) accept(conn net.Conn) {
	entry, removed := s.sessions.add(conn, time.Now())
	if removed != nil {
		s.reportClosed(removed.conn, "sessions", 0)
		s.close(removed)
	}
	if entry == nil {
		s.reportClosed(conn, "sessions", 0)
		_ = conn.Close()
		return
	}
	go s.serveConn(entry)
}

// close closes a connection that is no longer in the table, and waits for up to closeWait until its
// descriptor is free: connections could be accepted faster than others are closed.
func (s *Server) close(entry *accepted) {
	closeInBackground(entry.conn)
	select {
	case <-entry.done:
	case <-time.After(closeWait):
	}
}

// closeInBackground closes a connection without waiting: with TLS, closing writes to the peer.
func closeInBackground(conn net.Conn) {
	go func() { _ = conn.Close() }()
}

// reportClosed reports that a connection was closed because of a bound. held is the number of bytes
// that it has sent and no handler has taken.
func (s *Server) reportClosed(conn net.Conn, bound string, held int64) {
	metrics.Counter("wire.sessions_closed", "bound", bound).Inc(1)
	if s.lines.Reserve(time.Now()) {
		s.log.Warn().Str("peer", conn.RemoteAddr().String()).Str("bound", bound).Int64("held_bytes", held).Int("sessions", s.sessions.len()).Msg("wire: connection of a peer was closed because of a bound")
	}
}

func (s *Server) serveConn(entry *accepted) {
	conn := entry.conn
	defer close(entry.done)
	defer s.sessions.remove(entry)
	address := conn.RemoteAddr().String()
	hello, err := exchangeHello(conn, cloneHello(s.localHello))
	if err != nil {
		_ = conn.Close()
		s.log.Debug().Err(err).Str("peer", address).Msg("wire: Hello exchange with peer failed; closing the connection")
		return
	}
	received := s.received.newSession(func(held int64) {
		s.reportClosed(conn, "received", held)
		closeInBackground(conn)
	})
	defer received.end()
	coalescing := newCoalescingConn(&scannedConn{Conn: conn, received: received})
	mux, err := yamux.Server(coalescing, yamuxConfig())
	if err != nil {
		_ = conn.Close()
		return
	}
	defer func() { _ = mux.Close() }()
	if !s.sessions.setMux(entry, mux) || s.isClosing() {
		return
	}
	ctx, cancel := context.WithCancel(s.ctx)
	defer cancel()
	for {
		muxStream, err := mux.AcceptStream()
		if err != nil {
			return
		}
		if !s.addStream() {
			_ = muxStream.Close()
			continue
		}
		s.sessions.addStreams(entry, 1)
		go func() {
			defer s.streams.Done()
			defer s.sessions.addStreams(entry, -1)
			defer received.endStream(muxStream.StreamID())
			s.serveStream(ctx, muxStream, received, hello, coalescing)
		}()
	}
}

// serveStream passes a stream to the handler of its kind and closes it.
func (s *Server) serveStream(ctx context.Context, muxStream *yamux.Stream, received *receivedBytes, hello *wirepb.Hello, sessionConn *coalescingConn) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	address := muxStream.RemoteAddr().String()
	stream := newStream(ctx, muxStream, address, sessionConn)
	stream.onReceived = func(bytes int64) { received.take(muxStream.StreamID(), bytes) }
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

func (s *Server) isClosing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closing
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
	s.mu.Unlock()
	for _, mux := range s.sessions.muxes() {
		_ = mux.GoAway()
	}
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
	for _, mux := range s.sessions.muxes() {
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
