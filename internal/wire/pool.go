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
	dialTimeout        = 2 * time.Second
	redialInterval     = 500 * time.Millisecond
	defaultIdleTimeout = 2 * time.Minute
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

// Pool keeps one session a peer and opens streams on it. A session without
// streams is closed after a while.
type Pool struct {
	own  *wirepb.Hello
	dial Dialer
	// ctx ends when the pool is closed.
	ctx    context.Context
	cancel context.CancelFunc
	// idleTimeout is how long a session without streams is kept.
	idleTimeout time.Duration

	mu    sync.Mutex
	peers map[string]*peer
}

// NewPool returns a pool that introduces itself with own.
func NewPool(own *wirepb.Hello, dial Dialer) *Pool {
	ctx, cancel := context.WithCancel(context.Background())
	return &Pool{
		own: own, dial: dial, ctx: ctx, cancel: cancel,
		idleTimeout: defaultIdleTimeout, peers: make(map[string]*peer),
	}
}

// Open starts a stream of a kind to the peer at address. It dials when there is
// no session, and fails at once for a short while after a dial that failed.
// Nothing has reached a handler when Open returns an error.
func (p *Pool) Open(ctx context.Context, address string, kind wirepb.Kind, requestID string) (*Stream, error) {
	peer := p.peer(address)
	session, err := peer.acquire(ctx, p)
	if err != nil {
		return nil, err
	}
	stream, err := peer.open(ctx, session, kind, requestID)
	if err == nil {
		return stream, nil
	}
	peer.drop(session)
	session, err = peer.acquire(ctx, p)
	if err != nil {
		return nil, err
	}
	return peer.open(ctx, session, kind, requestID)
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
	p.cancel()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, peer := range p.peers {
		peer.close()
	}
}

func (p *Pool) peer(address string) *peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	found, ok := p.peers[address]
	if !ok {
		found = &peer{address: address, idleTimeout: p.idleTimeout}
		p.peers[address] = found
	}
	return found
}

// connect opens a session, in bounded time.
func (p *Pool) connect(address string) (*session, error) {
	ctx, cancel := context.WithTimeout(p.ctx, dialTimeout)
	defer cancel()
	conn, err := p.dial(ctx, address)
	if err != nil {
		return nil, fault.Wrap(err, "dial", address)
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	return newSession(conn, cloneHello(p.own), address)
}
