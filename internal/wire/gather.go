package wire

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// gatherDelay is how long bytes that may wait for others are held back at most.
	gatherDelay = time.Millisecond
	// minGatheredStreams is the least number of streams at which waiting joins frames.
	minGatheredStreams = 2
	// gatherLimitBytes bounds the bytes held back. Larger pieces go out by themselves.
	gatherLimitBytes = 64 << 10
	// closeFlushTimeout bounds the write of held bytes when a connection is closed.
	closeFlushTimeout = 100 * time.Millisecond
)

// gatheringConn holds back what a multiplexer writes until flush is called, until
// gatherDelay has passed, or until much has come together, so that headers,
// bodies and frames of several streams go out in one write. Its memory is
// bounded: a writer waits while a write is under way and the limit is reached.
type gatheringConn struct {
	net.Conn
	// streams is the number of streams whose frames may wait for others.
	streams atomic.Int64

	mu sync.Mutex
	// idle is told when a write has ended.
	idle *sync.Cond
	// writing says that a goroutine writes to Conn, without mu.
	writing bool
	held    []byte
	spare   []byte
	// timer flushes what nobody flushed; armed says that it will.
	timer *time.Timer
	armed bool
	// failure is the error of the first write that failed.
	failure error
	closing bool
}

func newGatheringConn(conn net.Conn) *gatheringConn {
	c := &gatheringConn{Conn: conn}
	c.idle = sync.NewCond(&c.mu)
	c.timer = time.AfterFunc(gatherDelay, c.expire)
	c.timer.Stop()
	return c
}

// Write implements net.Conn. Bytes that are held count as written; an error of
// their write shows at a later call.
func (c *gatheringConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.held)+len(p) > gatherLimitBytes {
		return c.writeThrough(p)
	}
	if c.failure != nil {
		return 0, c.failure
	}
	c.held = append(c.held, p...)
	if !c.armed && !c.writing {
		c.armed = true
		c.timer.Reset(untilTick(time.Now()))
	}
	return len(p), nil
}

// untilTick returns the time to the next moment at which the held bytes of all
// connections go out, so that the process wakes up once for all of them.
func untilTick(now time.Time) time.Duration {
	return gatherDelay - time.Duration(now.UnixNano())%gatherDelay
}

// writeThrough writes what is held and then p; c.mu is held.
func (c *gatheringConn) writeThrough(p []byte) (int, error) {
	for c.writing {
		c.idle.Wait()
	}
	c.writeHeld()
	if c.failure != nil {
		return 0, c.failure
	}
	c.writeOut(p)
	c.writeHeld()
	if c.failure != nil {
		return 0, c.failure
	}
	return len(p), nil
}

// flush writes what is held. When another goroutine is writing, it leaves the
// bytes to that one.
func (c *gatheringConn) flush() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.writing {
		c.writeHeld()
	}
}

// expire flushes when nobody did in time.
func (c *gatheringConn) expire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.armed = false
	if !c.writing {
		c.writeHeld()
	}
}

// writeHeld writes until nothing is held; c.mu is held and no write is under way.
func (c *gatheringConn) writeHeld() {
	for len(c.held) > 0 && c.failure == nil {
		out := c.held
		c.held, c.spare = c.spare[:0], nil
		c.writeOut(out)
		c.spare = out
	}
	if c.armed && c.timer.Stop() {
		c.armed = false
	}
}

// writeOut writes p without c.mu, which is held before and after. A connection
// that fails is closed, so that its reader notices too.
func (c *gatheringConn) writeOut(p []byte) {
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
	if c.failure == nil {
		c.failure = err
	}
	c.idle.Broadcast()
}

// Close implements net.Conn. It gives a little time to the bytes held.
func (c *gatheringConn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = true
	if c.writing {
		_ = c.Conn.SetWriteDeadline(time.Now().Add(closeFlushTimeout))
	}
	for c.writing {
		c.idle.Wait()
	}
	c.writeHeld()
	c.timer.Stop()
	if c.failure == nil {
		c.failure = net.ErrClosed
	}
	return c.Conn.Close()
}
