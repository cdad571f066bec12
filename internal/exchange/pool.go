package exchange

import (
	"bufio"
	"context"
	"errors"
	"math"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/greengagegate/greengagegate/internal/fault"
	"github.com/greengagegate/greengagegate/internal/metrics"
	"golang.org/x/sys/unix"
)

const (
	// dialTimeout bounds the opening of a connection; a host without power does not answer.
	dialTimeout = 400 * time.Millisecond
	// unackedTimeout ends a connection whose peer acknowledges nothing that was sent.
	unackedTimeout = time.Second
	// defaultIdle is how long a connection is kept whose upstream tells no timeout.
	// Such timeouts are below a second.
	defaultIdle = 400 * time.Millisecond
	// maxRestOnce is how long a connection may have rested that is used for a request
	// which may not be repeated. An upstream may forget a connection without notice;
	// whether such a request ran could not be told then.
	maxRestOnce = 100 * time.Millisecond
	// forgottenFor is how long all requests avoid connections that rested, after two
	// upstreams were found to forget them.
	forgottenFor = 30 * time.Second
	// resetWithin is how soon a forgotten connection is reset after something was sent.
	resetWithin = 50 * time.Millisecond
	// idleMargin is subtracted from a timeout that the upstream tells in whole seconds.
	idleMargin = 300 * time.Millisecond
	// maxIdle is how long a connection is kept at the most.
	maxIdle = 30 * time.Second
	// readBuffer holds the head of an answer or a few events.
	readBuffer = 4 << 10
)

// keepAliveProbes find idle connections that went silent.
var keepAliveProbes = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}

// boundSilence makes writes fail whose peer acknowledges nothing.
func boundSilence(connection net.Conn) {
	tcp, ok := connection.(*net.TCPConn)
	if !ok {
		return
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	// A refusal leaves the keep-alive probes in force, which find silence later.
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
}

// Pool keeps connections to upstreams, the last used first.
type Pool struct {
	mu   sync.Mutex
	idle map[string][]*conn
	// open counts the connections to each address, idle ones included.
	open map[string]int
	// forgottenUntil is how long connections that rested are not trusted.
	forgottenUntil time.Time
	// forgotAddress is the upstream that forgot a connection last, at forgotAt.
	forgotAddress string
	forgotAt      time.Time
}

// NewPool returns an empty pool.
func NewPool() *Pool {
	return &Pool{idle: make(map[string][]*conn), open: make(map[string]int)}
}

// conn is a connection to an upstream, used by one exchange at a time.
type conn struct {
	pool    *Pool
	address string
	net     net.Conn
	reader  *bufio.Reader
	// uses counts the exchanges that were completed.
	uses int
	// since is when the connection began to rest, expires when it is closed then.
	since   time.Time
	expires time.Time
	// rested is how long it rested before the exchange that it is used for.
	rested time.Duration
	closed atomic.Bool
}

// abort ends an exchange at once.
func (c *conn) abort() { _ = c.net.Close() }

// Connections returns the number of connections, and of those that are idle.
func (p *Pool) Connections() (open, idle int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, count := range p.open {
		open += count
	}
	for _, list := range p.idle {
		idle += len(list)
	}
	return open, idle
}

// take returns an idle connection that is still sound, or a new one.
func (p *Pool) take(ctx context.Context, address string, atMostOnce bool) (*conn, error) {
	rested := p.maxRest(atMostOnce)
	for c := p.pop(address, rested); c != nil; c = p.pop(address, rested) {
		if time.Now().Before(c.expires) && c.quiet() {
			return c, nil
		}
		c.discard()
	}
	return p.connect(ctx, address)
}

// maxRest is how long a connection may have rested to be used again.
func (p *Pool) maxRest(atMostOnce bool) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if atMostOnce || time.Now().Before(p.forgottenUntil) {
		return maxRestOnce
	}
	return forever
}

// noteLost notes that an exchange failed without an answer. A connection that had
// rested and is reset at once was forgotten by its upstream. When that happens at
// two upstreams, others may have forgotten theirs as well; at one it may have been
// its crash.
func (p *Pool) noteLost(c *conn, took time.Duration, cause error) {
	reset := errors.Is(cause, unix.ECONNRESET) || errors.Is(cause, unix.EPIPE)
	if !reset || took > resetWithin || c.uses == 0 || c.rested <= maxRestOnce {
		return
	}
	metrics.Counter("exchange.connections_forgotten").Inc(1)
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if p.forgotAddress != c.address && now.Sub(p.forgotAt) < forgottenFor {
		p.forgottenUntil = now.Add(forgottenFor)
	}
	p.forgotAddress, p.forgotAt = c.address, now
}

// connect opens a connection.
func (p *Pool) connect(ctx context.Context, address string) (*conn, error) {
	connection, err := dial(ctx, address)
	if err != nil {
		return nil, err
	}
	metrics.Counter("exchange.connections_opened").Inc(1)
	p.mu.Lock()
	p.open[address]++
	p.mu.Unlock()
	return &conn{pool: p, address: address, net: connection, reader: bufio.NewReaderSize(connection, readBuffer)}, nil
}

// Probe opens a connection to an address and keeps it for the next exchange.
func (p *Pool) Probe(ctx context.Context, address string) error {
	c, err := p.connect(ctx, address)
	if err != nil {
		return fault.Wrap(err, "probe", address)
	}
	c.keep(0)
	c.uses = 0
	return nil
}

// pop removes the connection to an address that was used last, if it has not
// rested for longer than a time.
func (p *Pool) pop(address string, rested time.Duration) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	if c.rested = time.Since(c.since); c.rested > rested {
		return nil
	}
	list[len(list)-1] = nil
	p.idle[address] = list[:len(list)-1]
	return c
}

// keep makes the connection available again. timeout is what the upstream told.
func (c *conn) keep(timeout time.Duration) {
	c.uses++
	if err := c.net.SetReadDeadline(time.Time{}); err != nil {
		c.discard()
		return
	}
	idle := defaultIdle
	if timeout > 0 {
		idle = min(timeout-idleMargin, maxIdle)
	}
	c.since = time.Now()
	c.expires = c.since.Add(idle)
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.pool.idle[c.address] = append(c.pool.idle[c.address], c)
}

// discard closes the connection. It is safe to call more than once.
func (c *conn) discard() {
	if c.closed.Swap(true) {
		return
	}
	_ = c.net.Close()
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	if c.pool.open[c.address]--; c.pool.open[c.address] <= 0 {
		delete(c.pool.open, c.address)
	}
}

// quiet reports whether the upstream has neither closed the connection nor sent
// anything on it since its last answer.
func (c *conn) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	tcp, ok := c.net.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, peekErr := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = peekErr == unix.EAGAIN
		return true
	})
	return err == nil && quiet
}

// Sweep closes connections that have been idle for too long. Callers repeat it.
func (p *Pool) Sweep() {
	now := time.Now()
	var expired []*conn
	p.mu.Lock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.expires) {
				kept = append(kept, c)
				continue
			}
			expired = append(expired, c)
		}
		clear(list[len(kept):])
		if len(kept) == 0 {
			delete(p.idle, address)
			continue
		}
		p.idle[address] = kept
	}
	p.mu.Unlock()
	for _, c := range expired {
		c.discard()
	}
}

// CloseIdle closes the idle connections to an address, whose upstream is gone.
func (p *Pool) CloseIdle(address string) {
	for c := p.pop(address, forever); c != nil; c = p.pop(address, forever) {
		c.discard()
	}
}

// forever is longer than any connection rests.
const forever = time.Duration(math.MaxInt64)
