package wire

import (
	"encoding/binary"
	"net"
	"sync"
	"time"
)

// The header of a yamux frame: version, type, flags (2 bytes), stream ID and length (4 bytes each).
const (
	muxHeaderBytes  = 12
	muxTypeOffset   = 1
	muxFlagsOffset  = 2
	muxStreamOffset = 4
	muxLengthOffset = 8

	muxTypeData  = 0
	muxFlagOpen  = 1
	muxFlagClose = 4 | 8
)

// receiveBudget bounds the memory of accepted streams and of what they have received and their
// handlers have not taken. When it is exceeded, the session that holds the most is closed.
//
// Load pattern: a peer opens many streams and sends large frames that it never ends; the other
// peers' frames are small or taken at once.
type receiveBudget struct {
	maxBytes int64

	mu       sync.Mutex
	held     int64
	sessions map[*receivedBytes]struct{}
}

func newReceiveBudget(maxBytes int64) *receiveBudget {
	return &receiveBudget{maxBytes: maxBytes, sessions: make(map[*receivedBytes]struct{})}
}

// newSession returns the account of a session. closeSession must not block; it is called with the
// bytes that the session holds, at most once.
func (b *receiveBudget) newSession(closeSession func(held int64)) *receivedBytes {
	r := &receivedBytes{budget: b, closeSession: closeSession, streams: make(map[uint32]*receivedStream)}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sessions[r] = struct{}{}
	return r
}

// closeLargest closes sessions until the rest is within the bound. b.mu must be held.
func (b *receiveBudget) closeLargest() {
	for b.held > b.maxBytes {
		var largest *receivedBytes
		for r := range b.sessions {
			if largest == nil || r.held > largest.held {
				largest = r
			}
		}
		held := largest.held
		b.remove(largest)
		largest.closeSession(held)
	}
}

// remove ends the account of a session. b.mu must be held.
func (b *receiveBudget) remove(r *receivedBytes) {
	if _, ok := b.sessions[r]; ok {
		delete(b.sessions, r)
		b.held -= r.held
		r.held = 0
		clear(r.streams)
	}
}

// receivedBytes is what one session holds.
type receivedBytes struct {
	budget       *receiveBudget
	closeSession func(held int64)

	// header is the beginning of the current frame's header, and rest the number of bytes of the
	// current frame of stream id that have not arrived. They are used by scan only.
	header       [muxHeaderBytes]byte
	headerLength int
	rest         uint32
	id           uint32

	// held and streams are guarded by budget.mu.
	held    int64
	streams map[uint32]*receivedStream
}

// receivedStream is what one stream holds.
type receivedStream struct {
	held int64
	// peerClosed is true when the peer has closed the stream, and ended when its handler has.
	peerClosed, ended bool
}

// hold adds to what a stream holds. budget.mu must be held.
func (r *receivedBytes) hold(stream *receivedStream, bytes int64) {
	stream.held += bytes
	r.held += bytes
	r.budget.held += bytes
}

// scan counts the bytes that the session has received.
func (r *receivedBytes) scan(data []byte) {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	if _, isOpen := r.budget.sessions[r]; !isOpen {
		return
	}
	for len(data) > 0 {
		if r.rest > 0 {
			n := min(int(r.rest), len(data))
			if stream := r.streams[r.id]; stream != nil {
				r.hold(stream, int64(n))
			}
			r.rest -= uint32(n)
			data = data[n:]
			continue
		}
		n := copy(r.header[r.headerLength:], data)
		data = data[n:]
		if r.headerLength += n; r.headerLength == muxHeaderBytes {
			r.headerLength = 0
			r.beginFrame()
		}
	}
	r.budget.closeLargest()
}

// beginFrame reads a header. budget.mu must be held.
func (r *receivedBytes) beginFrame() {
	flags := binary.BigEndian.Uint16(r.header[muxFlagsOffset:])
	r.id = binary.BigEndian.Uint32(r.header[muxStreamOffset:])
	if flags&muxFlagOpen != 0 && r.id != 0 && r.streams[r.id] == nil {
		stream := new(receivedStream)
		r.streams[r.id] = stream
		r.hold(stream, streamBytes)
	}
	if stream := r.streams[r.id]; stream != nil && flags&muxFlagClose != 0 {
		stream.peerClosed = true
		if stream.ended {
			r.dropStream(r.id)
		}
	}
	if r.header[muxTypeOffset] == muxTypeData {
		r.rest = binary.BigEndian.Uint32(r.header[muxLengthOffset:])
	}
}

// take counts bytes of a stream that its handler has taken.
func (r *receivedBytes) take(id uint32, bytes int64) {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	if stream := r.streams[id]; stream != nil {
		r.hold(stream, -bytes)
	}
}

// endStream is called when a stream is closed. What the peer sends on it counts until the peer closes
// it too or the multiplexer drops it.
func (r *receivedBytes) endStream(id uint32) {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	stream := r.streams[id]
	if stream == nil {
		return
	}
	r.hold(stream, -streamBytes)
	if stream.ended = true; stream.peerClosed {
		r.dropStream(id)
		return
	}
	time.AfterFunc(streamCloseTimeout, func() {
		r.budget.mu.Lock()
		defer r.budget.mu.Unlock()
		r.dropStream(id)
	})
}

// dropStream removes a stream. budget.mu must be held.
func (r *receivedBytes) dropStream(id uint32) {
	if stream := r.streams[id]; stream != nil {
		r.hold(stream, -stream.held)
		delete(r.streams, id)
	}
}

// end is called when the session is closed.
func (r *receivedBytes) end() {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	r.budget.remove(r)
}

// scannedConn is a connection whose received bytes are counted.
type scannedConn struct {
	net.Conn
	received *receivedBytes
}

// Read implements net.Conn.
func (c *scannedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.received.scan(p[:n])
	}
	return n, err
}
