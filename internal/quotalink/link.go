// Package quotalink carries requests of package quota over the inner protocol. It
// uses one long-lived stream per peer and numbers the requests, so that replies
// may arrive in any order.
package quotalink

import (
	"context"
	"hash/fnv"
	"strconv"
	"sync"

	"github.com/greengagegate/greengagegate/internal/fault"
	"github.com/greengagegate/greengagegate/internal/wire"
	"github.com/greengagegate/greengagegate/internal/wire/wirepb"
	"github.com/greengagegate/greengagegate/quota"
)

// Transport implements quota.Transport over a pool of sessions. It is safe for
// concurrent use.
type Transport struct {
	sessions *wire.Pool
	// All streams are closed when ctx ends.
	ctx context.Context

	mu    sync.Mutex
	links map[string]*link
}

// NewTransport returns a transport whose streams close when ctx ends.
func NewTransport(ctx context.Context, sessions *wire.Pool) *Transport {
	return &Transport{sessions: sessions, ctx: ctx, links: make(map[string]*link)}
}

// Call implements quota.Transport. It also blocks until the stream to the peer is
// open. After the stream has failed, the next call opens a new one.
func (t *Transport) Call(ctx context.Context, address string, request *quota.Request) (*quota.Reply, error) {
	return t.link(address).call(ctx, request)
}

// link returns the link to a peer. If there is none or it has failed, link starts a
// new one without waiting for its stream to open.
func (t *Transport) link(address string) *link {
	t.mu.Lock()
	defer t.mu.Unlock()
	if found := t.links[address]; found != nil && !found.hasFailed() {
		return found
	}
	created := &link{address: address, opened: make(chan struct{}), failed: make(chan struct{}), pending: make(map[uint64]chan *quota.Reply)}
	t.links[address] = created
	go created.run(t.ctx, t.sessions)
	return created
}

// link opens one stream to a peer and sends requests on it. A single goroutine
// reads the replies.
type link struct {
	address string
	// opened is closed when stream is set.
	opened chan struct{}
	// failed is closed after err was set and the link can no longer be used.
	failed chan struct{}

	mu         sync.Mutex
	stream     *wire.Stream
	err        error
	lastNumber uint64
	pending    map[uint64]chan *quota.Reply
}

func (l *link) hasFailed() bool {
	select {
	case <-l.failed:
		return true
	default:
		return false
	}
}

// run opens the stream and delivers replies until the stream fails.
func (l *link) run(ctx context.Context, sessions *wire.Pool) {
	defer close(l.failed)
	stream, err := sessions.Open(ctx, l.address, wirepb.Kind_KIND_QUOTA, "")
	if err != nil {
		l.fail(err)
		return
	}
	defer func() { _ = stream.Close() }()
	l.mu.Lock()
	l.stream = stream
	l.mu.Unlock()
	close(l.opened)
	for {
		reply := new(wirepb.QuotaReply)
		if err := stream.Recv(reply); err != nil {
			l.fail(err)
			return
		}
		l.deliver(reply)
	}
}

func (l *link) fail(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.err = err
}

// deliver passes a reply to the call that waits for it. It drops replies to calls
// that have already returned.
func (l *link) deliver(reply *wirepb.QuotaReply) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if result := l.pending[reply.Number]; result != nil {
		result <- DecodeReply(reply)
		delete(l.pending, reply.Number)
	}
}

// call sends a request and blocks until the reply arrives, the link fails or ctx ends.
func (l *link) call(ctx context.Context, request *quota.Request) (*quota.Reply, error) {
	select {
	case <-l.opened:
	case <-l.failed:
		return nil, l.lastError()
	case <-ctx.Done():
		return nil, fault.Wrap(ctx.Err(), "open quota stream", l.address)
	}
	number, result, err := l.send(request)
	if err != nil {
		return nil, err
	}
	defer l.removePending(number)
	select {
	case reply := <-result:
		return reply, nil
	case <-l.failed:
		return nil, l.lastError()
	case <-ctx.Done():
		return nil, fault.Wrap(ctx.Err(), "await quota reply", l.address)
	}
}

// send writes a request to the stream and returns its number and the channel that
// receives its reply, buffered so that deliver does not block. It closes the stream
// on an error. The stream must be open.
func (l *link) send(request *quota.Request) (uint64, chan *quota.Reply, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastNumber++
	result := make(chan *quota.Reply, 1)
	l.pending[l.lastNumber] = result
	if err := l.stream.Send(EncodeRequest(l.lastNumber, request)); err != nil {
		delete(l.pending, l.lastNumber)
		_ = l.stream.Close()
		return 0, nil, err
	}
	return l.lastNumber, result, nil
}

func (l *link) removePending(number uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.pending, number)
}

func (l *link) lastError() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.err
}

// Handler answers a peer's request. It may block, and is called concurrently.
type Handler func(ctx context.Context, request *quota.Request) *quota.Reply

// Server answers quota requests that peers send on their streams.
type Server struct {
	handle Handler
	ctx    context.Context
	cancel context.CancelFunc
}

// NewServer returns a server that answers requests with handle.
func NewServer(handle Handler) *Server {
	ctx, cancel := context.WithCancel(context.Background())
	return &Server{handle: handle, ctx: ctx, cancel: cancel}
}

// Register adds the handler for quota streams to a wire server.
func (s *Server) Register(server *wire.Server) {
	server.Handle(wirepb.Kind_KIND_QUOTA, s.serve)
}

// Close closes all streams. It does not wait for running handlers.
func (s *Server) Close() { s.cancel() }

// serve answers the requests of one stream, each in its own goroutine, until the
// peer or the server closes the stream.
func (s *Server) serve(ctx context.Context, request wire.Request, stream *wire.Stream) {
	stop := context.AfterFunc(s.ctx, func() { _ = stream.Close() })
	defer stop()
	borrower := borrowerID(request.Peer)
	var sendMu sync.Mutex
	for {
		message := new(wirepb.QuotaRequest)
		if err := stream.Recv(message); err != nil {
			return
		}
		go func() {
			reply := s.handle(ctx, DecodeRequest(message, borrower))
			sendMu.Lock()
			defer sendMu.Unlock()
			if err := stream.Send(EncodeReply(message.Number, reply)); err != nil {
				_ = stream.Close()
			}
		}()
	}
}

// borrowerID returns a nonzero number that identifies one incarnation of a peer.
func borrowerID(peer *wirepb.Hello) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(peer.Process + "/" + strconv.FormatUint(peer.Incarnation, 10)))
	return h.Sum64() | 1
}
