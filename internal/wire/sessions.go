package wire

import (
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
)

// accepted is a connection from a peer. The fields are guarded by the mutex of its sessionTable.
type accepted struct {
	conn net.Conn
	// done is closed when the connection is closed and nothing uses it any more.
	done chan struct{}
	// mux is nil until the Hellos are exchanged.
	mux *yamux.Session
	// since is when the connection was accepted or its last stream was closed.
	since   time.Time
	streams int
}

// sessionTable holds the connections from peers and bounds their number. It is safe for concurrent
// use.
type sessionTable struct {
	mu         sync.Mutex
	maxEntries int
	entries    map[*accepted]struct{}
}

func newSessionTable(maxEntries int) *sessionTable {
	return &sessionTable{maxEntries: maxEntries, entries: make(map[*accepted]struct{})}
}

// add adds a connection. If the table is full, it removes another one, which the caller must close:
// the oldest without a Hello, or else the one without streams that has been idle for longest. Without
// either it does not add the connection and returns nil for it.
func (t *sessionTable) add(conn net.Conn, now time.Time) (entry, removed *accepted) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.entries) >= t.maxEntries {
		if removed = t.idlest(); removed == nil {
			return nil, nil
		}
		delete(t.entries, removed)
	}
	entry = &accepted{conn: conn, done: make(chan struct{}), since: now}
	t.entries[entry] = struct{}{}
	return entry, removed
}

// idlest returns the connection that is closed first; nil if all have streams. t.mu must be held.
func (t *sessionTable) idlest() *accepted {
	var found *accepted
	for entry := range t.entries {
		if entry.streams == 0 && (found == nil || isIdler(entry, found)) {
			found = entry
		}
	}
	return found
}

// isIdler reports whether a is closed before b; neither has streams.
func isIdler(a, b *accepted) bool {
	if hasHello := a.mux != nil; hasHello != (b.mux != nil) {
		return !hasHello
	}
	return a.since.Before(b.since)
}

// remove removes a connection.
func (t *sessionTable) remove(entry *accepted) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.entries, entry)
}

// setMux records that the Hellos were exchanged. It returns false if the connection was removed.
func (t *sessionTable) setMux(entry *accepted, mux *yamux.Session) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	entry.mux = mux
	_, ok := t.entries[entry]
	return ok
}

// addStreams changes the number of a connection's streams.
func (t *sessionTable) addStreams(entry *accepted, change int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	entry.streams += change
	entry.since = time.Now()
}

// muxes returns the multiplexers of all sessions.
func (t *sessionTable) muxes() []*yamux.Session {
	t.mu.Lock()
	defer t.mu.Unlock()
	var muxes []*yamux.Session
	for entry := range t.entries {
		if entry.mux != nil {
			muxes = append(muxes, entry.mux)
		}
	}
	return muxes
}

// len returns the number of connections.
func (t *sessionTable) len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.entries)
}
