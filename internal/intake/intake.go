// Package intake owns the connections of clients to a listener, until their requests are known. It
// bounds the number of connections, the bytes of heads and the bytes of unfinished bodies, and
// closes those connections first that hold the most for the longest time. It rejects requests with
// ambiguous framing, and passes a request's head on only when it is whole.
package intake

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/greengagegate/greengagegate/internal/loglimit"
	"github.com/greengagegate/greengagegate/internal/metrics"
	"github.com/rs/zerolog"
)

// maxLinesPerSecond bounds the log lines about connections that are closed.
const maxLinesPerSecond = 20

// Limits are the bounds of a Manager.
type Limits struct {
	// Connections is the number of connections that are open at once.
	Connections int
	// HeadBytes bounds the memory of the heads of requests, unfinished and parsed ones, in bytes. A
	// small head may exceed it.
	HeadBytes int64
	// BodyBytes bounds the memory of unfinished bodies, in bytes.
	BodyBytes int64
}

// Options configures a Manager.
type Options struct {
	// Door names the listener in metrics and log lines.
	Door   string
	Limits Limits
	Log    zerolog.Logger
}

// Manager bounds the connections of one listener. It is safe for concurrent use.
type Manager struct {
	door      string
	log       zerolog.Logger
	lines     *loglimit.Limiter
	turnstile *turnstile

	mu     sync.Mutex
	ledger *ledger
	// changed is signalled when a connection is closed or may be closed for another.
	changed *sync.Cond
	// waiting are closed, in this order, once there is memory for what their connections hold.
	waiting []chan struct{}
}

// New returns a manager.
func New(options Options) *Manager {
	m := &Manager{
		door: options.Door, log: options.Log, ledger: newLedger(options.Limits), turnstile: new(turnstile),
		lines: loglimit.New(options.Log, "intake", maxLinesPerSecond),
	}
	m.changed = sync.NewCond(&m.mu)
	return m
}

// Listener returns a listener whose connections m bounds.
func (m *Manager) Listener(inner net.Listener) net.Listener {
	return &listener{Listener: inner, manager: m}
}

// Serve makes server use m: its connections must come from m.Listener.
func (m *Manager) Serve(server *http.Server, inner net.Listener) error {
	former := server.ConnState
	server.ConnState = func(connection net.Conn, state http.ConnState) {
		if former != nil {
			former(connection, state)
		}
		if state == http.StateIdle {
			connection.(*Conn).finishRequest()
		}
	}
	server.ConnContext = func(ctx context.Context, connection net.Conn) context.Context {
		return context.WithValue(ctx, contextKey{}, connection)
	}
	return server.Serve(m.Listener(inner))
}

type contextKey struct{}

// FromContext returns the connection of the request with this context; nil if no Manager owns it.
func FromContext(ctx context.Context) *Conn {
	connection, _ := ctx.Value(contextKey{}).(*Conn)
	return connection
}

// Status is what the connections of a listener hold.
type Status struct {
	Connections          int
	HeadBytes, BodyBytes int64
}

// Status returns what the connections hold now.
func (m *Manager) Status() Status {
	m.mu.Lock()
	defer m.mu.Unlock()
	return Status{Connections: m.ledger.open, HeadBytes: m.ledger.headBytes, BodyBytes: m.ledger.bodyBytes}
}

type listener struct {
	net.Listener
	manager *Manager
	// closed is guarded by manager.mu.
	closed bool
}

// Accept implements net.Listener. While the bound on connections is reached, a new one waits until
// another is closed, and others are closed for it if their requests are not known yet.
func (l *listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	m := l.manager
	c := &Conn{Conn: accepted, manager: m, closed: make(chan struct{})}
	c.entry.conn = c
	m.mu.Lock()
	defer m.mu.Unlock()
	for m.ledger.isFull() && !l.closed {
		m.close(m.ledger.makeRoom(time.Now()), "connections")
		m.changed.Wait()
	}
	if l.closed {
		_ = accepted.Close()
		return nil, net.ErrClosed
	}
	m.ledger.add(&c.entry, time.Now())
	return c, nil
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.manager.mu.Lock()
	l.closed = true
	l.manager.changed.Broadcast()
	l.manager.mu.Unlock()
	return l.Listener.Close()
}

// noteClosable wakes the listener if it waits for a connection to close. m.mu must be held.
func (m *Manager) noteClosable() {
	if m.ledger.isFull() {
		m.changed.Broadcast()
	}
}

// close makes the reads of connections fail. m.mu must be held.
func (m *Manager) close(entries []*entry, bound string) {
	for _, e := range entries {
		metrics.Counter("intake.closed", "door", m.door, "bound", bound).Inc(1)
		e.conn.interrupt()
		m.report(e, bound, "intake: connection was closed for others; its request was not run")
	}
}

// awaitMemory waits until connections that were closed for others have released their memory, so
// that heads and bodies are within their bounds but for a batch. It unlocks m.mu, which must be held.
func (m *Manager) awaitMemory(c *Conn) {
	if c.entry.closing || m.ledger.isReleased() {
		m.mu.Unlock()
		return
	}
	room := make(chan struct{})
	m.waiting = append(m.waiting, room)
	m.mu.Unlock()
	c.leaveTurn()
	c.await(room)
}

// noteRelease lets connections go on that wait for memory. m.mu must be held.
func (m *Manager) noteRelease() {
	if len(m.waiting) == 0 || !m.ledger.isReleased() {
		return
	}
	for _, room := range m.waiting {
		close(room)
	}
	m.waiting = nil
}

// report writes a line about a connection that is closed. m.mu must be held.
func (m *Manager) report(e *entry, bound, message string) {
	now := time.Now()
	if !m.lines.Reserve(now) {
		return
	}
	m.log.Warn().Str("door", m.door).Str("bound", bound).Stringer("phase", e.phase).Stringer("client", e.conn.RemoteAddr()).
		Int64("head_bytes", e.headBytes).Int64("body_bytes", e.bodyBytes).Int64("received", e.received).Int("requests", e.requests).
		Int64("age_ms", now.Sub(e.since).Milliseconds()).Int64("silence_ms", now.Sub(e.progressAt).Milliseconds()).
		Int("connections", m.ledger.open).Msg(message)
}
