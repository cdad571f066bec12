package exchange

import (
	"bufio"
	"context"
	"errors"
	"math"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/greengagegate/greengagegate/internal/bootclock"
	"github.com/greengagegate/greengagegate/internal/fault"
	"github.com/greengagegate/greengagegate/internal/loglimit"
	"github.com/greengagegate/greengagegate/internal/metrics"
	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"
)

const (
	// dialTimeout limits the time to open a connection. It is short because a connection
	// attempt to a host without power ends only by timeout.
	dialTimeout = 400 * time.Millisecond
	// unackedTimeout is how long sent data may stay unacknowledged before the
	// connection fails.
	unackedTimeout = time.Second
	// silenceTimeout replaces unackedTimeout where a sound upstream may acknowledge nothing
	// for a while: while it reads a body that its buffers do not hold, and during responses
	// that tolerate silence.
	silenceTimeout = 4 * time.Second
	// defaultIdleTimeout is how long a connection is kept idle if the upstream does not
	// report a timeout. Timeouts are reported in whole seconds, so an upstream whose
	// timeout is below a second cannot report it.
	defaultIdleTimeout = 400 * time.Millisecond
	// atMostOnceIdleLimit is the maximum idle time of a connection that is used for a
	// request which must not be repeated. An upstream may drop an idle connection
	// without closing it. After that, it is unknown whether a request sent on the
	// connection ran.
	atMostOnceIdleLimit = 100 * time.Millisecond
	// avoidIdleFor is how long all requests avoid connections that were idle for more than
	// atMostOnceIdleLimit, after two upstreams were found to drop idle connections.
	avoidIdleFor = 30 * time.Second
	// dropResetWindow is the time after sending a request within which the host of the
	// upstream resets a connection that it had dropped. A later reset is not taken for a
	// drop.
	dropResetWindow = 50 * time.Millisecond
	// idleTimeoutMargin is subtracted from the upstream's timeout, which is reported in
	// whole seconds.
	idleTimeoutMargin = 300 * time.Millisecond
	// maxIdleTimeout is the maximum time that a connection is kept idle.
	maxIdleTimeout = 30 * time.Second
	// readBufferBytes is enough for the head of a response or a few events.
	readBufferBytes = 4 << 10
)

// keepAliveConfig makes the kernel probe idle connections and close those whose host does
// not respond within about 3 s.
var keepAliveConfig = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}

// limitUnacked makes the connection fail when the upstream's host does not acknowledge sent
// data or keep-alive probes within the timeout. Errors are ignored.
func (c *conn) limitUnacked(timeout time.Duration) {
	if c.unackedLimit == timeout {
		return
	}
	c.unackedLimit = timeout
	raw, ok := c.rawConn()
	if !ok {
		return
	}
	// If the option cannot be set, the keep-alive probes still detect an unresponsive
	// host, only later.
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
}

// Pool keeps idle connections to upstreams and reuses the most recently used one
// first. It is safe for concurrent use.
type Pool struct {
	log   zerolog.Logger
	lines *loglimit.Limiter

	mu   sync.Mutex
	idle map[string][]*conn
	// open counts the connections to each address, including idle ones.
	open map[string]int
	// avoidIdleUntil is the time until which all requests avoid connections that were idle
	// for more than atMostOnceIdleLimit.
	avoidIdleUntil time.Time
	// lastDropAddress is the upstream that most recently dropped an idle connection, at
	// lastDropAt.
	lastDropAddress string
	lastDropAt      time.Time
}

// NewPool returns an empty pool.
func NewPool(log zerolog.Logger) *Pool {
	return &Pool{
		log: log, lines: loglimit.New(log, "exchange", maxLinesPerSecond),
		idle: make(map[string][]*conn), open: make(map[string]int),
	}
}

// conn is a connection to an upstream, used by one exchange at a time.
type conn struct {
	pool    *Pool
	address string
	netConn net.Conn
	// openedAt is when the connection was open.
	openedAt bootclock.Instant
	// bounded is the source of reader.
	bounded *boundedReader
	reader  *bufio.Reader
	// unackedLimit is the timeout that limitUnacked has set, or 0.
	unackedLimit time.Duration
	// uses counts the completed exchanges.
	uses    int
	carried carried
	// lastID is the ID of the last request, and responseID its Request.ResponseID.
	lastID     string
	responseID func(http.Header) string
	// idleSince is when the connection became idle; expires is when it is closed if it is
	// still idle.
	idleSince time.Time
	expires   time.Time
	// idleTime is how long the connection was idle before the current exchange.
	idleTime  time.Duration
	discarded atomic.Bool
}

// rawConn returns the TCP connection for system calls; ok is false if it is none or closed.
func (c *conn) rawConn() (raw syscall.RawConn, ok bool) {
	tcp, ok := c.netConn.(*net.TCPConn)
	if !ok {
		return nil, false
	}
	raw, err := tcp.SyscallConn()
	return raw, err == nil
}

// abort closes the network connection, so that the current exchange fails. It does
// not update the pool's counters; discard does.
func (c *conn) abort() { _ = c.netConn.Close() }

// Connections returns the number of open connections, including idle ones, and the
// number of idle ones.
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

// acquire returns a healthy idle connection for the request or, if there is none, a new one.
// Idle connections that expired, are not healthy or have carried the request are closed. A
// HEAD request gets a connection of its own: where the body of a late response ends depends on
// the method of its request.
func (p *Pool) acquire(ctx context.Context, address string, request *Request) (*conn, error) {
	if request.Method == http.MethodHead {
		return p.connect(ctx, address)
	}
	idleLimit := p.idleLimit(request.AtMostOnce)
	for c := p.popIdle(address, idleLimit); c != nil; c = p.popIdle(address, idleLimit) {
		state := c.idleState()
		hasCarried := c.carried.has(request.ID)
		if state == healthy && !hasCarried && time.Now().Before(c.expires) {
			return c, nil
		}
		if hasCarried {
			c.reportCarried(request.ID)
		}
		c.retire(state)
	}
	return p.connect(ctx, address)
}

// idleLimit returns the idle time above which a connection is not reused.
func (p *Pool) idleLimit(atMostOnce bool) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if atMostOnce || time.Now().Before(p.avoidIdleUntil) {
		return atMostOnceIdleLimit
	}
	return noIdleLimit
}

// detectDrop is called when an exchange failed without a response and checks whether the
// upstream had dropped the idle connection: the connection was idle and was reset
// shortly after the request was sent. After drops at two upstreams within
// avoidIdleFor, others may have dropped connections as well, and all requests avoid
// connections that were idle for more than atMostOnceIdleLimit. A drop at only one
// upstream may be due to its crash.
func (p *Pool) detectDrop(c *conn, elapsed time.Duration, cause error) {
	reset := errors.Is(cause, unix.ECONNRESET) || errors.Is(cause, unix.EPIPE)
	if !reset || elapsed > dropResetWindow || c.uses == 0 || c.idleTime <= atMostOnceIdleLimit {
		return
	}
	metrics.Counter("exchange.connections_forgotten").Inc(1)
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if p.lastDropAddress != c.address && now.Sub(p.lastDropAt) < avoidIdleFor {
		p.avoidIdleUntil = now.Add(avoidIdleFor)
	}
	p.lastDropAddress, p.lastDropAt = c.address, now
}

// connect opens a connection and adds it to the count of open ones.
func (p *Pool) connect(ctx context.Context, address string) (*conn, error) {
	netConn, err := dial(ctx, address)
	if err != nil {
		return nil, err
	}
	metrics.Counter("exchange.connections_opened").Inc(1)
	p.mu.Lock()
	p.open[address]++
	p.mu.Unlock()
	bounded := &boundedReader{source: netConn, left: unbounded}
	return &conn{pool: p, address: address, netConn: netConn, openedAt: bootclock.Now(), bounded: bounded, reader: bufio.NewReaderSize(bounded, readBufferBytes)}, nil
}

// Probe opens a connection to an address and keeps it idle for the next exchange.
func (p *Pool) Probe(ctx context.Context, address string) error {
	c, err := p.connect(ctx, address)
	if err != nil {
		return fault.Wrap(err, "probe", address)
	}
	c.release(0)
	return nil
}

// RefusedConnection opens a connection to an address, closes it, and returns the error if the
// host refuses the connection, because no process listens there. It returns nil if the host
// accepts it or cannot be reached.
func RefusedConnection(ctx context.Context, address string) error {
	netConn, err := dial(ctx, address)
	if err == nil {
		_ = netConn.Close()
		return nil
	}
	if !errors.Is(err, unix.ECONNREFUSED) {
		return nil
	}
	return fault.Wrap(err, "check", address)
}

// popIdle removes and returns the most recently used idle connection to an address. It
// returns nil if there is none or it was idle for more than idleLimit.
func (p *Pool) popIdle(address string, idleLimit time.Duration) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	if c.idleTime = time.Since(c.idleSince); c.idleTime > idleLimit {
		return nil
	}
	list[len(list)-1] = nil
	p.idle[address] = list[:len(list)-1]
	return c
}

// release puts the connection back into the pool, or closes it if its deadline cannot be
// cleared. reported is the idle timeout that the
// upstream reported, or 0.
func (c *conn) release(reported time.Duration) {
	if err := c.netConn.SetReadDeadline(time.Time{}); err != nil {
		c.discard()
		return
	}
	idleTimeout := defaultIdleTimeout
	if reported > 0 {
		idleTimeout = min(reported-idleTimeoutMargin, maxIdleTimeout)
	}
	c.idleSince = time.Now()
	c.expires = c.idleSince.Add(idleTimeout)
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.pool.idle[c.address] = append(c.pool.idle[c.address], c)
}

// discard closes the connection and removes it from the count of open ones. It may be
// called more than once.
func (c *conn) discard() {
	if c.discarded.Swap(true) {
		return
	}
	_ = c.netConn.Close()
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	if c.pool.open[c.address]--; c.pool.open[c.address] <= 0 {
		delete(c.pool.open, c.address)
	}
}

// Sweep closes idle connections that have expired. It must be called periodically.
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
		c.retire(c.idleState())
	}
}

// CloseIdle closes the idle connections to an address. It is called when the
// upstream at the address is removed.
func (p *Pool) CloseIdle(address string) {
	for c := p.popIdle(address, noIdleLimit); c != nil; c = p.popIdle(address, noIdleLimit) {
		c.retire(c.idleState())
	}
}

// noIdleLimit is an idle time limit that no connection reaches.
const noIdleLimit = time.Duration(math.MaxInt64)
