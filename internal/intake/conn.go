package intake

import (
	"io"
	"net"
	"os"
	"sync/atomic"
	"time"

	"github.com/greengagegate/greengagegate/internal/framing"
	"github.com/greengagegate/greengagegate/internal/metrics"
)

const (
	// earlyBytes is the number of bytes of a head that are passed on before it is whole. The HTTP
	// server waits for them before it applies its time limit for heads.
	earlyBytes = 4
	// maxHeadBytes bounds a head.
	maxHeadBytes = 68 << 10
	// lineOverhead is the memory of a parsed header beside its text, in bytes.
	lineOverhead = 160
	// freeBodyBytes is the size of a body, with the framing of its chunks, that is read without
	// turns.
	freeBodyBytes = 64 << 10
	// writeTimeout bounds each write for which the handler has set no time limit; see ExtendWrites.
	writeTimeout = 10 * time.Second
	// refusalTimeout bounds the write of a refusal by the connection itself.
	refusalTimeout = 50 * time.Millisecond
)

// Responses to requests that no handler has seen.
const (
	ambiguousResponse    = "HTTP/1.1 400 Bad Request\r\nContent-Type: text/plain\r\nContent-Length: 18\r\nConnection: close\r\n\r\nambiguous framing\n"
	lateHeadResponse     = "HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\nRetry-After: 1\r\nConnection: close\r\n\r\n"
	tooLargeHeadResponse = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
	noMemoryResponse     = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nRetry-After: 1\r\nConnection: close\r\n\r\n"
)

// clockStart is a time on the monotonic clock.
var clockStart = time.Now()

// longPast is a read deadline that makes reads fail at once.
var longPast = time.Unix(1, 0)

// Conn is a connection that a Manager owns. The methods for handlers may be called on a nil Conn,
// which bounds nothing.
type Conn struct {
	net.Conn
	manager *Manager
	// entry is guarded by manager.mu.
	entry entry
	// interrupted is true, and closed is closed, once the connection is closed for others.
	interrupted atomic.Bool
	closed      chan struct{}
	// readDeadline is the time limit of reads, in nanoseconds since clockStart; 0 for none.
	readDeadline atomic.Int64
	// writeLimit is the time from the call that set the handler's time limit for writes to that limit;
	// 0 if none is in force. Limits are extended until extendUntil, in nanoseconds since clockStart.
	writeLimit, extendUntil atomic.Int64

	// turn is when the turn began that the connection has; nil if it has none.
	turn atomic.Pointer[time.Time]

	// The other fields are used by Read, and by finishRequest, which does not run beside Read.
	scanner framing.Scanner
	// pending are bytes that were received and not passed on; scanned of them have been scanned, and
	// ready of these may be passed on.
	pending        []byte
	scanned, ready int
	// early is the number of bytes of an unfinished head that may be passed on.
	early int
	// headLength and bodyLength are the scanned bytes of the current request.
	headLength, bodyLength int64
	rejected               bool
}

// Read implements net.Conn. It passes on heads when they are whole, and at most the rest of one
// request.
func (c *Conn) Read(p []byte) (int, error) {
	c.leaveTurn()
	for {
		switch {
		case c.rejected:
			return 0, os.ErrDeadlineExceeded
		case c.ready > 0:
			return c.passOn(p), nil
		case c.scanned < len(c.pending):
			if err := c.scanPending(len(p)); err != nil {
				return 0, err
			}
		default:
			if n, err := c.receive(p); n > 0 || err != nil {
				return n, err
			}
		}
	}
}

// passOn copies bytes that may be passed on.
func (c *Conn) passOn(p []byte) int {
	n := copy(p, c.pending[:c.ready])
	c.ready -= n
	c.scanned -= n
	c.pending = c.pending[n:]
	if len(c.pending) == 0 {
		c.pending = nil
	}
	return n
}

// receive reads from the client into p. It returns 0 if nothing may be passed on yet.
func (c *Conn) receive(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return 0, c.readError(err)
	}
	if !c.enterTurn() {
		// What was received is lost, so nothing can be read any more.
		c.rejected = true
		return 0, os.ErrDeadlineExceeded
	}
	if len(c.pending) > 0 {
		c.pending = append(c.pending, p[:n]...)
		return 0, nil
	}
	// The common case is a whole head or a part of a body, which is passed on without a copy.
	parsed, isWhole, err := c.scan(p[:n])
	if err != nil {
		return 0, err
	}
	if isWhole {
		c.pending = append(c.pending, p[parsed:n]...)
		return parsed, nil
	}
	c.pending = append(c.pending, p[:n]...)
	c.scanned = n
	return 0, c.holdHead()
}

// scanPending scans pending bytes and decides how many may be passed on to a read of a size.
func (c *Conn) scanPending(size int) error {
	data := c.pending[c.scanned:]
	if size == 1 && c.scanner.InHead() {
		// While the server serves a request, it reads one byte of the next one to notice that the
		// client leaves. The next request must not begin before the response has ended.
		data = data[:1]
	}
	parsed, isWhole, err := c.scan(data)
	if err != nil {
		return err
	}
	c.scanned += parsed
	if !isWhole {
		return c.holdHead()
	}
	c.ready = c.scanned
	return nil
}

// scan scans bytes up to the end of a request and returns how many it has scanned. isWhole is false
// if they end within a head.
func (c *Conn) scan(data []byte) (parsed int, isWhole bool, err error) {
	wasInHead := c.scanner.InHead()
	parsed, event, err := c.scanner.Advance(data)
	if err != nil {
		return 0, false, c.respond("framing", ambiguousResponse)
	}
	if !wasInHead {
		c.bodyLength += int64(parsed)
		return parsed, true, nil
	}
	c.headLength += int64(parsed)
	if event == framing.NoEvent {
		return parsed, false, nil
	}
	if err := c.finishHead(); err != nil || event == framing.RequestEnded {
		return parsed, true, err
	}
	rest, _, err := c.scanner.Advance(data[parsed:])
	if err != nil {
		return 0, false, c.respond("framing", ambiguousResponse)
	}
	c.bodyLength = int64(rest)
	return parsed + rest, true, nil
}

// holdHead accounts for an unfinished head, and passes on its first bytes.
func (c *Conn) holdHead() error {
	if c.headLength > maxHeadBytes {
		return c.respond("head-size", tooLargeHeadResponse)
	}
	c.ready = min(earlyBytes-c.early, c.scanned)
	c.early += c.ready
	m := c.manager
	m.mu.Lock()
	now := time.Now()
	e := &c.entry
	if e.phase == idle {
		e.enter(inHead, now)
	}
	e.received, e.progressAt = c.headLength, now
	m.ledger.holdHead(e, int64(cap(c.pending))-e.headBytes)
	if e.phase == served {
		// The server looks for the next request while this one is served, and does not wait.
		m.mu.Unlock()
		return nil
	}
	m.close(m.ledger.trimHeads(nil, now), "heads")
	m.awaitMemory(c)
	return nil
}

// finishHead lets the whole head be parsed, if the memory for that is free.
func (c *Conn) finishHead() error {
	m := c.manager
	m.mu.Lock()
	e, now := &c.entry, time.Now()
	if e.closing {
		m.mu.Unlock()
		return c.readError(os.ErrDeadlineExceeded)
	}
	m.ledger.holdHead(e, 2*c.headLength+int64(c.scanner.HeaderLines())*lineOverhead-e.headBytes)
	m.close(m.ledger.trimHeads(e, now), "heads")
	isAdmitted := m.ledger.admitHead(e)
	e.enter(served, now)
	e.requests++
	e.received = c.headLength
	m.mu.Unlock()
	if !isAdmitted {
		return c.respond("heads", noMemoryResponse)
	}
	c.early, c.headLength, c.bodyLength = 0, 0, 0
	return nil
}

// finishRequest is called after the response to a request.
func (c *Conn) finishRequest() {
	c.extendUntil.Store(0)
	m := c.manager
	m.mu.Lock()
	defer m.mu.Unlock()
	e := &c.entry
	m.ledger.holdHead(e, int64(cap(c.pending))-e.headBytes)
	e.received = 0
	e.enter(idle, time.Now())
	m.noteClosable()
}

// readError returns the error of a read. A client whose unfinished head was cut off by the manager
// gets a response first.
func (c *Conn) readError(err error) error {
	if !c.interrupted.Load() {
		return err
	}
	if c.early == 0 {
		return os.ErrDeadlineExceeded
	}
	c.pending, c.scanned, c.ready = nil, 0, 0
	m := c.manager
	m.mu.Lock()
	m.ledger.holdHead(&c.entry, -c.entry.headBytes)
	m.noteRelease()
	m.mu.Unlock()
	return c.respond("", lateHeadResponse)
}

// respond writes a response to a request that no handler has seen and makes reads fail from now on.
// The error is one on which the HTTP server closes the connection without a response. reason is
// empty if it was reported before.
func (c *Conn) respond(reason, response string) error {
	c.rejected = true
	m := c.manager
	if reason != "" {
		metrics.Counter("intake.refused", "door", m.door, "reason", reason).Inc(1)
		m.mu.Lock()
		m.report(&c.entry, reason, "intake: request was refused before its handler; it was not run")
		m.mu.Unlock()
	}
	// The write fails if the client has disconnected or does not read. The connection ends in
	// either case.
	_ = c.Conn.SetWriteDeadline(time.Now().Add(refusalTimeout))
	_, _ = io.WriteString(c.Conn, response)
	return os.ErrDeadlineExceeded
}

// enterTurn waits for a turn if a long body is read. It returns false like await.
func (c *Conn) enterTurn() bool {
	if c.bodyLength <= freeBodyBytes || c.scanner.InHead() {
		return true
	}
	t := c.manager.turnstile
	if turn := t.enter(); turn != nil && !c.await(turn) {
		t.quit(turn)
		return false
	}
	now := time.Now()
	c.turn.Store(&now)
	return true
}

// await waits until done is closed. It returns false if the connection is closed for others or the
// time limit of reads ends before.
func (c *Conn) await(done <-chan struct{}) bool {
	var expired <-chan time.Time
	if deadline := c.readDeadline.Load(); deadline != 0 {
		timer := time.NewTimer(time.Until(clockStart.Add(time.Duration(deadline))))
		defer timer.Stop()
		expired = timer.C
	}
	select {
	case <-done:
		return true
	case <-c.closed:
	case <-expired:
	}
	return false
}

// leaveTurn ends the connection's turn if it has one.
func (c *Conn) leaveTurn() {
	if began := c.turn.Swap(nil); began != nil {
		c.manager.turnstile.leave(time.Since(*began))
	}
}

// SetReadDeadline implements net.Conn. Once the connection is closed for others, its reads fail
// whatever the deadline.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.readDeadline.Store(0)
	if !t.IsZero() {
		c.readDeadline.Store(int64(t.Sub(clockStart)))
	}
	err := c.Conn.SetReadDeadline(t)
	if c.interrupted.Load() {
		return c.Conn.SetReadDeadline(longPast)
	}
	return err
}

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(t time.Time) error {
	if err := c.SetWriteDeadline(t); err != nil {
		return err
	}
	return c.SetReadDeadline(t)
}

// interrupt makes reads fail.
func (c *Conn) interrupt() {
	c.interrupted.Store(true)
	close(c.closed)
	// The call fails only on a closed connection.
	_ = c.Conn.SetReadDeadline(longPast)
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.leaveTurn()
	err := c.Conn.Close()
	m := c.manager
	m.mu.Lock()
	defer m.mu.Unlock()
	m.noteClosable()
	m.ledger.remove(&c.entry)
	m.noteRelease()
	return err
}
