// Package quotalink carries quota's requests over the inner protocol, on one
// long-lived stream a peer.
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

// Transport implements quota.Transport over a pool of sessions.
type Transport struct {
	pool *wire.Pool
	// ctx bounds the life of all streams.
	ctx context.Context

	mu    sync.Mutex
	links map[string]*link
}

// NewTransport returns a transport whose streams end with ctx.
func NewTransport(ctx context.Context, pool *wire.Pool) *Transport {
	return &Transport{pool: pool, ctx: ctx, links: make(map[string]*link)}
}

// Call implements quota.Transport.
func (t *Transport) Call(ctx context.Context, address string, request *quota.Request) (*quota.Reply, error) {
	return t.link(address).call(ctx, request)
}

// link returns the usable link to a peer and opens one when there is none.
func (t *Transport) link(address string) *link {
	t.mu.Lock()
	defer t.mu.Unlock()
	if found := t.links[address]; found != nil && !found.broken() {
		return found
	}
	created := &link{address: address, opened: make(chan struct{}), lost: make(chan struct{}), pending: make(map[uint64]chan *quota.Reply)}
	t.links[address] = created
	go created.run(t.ctx, t.pool)
	return created
}

// link is one stream to a peer. One task reads its replies.
type link struct {
	address string
	// opened is closed when stream is set, lost when the link has ended with err.
	opened chan struct{}
	lost   chan struct{}

	mu      sync.Mutex
	stream  *wire.Stream
	err     error
	number  uint64
	pending map[uint64]chan *quota.Reply
}

func (l *link) broken() bool {
	select {
	case <-l.lost:
		return true
	default:
		return false
	}
}

// run opens the stream and delivers replies until it breaks.
func (l *link) run(ctx context.Context, pool *wire.Pool) {
	defer close(l.lost)
	stream, err := pool.Open(ctx, l.address, wirepb.Kind_KIND_QUOTA, "")
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

// deliver hands a reply to its caller. Replies to calls that have ended are dropped.
func (l *link) deliver(reply *wirepb.QuotaReply) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if waiting := l.pending[reply.Number]; waiting != nil {
		waiting <- DecodeReply(reply)
		delete(l.pending, reply.Number)
	}
}

func (l *link) call(ctx context.Context, request *quota.Request) (*quota.Reply, error) {
	select {
	case <-l.opened:
	case <-l.lost:
		return nil, l.failure()
	case <-ctx.Done():
		return nil, fault.Wrap(ctx.Err(), "open quota stream", l.address)
	}
	number, waiting, err := l.send(request)
	if err != nil {
		return nil, err
	}
	defer l.forget(number)
	select {
	case reply := <-waiting:
		return reply, nil
	case <-l.lost:
		return nil, l.failure()
	case <-ctx.Done():
		return nil, fault.Wrap(ctx.Err(), "await quota reply", l.address)
	}
}

func (l *link) send(request *quota.Request) (uint64, chan *quota.Reply, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.number++
	waiting := make(chan *quota.Reply, 1)
	l.pending[l.number] = waiting
	if err := l.stream.Send(EncodeRequest(l.number, request)); err != nil {
		delete(l.pending, l.number)
		_ = l.stream.Close()
		return 0, nil, err
	}
	return l.number, waiting, nil
}

func (l *link) forget(number uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.pending, number)
}

func (l *link) failure() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.err
}

// Handler answers a peer's request. It may block.
type Handler func(ctx context.Context, request *quota.Request) *quota.Reply

// Server serves quota's streams.
type Server struct {
	handle Handler
	ctx    context.Context
	cancel context.CancelFunc
}

// NewServer returns a server that answers with a handler.
func NewServer(handle Handler) *Server {
	ctx, cancel := context.WithCancel(context.Background())
	return &Server{handle: handle, ctx: ctx, cancel: cancel}
}

// Register adds the handler of quota's streams to a wire server.
func (s *Server) Register(server *wire.Server) {
	server.Handle(wirepb.Kind_KIND_QUOTA, s.serve)
}

// Close ends all streams.
func (s *Server) Close() { s.cancel() }

// serve answers the requests of one stream, each on a task of its own, until the
// peer or the server closes it.
func (s *Server) serve(ctx context.Context, request wire.Request, stream *wire.Stream) {
	stop := context.AfterFunc(s.ctx, func() { _ = stream.Close() })
	defer stop()
	borrower := borrowerOf(request.Peer)
	var sending sync.Mutex
	for {
		message := new(wirepb.QuotaRequest)
		if err := stream.Recv(message); err != nil {
			return
		}
		go func() {
			reply := s.handle(ctx, DecodeRequest(message, borrower))
			sending.Lock()
			defer sending.Unlock()
			if err := stream.Send(EncodeReply(message.Number, reply)); err != nil {
				_ = stream.Close()
			}
		}()
	}
}

// borrowerOf identifies one life of a peer.
func borrowerOf(peer *wirepb.Hello) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(peer.Process + "/" + strconv.FormatUint(peer.Incarnation, 10)))
	return h.Sum64() | 1
}
