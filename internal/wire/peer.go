package wire

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/greengagegate/greengagegate/internal/fault"
	"github.com/greengagegate/greengagegate/internal/wire/wirepb"
)

// errPoolClosed reports a pool that opens no more sessions.
var errPoolClosed = errors.New("pool closed")

// peer holds the session to one address.
type peer struct {
	address     string
	idleTimeout time.Duration

	mu      sync.Mutex
	session *session
	attempt *attempt
	// failure is why the last attempt failed, and failedAt when.
	failure  error
	failedAt time.Time
}

// attempt is a session being opened. Concurrent callers share it; it goes on
// when they leave.
type attempt struct {
	done chan struct{}
}

// acquire returns the session, opened if need be, with one more use of it. It
// blocks until then, until the attempt has failed, or until ctx ends.
func (c *peer) acquire(ctx context.Context, p *Pool) (*session, error) {
	for {
		c.mu.Lock()
		if c.session != nil && !c.session.mux.IsClosed() {
			defer c.mu.Unlock()
			c.session.use()
			return c.session, nil
		}
		if c.failure != nil && time.Since(c.failedAt) < redialInterval {
			defer c.mu.Unlock()
			return nil, c.failure
		}
		pending := c.startAttempt(p)
		c.mu.Unlock()
		select {
		case <-pending.done:
		case <-ctx.Done():
			return nil, fault.Wrap(ctx.Err(), "dial", c.address)
		}
	}
}

// startAttempt returns the attempt under way, or begins one; c.mu is held.
func (c *peer) startAttempt(p *Pool) *attempt {
	if c.attempt != nil {
		return c.attempt
	}
	pending := &attempt{done: make(chan struct{})}
	c.attempt = pending
	c.session = nil
	c.failure = nil
	go func() {
		defer close(pending.done)
		session, err := p.connect(c.address)
		c.mu.Lock()
		defer c.mu.Unlock()
		c.attempt = nil
		if err == nil && p.ctx.Err() != nil {
			_ = session.mux.Close()
			err = fault.Wrap(errPoolClosed, "dial", c.address)
		}
		if err != nil {
			c.failure, c.failedAt = err, time.Now()
			return
		}
		c.session = session
		c.watchIdle(session)
	}()
	return pending
}

// open starts a stream on an acquired session. Its Close ends the use.
func (c *peer) open(ctx context.Context, s *session, kind wirepb.Kind, requestID string) (*Stream, error) {
	stream, err := s.open(ctx, kind, requestID)
	if err != nil {
		c.release(s)
		return nil, err
	}
	stream.onClose = sync.OnceFunc(func() { c.release(s) })
	return stream, nil
}

// release ends one use of a session.
func (c *peer) release(s *session) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s.uses--
	if s.uses == 0 {
		c.watchIdle(s)
	}
}

// watchIdle closes a session that has no use for the idle time; c.mu is held.
func (c *peer) watchIdle(s *session) {
	s.idle = time.AfterFunc(c.idleTimeout, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if s.uses > 0 {
			return
		}
		if c.session == s {
			c.session = nil
		}
		_ = s.mux.Close()
	})
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

// close ends the session.
func (c *peer) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.session != nil {
		_ = c.session.mux.Close()
		c.session = nil
	}
}
