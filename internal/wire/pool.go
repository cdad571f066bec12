package wire

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/greengagegate/greengagegate/internal/fault"
	"github.com/greengagegate/greengagegate/internal/wire/wirepb"
)

const (
	dialTimeout    = 2 * time.Second
	redialInterval = 500 * time.Millisecond
)

// Dialer opens connections to peers.
type Dialer func(ctx context.Context, address string) (net.Conn, error)

// NewDialer returns a dialer for TCP that binds localIP when it is not empty.
func NewDialer(localIP string) Dialer {
	dialer := &net.Dialer{Timeout: dialTimeout}
	if localIP != "" {
		dialer.LocalAddr = &net.TCPAddr{IP: net.ParseIP(localIP)}
	}
	return func(ctx context.Context, address string) (net.Conn, error) {
		return dialer.DialContext(ctx, "tcp", address)
	}
}

// Pool keeps one session a peer and opens streams on it.
type Pool struct {
	own  *wirepb.Hello
	dial Dialer

	mu    sync.Mutex
	peers map[string]*peer
}

// peer holds the session to one address. Its mutex is held while dialing, so
// that concurrent callers share one attempt.
type peer struct {
	mu       sync.Mutex
	session  *session
	failedAt time.Time
	failure  error
}

// NewPool returns a pool that introduces itself with own.
func NewPool(own *wirepb.Hello, dial Dialer) *Pool {
	return &Pool{own: own, dial: dial, peers: make(map[string]*peer)}
}

// Open starts a stream of a kind to the peer at address. It dials when there is
// no session, and fails at once for a short while after a dial that failed.
// Nothing has reached a handler when Open returns an error.
func (p *Pool) Open(ctx context.Context, address string, kind wirepb.Kind, requestID string) (*Stream, error) {
	peer := p.peer(address)
	session, err := peer.connect(ctx, p, address)
	if err != nil {
		return nil, err
	}
	stream, err := session.open(ctx, kind, requestID)
	if err == nil {
		return stream, nil
	}
	peer.drop(session)
	session, err = peer.connect(ctx, p, address)
	if err != nil {
		return nil, err
	}
	return session.open(ctx, kind, requestID)
}

// Hello returns the Hello of the peer at address, or nil without a session.
func (p *Pool) Hello(address string) *wirepb.Hello {
	peer := p.peer(address)
	peer.mu.Lock()
	defer peer.mu.Unlock()
	if peer.session == nil {
		return nil
	}
	return peer.session.hello
}

// Close ends every session.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, peer := range p.peers {
		peer.mu.Lock()
		if peer.session != nil {
			_ = peer.session.mux.Close()
			peer.session = nil
		}
		peer.mu.Unlock()
	}
}

func (p *Pool) peer(address string) *peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	found, ok := p.peers[address]
	if !ok {
		found = new(peer)
		p.peers[address] = found
	}
	return found
}

func (c *peer) connect(ctx context.Context, p *Pool, address string) (*session, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.session != nil && !c.session.mux.IsClosed() {
		return c.session, nil
	}
	if c.failure != nil && time.Since(c.failedAt) < redialInterval {
		return nil, c.failure
	}
	c.session = nil
	conn, err := p.dial(ctx, address)
	if err != nil {
		c.fail(fault.Wrap(err, "dial", address))
		return nil, c.failure
	}
	session, err := newSession(conn, cloneHello(p.own), address)
	if err != nil {
		c.fail(err)
		return nil, err
	}
	c.failure = nil
	c.session = session
	return session, nil
}

func (c *peer) fail(err error) {
	c.failure = err
	c.failedAt = time.Now()
}

// drop forgets a session that takes no new streams. Streams in flight on it go
// on until the peer ends them.
func (c *peer) drop(s *session) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.session == s {
		c.session = nil
	}
}
