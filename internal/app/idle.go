package app

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// idleTracker ends idle connections of callers without losing a request that is
// on its way. net/http's own closing of idle connections can meet one whose
// request has been read but not yet begun.
type idleTracker struct {
	mu   sync.Mutex
	idle map[net.Conn]struct{}
}

func newIdleTracker() *idleTracker { return &idleTracker{idle: make(map[net.Conn]struct{})} }

// connState follows a server's connections. It is the server's ConnState hook.
func (t *idleTracker) connState(connection net.Conn, state http.ConnState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if state == http.StateIdle {
		t.idle[connection] = struct{}{}
		return
	}
	delete(t.idle, connection)
}

// expire makes reads of idle connections time out. A connection whose next
// request has begun gets a new deadline from the server, and is served.
func (t *idleTracker) expire() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for connection := range t.idle {
		// A connection that refuses a deadline is closed already.
		_ = connection.SetReadDeadline(time.Unix(1, 0))
	}
}
