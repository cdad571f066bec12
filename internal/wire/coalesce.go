package wire

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// coalesceDelay is the longest time for which bytes wait for further bytes.
	coalesceDelay = time.Millisecond
	// SendCoalesced delays a frame only if at least minCoalescedStreams open streams of
	// the session have used it. With fewer streams it flushes at once, since there are
	// no frames of other streams to share a write with.
	minCoalescedStreams = 2
	// coalesceLimitBytes bounds the pending bytes. A Write that would exceed it writes
	// the pending bytes and its own to the connection.
	coalesceLimitBytes = 64 << 10
	// closeFlushTimeout bounds the write of pending bytes when a connection is closed.
	closeFlushTimeout = 100 * time.Millisecond
)

// coalescingConn buffers the bytes that a multiplexer writes until flush is called,
// coalesceDelay has passed or coalesceLimitBytes is reached. Headers, bodies and
// frames of several streams thus share a write to the connection. Its memory is
// bounded: Write blocks while the limit is reached and another write is in progress.
type coalescingConn struct {
	net.Conn
	// coalescingStreams is the number of open streams that have used SendCoalesced.
	coalescingStreams atomic.Int64

	mu sync.Mutex
	// writeEnded is signaled when a write to Conn has ended.
	writeEnded *sync.Cond
	// writing is true while a goroutine writes to Conn, which it does without mu.
	writing     bool
	pending     []byte
	spareBuffer []byte
	// timer flushes pending bytes; timerArmed is true while it is set.
	timer      *time.Timer
	timerArmed bool
	// writeErr is the error of the first write that failed, or net.ErrClosed after Close.
	writeErr error
	closing  bool
}

func newCoalescingConn(conn net.Conn) *coalescingConn {
	c := &coalescingConn{Conn: conn}
	c.writeEnded = sync.NewCond(&c.mu)
	c.timer = time.AfterFunc(coalesceDelay, c.flushOnTimer)
	c.timer.Stop()
	return c
}

// Write implements net.Conn. It reports pending bytes as written; an error of their
// later write is returned by a later call.
func (c *coalescingConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.pending)+len(p) > coalesceLimitBytes {
		return c.writeThrough(p)
	}
	if c.writeErr != nil {
		return 0, c.writeErr
	}
	c.pending = append(c.pending, p...)
	if !c.timerArmed && !c.writing {
		c.timerArmed = true
		c.timer.Reset(timeToNextTick(time.Now()))
	}
	return len(p), nil
}

// timeToNextTick returns the time until the next multiple of coalesceDelay. The
// timers of all connections expire at these ticks, so that the process wakes up once
// for all of them.
func timeToNextTick(now time.Time) time.Duration {
	return coalesceDelay - time.Duration(now.UnixNano())%coalesceDelay
}

// writeThrough writes the pending bytes and then p. It must be called with c.mu held.
func (c *coalescingConn) writeThrough(p []byte) (int, error) {
	for c.writing {
		c.writeEnded.Wait()
	}
	c.writePending()
	if c.writeErr != nil {
		return 0, c.writeErr
	}
	c.writeUnlocked(p)
	c.writePending()
	if c.writeErr != nil {
		return 0, c.writeErr
	}
	return len(p), nil
}

// flush writes the pending bytes. If another goroutine is writing, flush returns at
// once, and that goroutine writes them.
func (c *coalescingConn) flush() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.writing {
		c.writePending()
	}
}

// flushOnTimer writes the pending bytes when coalesceDelay has passed without a flush.
func (c *coalescingConn) flushOnTimer() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.timerArmed = false
	if !c.writing {
		c.writePending()
	}
}

// writePending writes until no bytes are pending. It must be called with c.mu held
// and while no write is in progress.
func (c *coalescingConn) writePending() {
	for len(c.pending) > 0 && c.writeErr == nil {
		out := c.pending
		c.pending, c.spareBuffer = c.spareBuffer[:0], nil
		c.writeUnlocked(out)
		c.spareBuffer = out
	}
	if c.timerArmed && c.timer.Stop() {
		c.timerArmed = false
	}
}

// writeUnlocked releases c.mu, writes p and acquires c.mu again. It must be called
// with c.mu held. When the write fails, it closes the connection, so that reads fail
// as well.
func (c *coalescingConn) writeUnlocked(p []byte) {
	c.writing = true
	limit := writeTimeout
	if c.closing {
		limit = closeFlushTimeout
	}
	err := c.Conn.SetWriteDeadline(time.Now().Add(limit))
	c.mu.Unlock()
	if err == nil {
		_, err = c.Conn.Write(p)
	}
	if err != nil {
		_ = c.Conn.Close()
	}
	c.mu.Lock()
	c.writing = false
	if c.writeErr == nil {
		c.writeErr = err
	}
	c.writeEnded.Broadcast()
}

// Close implements net.Conn. It writes the pending bytes first, with a timeout of
// closeFlushTimeout for each write.
func (c *coalescingConn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = true
	if c.writing {
		_ = c.Conn.SetWriteDeadline(time.Now().Add(closeFlushTimeout))
	}
	for c.writing {
		c.writeEnded.Wait()
	}
	c.writePending()
	c.timer.Stop()
	if c.writeErr == nil {
		c.writeErr = net.ErrClosed
	}
	return c.Conn.Close()
}
