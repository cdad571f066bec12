package wire

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/greengagegate/greengagegate/internal/fault"
	"github.com/greengagegate/greengagegate/internal/wire/wirepb"
)

// errPoolClosed is returned for a session that was opened while the pool was being closed.
var errPoolClosed = errors.New("pool closed")

// peer holds the session to one address and the dial that opens it. mu guards
// session, dialing, dialErr and dialFailedAt, and the use count and idle timer
// of each session that was opened to the address.
type peer struct {
	address     string
	idleTimeout time.Duration

	mu      sync.Mutex
	session *session
	dialing *pendingDial
	// dialErr is the error of the last dial, which failed at dialFailedAt. It is
	// nil once another dial has begun.
	dialErr      error
	dialFailedAt time.Time
}

// pendingDial is a session that is being opened. Concurrent callers share it, and
// it continues when their contexts end.
type pendingDial struct {
	// done is closed when the session is open or the dial has failed.
	done chan struct{}
}

// acquire returns the session and adds a use to it, which the caller must
// release. Without a session it starts a dial, or joins the pending one, and
// blocks until the dial is done or ctx ends. Within redialInterval after a failed
// dial it returns the error of that dial at once.
func (p *peer) acquire(ctx context.Context, pool *Pool) (*session, error) {
	for {
		p.mu.Lock()
		if p.session != nil && !p.session.mux.IsClosed() {
			defer p.mu.Unlock()
			p.session.addUse()
			return p.session, nil
		}
		if p.dialErr != nil && time.Since(p.dialFailedAt) < redialInterval {
			defer p.mu.Unlock()
			return nil, p.dialErr
		}
		pending := p.joinDial(pool)
		p.mu.Unlock()
		select {
		case <-pending.done:
		case <-ctx.Done():
			return nil, fault.Wrap(ctx.Err(), "dial", p.address)
		}
	}
}

// joinDial returns the pending dial, or starts one. It must be called with p.mu held.
func (p *peer) joinDial(pool *Pool) *pendingDial {
	if p.dialing != nil {
		return p.dialing
	}
	pending := &pendingDial{done: make(chan struct{})}
	p.dialing = pending
	p.session = nil
	p.dialErr = nil
	go func() {
		defer close(pending.done)
		session, err := pool.connect(p.address)
		p.mu.Lock()
		defer p.mu.Unlock()
		p.dialing = nil
		if err == nil && pool.ctx.Err() != nil {
			_ = session.mux.Close()
			err = fault.Wrap(errPoolClosed, "dial", p.address)
		}
		if err != nil {
			p.dialErr, p.dialFailedAt = err, time.Now()
			return
		}
		p.session = session
		p.startIdleTimer(session)
	}()
	return pending
}

// open starts a stream on an acquired session. The use is released when the stream
// is closed, or before open returns an error.
func (p *peer) open(ctx context.Context, s *session, kind wirepb.Kind, requestID string) (*Stream, error) {
	stream, err := s.open(ctx, kind, requestID)
	if err != nil {
		p.release(s)
		return nil, err
	}
	stream.onClose = sync.OnceFunc(func() { p.release(s) })
	return stream, nil
}

// release removes a use from a session. The last one starts the idle timer.
func (p *peer) release(s *session) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s.uses--
	if s.uses == 0 {
		p.startIdleTimer(s)
	}
}

// startIdleTimer closes a session if nothing uses it for idleTimeout. It must be
// called with p.mu held.
func (p *peer) startIdleTimer(s *session) {
	s.idleTimer = time.AfterFunc(p.idleTimeout, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		if s.uses > 0 {
			return
		}
		if p.session == s {
			p.session = nil
		}
		_ = s.mux.Close()
	})
}

// drop removes a session that accepts no new streams, so that acquire opens
// another one. Its streams in flight continue until the peer ends them.
func (p *peer) drop(s *session) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.session == s {
		p.session = nil
	}
}

// close closes the current session, which ends its streams. Sessions that drop has
// removed stay open.
func (p *peer) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.session != nil {
		_ = p.session.mux.Close()
		p.session = nil
	}
}
