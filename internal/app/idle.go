package app

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// idleTracker closes idle connections of callers without losing a request in
// transit. Server.Shutdown of net/http can close a connection as idle when the server
// has read its next request but not begun to serve it.
type idleTracker struct {
	mu   sync.Mutex
	idle map[net.Conn]struct{}
}

func newIdleTracker() *idleTracker { return &idleTracker{idle: make(map[net.Conn]struct{})} }

// connState records which connections are idle. It is the server's ConnState hook.
func (t *idleTracker) connState(connection net.Conn, state http.ConnState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if state == http.StateIdle {
		t.idle[connection] = struct{}{}
		return
	}
	delete(t.idle, connection)
}

// expire makes reads on idle connections time out, so that the server closes them.
// The server sets a new deadline on a connection whose next request has begun, and
// serves that request.
func (t *idleTracker) expire() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for connection := range t.idle {
		// SetReadDeadline fails only on a closed connection.
		_ = connection.SetReadDeadline(time.Unix(1, 0))
	}
}
