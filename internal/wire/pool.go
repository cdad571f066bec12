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
	// dialTimeout bounds the connect and the Hello exchange of a new session on the
	// dialing side. helloTimeout, which is longer, has no effect on that side.
	dialTimeout = 2 * time.Second
	// redialInterval is the time for which Open returns the error of a failed dial
	// without dialing again.
	redialInterval     = 500 * time.Millisecond
	defaultIdleTimeout = 2 * time.Minute
)

// Dialer opens a connection to the peer at address. It returns when ctx ends.
type Dialer func(ctx context.Context, address string) (net.Conn, error)

// NewDialer returns a TCP dialer. Its connections originate from localIP unless
// localIP is empty.
func NewDialer(localIP string) Dialer {
	dialer := &net.Dialer{Timeout: dialTimeout}
	if localIP != "" {
		dialer.LocalAddr = &net.TCPAddr{IP: net.ParseIP(localIP)}
	}
	return func(ctx context.Context, address string) (net.Conn, error) {
		return dialer.DialContext(ctx, "tcp", address)
	}
}

// Pool is a pool of sessions to peers; exchange.Pool holds the connections to
// upstreams. It keeps one session to each peer and opens streams on it. It closes
// sessions without streams after two minutes. It is safe for concurrent use.
type Pool struct {
	localHello *wirepb.Hello
	dial       Dialer
	// ctx is canceled when the pool is closed.
	ctx    context.Context
	cancel context.CancelFunc
	// idleTimeout is how long a session without streams is kept.
	idleTimeout time.Duration

	mu    sync.Mutex
	peers map[string]*peer
}

// NewPool returns a pool that sends localHello to each peer.
func NewPool(localHello *wirepb.Hello, dial Dialer) *Pool {
	ctx, cancel := context.WithCancel(context.Background())
	return &Pool{
		localHello: localHello, dial: dial, ctx: ctx, cancel: cancel,
		idleTimeout: defaultIdleTimeout, peers: make(map[string]*peer),
	}
}

// Open starts a stream of a kind to the peer at address. Without a session it
// dials and blocks until the session is open, the dial has failed or ctx ends. For
// 500 ms after a failed dial it returns the error of that dial at once. ctx also
// bounds the stream: when ctx ends, the stream's reads and writes fail. No handler
// has received anything when Open returns an error.
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

// Hello returns the Hello that the peer at address sent, or nil when there is no
// session to it. It also returns the Hello of a session that has broken, until the
// next Open or the end of the idle timeout.
func (p *Pool) Hello(address string) *wirepb.Hello {
	peer := p.peer(address)
	peer.mu.Lock()
	defer peer.mu.Unlock()
	if peer.session == nil {
		return nil
	}
	return peer.session.hello
}

// Close closes the current session to each peer, which ends its streams, and cancels
// pending dials. It leaves open a session that accepts no new streams and was
// replaced; such a session closes once it has been idle.
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

// connect opens a session. It returns after dialTimeout at the latest, also when
// the peer accepts the connection and sends no Hello.
func (p *Pool) connect(address string) (*session, error) {
	ctx, cancel := context.WithTimeout(p.ctx, dialTimeout)
	defer cancel()
	conn, err := p.dial(ctx, address)
	if err != nil {
		return nil, fault.Wrap(err, "dial", address)
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	return newSession(conn, cloneHello(p.localHello), address)
}
