package picker

import (
	"context"
	"errors"
	"sync"

	"github.com/greengagegate/greengagegate/internal/fault"
	"github.com/greengagegate/greengagegate/internal/wire"
	"github.com/greengagegate/greengagegate/internal/wire/wirepb"
)

// errLineLost reports that a stream of probes ended before the answer.
var errLineLost = errors.New("stream of probes lost")

// lines keeps one stream of probes to each agent that was asked.
type lines struct {
	pool *wire.Pool

	mu     sync.Mutex
	byAddr map[string]*line
}

func newLines(pool *wire.Pool) *lines {
	return &lines{pool: pool, byAddr: make(map[string]*line)}
}

// ask sends a probe to an agent and waits for its answer. The request is not
// changed. It blocks until ctx ends at most.
func (l *lines) ask(ctx context.Context, address string, request *wirepb.ProbeRequest) (*wirepb.ProbeReply, error) {
	line := l.line(address)
	reply, err := line.send(l.pool, request)
	if err != nil {
		return nil, err
	}
	select {
	case answer, ok := <-reply.answer:
		if !ok {
			return nil, fault.Wrap(errLineLost, "probe", address)
		}
		return answer, nil
	case <-ctx.Done():
		line.forget(reply.sequence)
		return nil, fault.Wrap(ctx.Err(), "probe", address)
	}
}

func (l *lines) line(address string) *line {
	l.mu.Lock()
	defer l.mu.Unlock()
	found := l.byAddr[address]
	if found == nil {
		found = &line{address: address, pending: make(map[uint64]chan *wirepb.ProbeReply)}
		l.byAddr[address] = found
	}
	return found
}

// line is the stream of probes to one agent. It is opened at need.
type line struct {
	address string

	// opening is held while the stream is opened, so that one attempt serves all.
	opening sync.Mutex

	// mu guards the rest and keeps probes from mixing on the stream.
	mu       sync.Mutex
	stream   *wire.Stream
	sequence uint64
	pending  map[uint64]chan *wirepb.ProbeReply
}

// pendingReply is a probe that waits for its answer. The channel is closed when
// the stream is lost.
type pendingReply struct {
	sequence uint64
	answer   chan *wirepb.ProbeReply
}

// send writes a probe, on a new stream when there is none.
func (l *line) send(pool *wire.Pool, request *wirepb.ProbeRequest) (pendingReply, error) {
	if err := l.open(pool); err != nil {
		return pendingReply{}, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stream == nil {
		return pendingReply{}, fault.Wrap(errLineLost, "probe", l.address)
	}
	l.sequence++
	reply := pendingReply{sequence: l.sequence, answer: make(chan *wirepb.ProbeReply, 1)}
	l.pending[l.sequence] = reply.answer
	err := l.stream.Send(numbered(request, l.sequence))
	if err != nil {
		delete(l.pending, l.sequence)
		_ = l.stream.Close()
		return pendingReply{}, err
	}
	return reply, nil
}

// numbered returns a copy of a request with a sequence number; it shares the hashes.
func numbered(request *wirepb.ProbeRequest, sequence uint64) *wirepb.ProbeRequest {
	return &wirepb.ProbeRequest{
		Customer:     request.Customer,
		Model:        request.Model,
		Weights:      request.Weights,
		BlockHashes:  request.BlockHashes,
		PromptTokens: request.PromptTokens,
		MaxTokens:    request.MaxTokens,
		Sequence:     sequence,
	}
}

func (l *line) open(pool *wire.Pool) error {
	l.opening.Lock()
	defer l.opening.Unlock()
	l.mu.Lock()
	ready := l.stream != nil
	l.mu.Unlock()
	if ready {
		return nil
	}
	stream, err := pool.Open(context.Background(), l.address, wirepb.Kind_KIND_PROBE, "")
	if err != nil {
		return err
	}
	l.mu.Lock()
	l.stream = stream
	l.mu.Unlock()
	go l.receive(stream)
	return nil
}

// receive hands answers to those who wait until the stream ends.
func (l *line) receive(stream *wire.Stream) {
	defer l.lost(stream)
	for {
		reply := new(wirepb.ProbeReply)
		if err := stream.Recv(reply); err != nil {
			return
		}
		l.mu.Lock()
		answer := l.pending[reply.Sequence]
		delete(l.pending, reply.Sequence)
		l.mu.Unlock()
		if answer != nil {
			answer <- reply
		}
	}
}

func (l *line) lost(stream *wire.Stream) {
	_ = stream.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stream = nil
	for sequence, answer := range l.pending {
		delete(l.pending, sequence)
		close(answer)
	}
}

func (l *line) forget(sequence uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.pending, sequence)
}
