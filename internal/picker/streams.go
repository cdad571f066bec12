package picker

import (
	"context"
	"errors"
	"sync"

	"github.com/greengagegate/greengagegate/internal/fault"
	"github.com/greengagegate/greengagegate/internal/wire"
	"github.com/greengagegate/greengagegate/internal/wire/wirepb"
)

// errStreamEnded reports that a probe stream ended before the reply arrived.
var errStreamEnded = errors.New("probe stream ended before the reply")

// probeStreams keeps one probe stream to each agent that has been probed. It is
// safe for concurrent use.
type probeStreams struct {
	pool *wire.Pool

	mu        sync.Mutex
	byAddress map[string]*probeStream
}

func newProbeStreams(pool *wire.Pool) *probeStreams {
	return &probeStreams{pool: pool, byAddress: make(map[string]*probeStream)}
}

// probe sends a probe to the agent at address and returns its reply. It does not
// modify request. ctx limits the wait for the reply, but not the time to open and
// write to the stream: wire.Pool bounds the time to connect, and a write blocks while
// the agent's receive window is full.
func (s *probeStreams) probe(ctx context.Context, address string, request *wirepb.ProbeRequest) (*wirepb.ProbeReply, error) {
	stream := s.streamTo(address)
	sent, err := stream.send(s.pool, request)
	if err != nil {
		return nil, err
	}
	select {
	case reply, ok := <-sent.reply:
		if !ok {
			return nil, fault.Wrap(errStreamEnded, "probe", address)
		}
		return reply, nil
	case <-ctx.Done():
		stream.removePending(sent.sequence)
		return nil, fault.Wrap(ctx.Err(), "probe", address)
	}
}

func (s *probeStreams) streamTo(address string) *probeStream {
	s.mu.Lock()
	defer s.mu.Unlock()
	stream := s.byAddress[address]
	if stream == nil {
		stream = &probeStream{address: address, replyChannels: make(map[uint64]chan *wirepb.ProbeReply)}
		s.byAddress[address] = stream
	}
	return stream
}

// probeStream carries all probes to one agent. The underlying stream is opened
// when a probe is sent and none is open.
type probeStream struct {
	address string

	// openMu is held while the stream is opened, so that concurrent probes share
	// one attempt. It is acquired before mu.
	openMu sync.Mutex

	// mu guards the fields below and serialises writes to the stream. Since it is held
	// while a write blocks, the delivery of replies waits for the write as well.
	mu       sync.Mutex
	stream   *wire.Stream
	sequence uint64
	// replyChannels holds the reply channels of pending probes by sequence number.
	replyChannels map[uint64]chan *wirepb.ProbeReply
}

// sentProbe is a probe that has been sent. Its channel receives the reply, or
// is closed if the stream ends first.
type sentProbe struct {
	sequence uint64
	reply    chan *wirepb.ProbeReply
}

// send writes a probe to the stream, which it opens if necessary. It blocks while
// the stream is opened or the agent's receive window is full.
func (s *probeStream) send(pool *wire.Pool, request *wirepb.ProbeRequest) (sentProbe, error) {
	if err := s.open(pool); err != nil {
		return sentProbe{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stream == nil {
		return sentProbe{}, fault.Wrap(errStreamEnded, "probe", s.address)
	}
	s.sequence++
	probe := sentProbe{sequence: s.sequence, reply: make(chan *wirepb.ProbeReply, 1)}
	s.replyChannels[s.sequence] = probe.reply
	err := s.stream.Send(withSequence(request, s.sequence))
	if err != nil {
		delete(s.replyChannels, s.sequence)
		_ = s.stream.Close()
		return sentProbe{}, err
	}
	return probe, nil
}

// withSequence returns a copy of request with a sequence number. The copy shares
// the slice of block hashes.
func withSequence(request *wirepb.ProbeRequest, sequence uint64) *wirepb.ProbeRequest {
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

// open opens the stream unless it is already open. The stream outlives the
// request that opens it, hence the background context.
func (s *probeStream) open(pool *wire.Pool) error {
	s.openMu.Lock()
	defer s.openMu.Unlock()
	s.mu.Lock()
	isOpen := s.stream != nil
	s.mu.Unlock()
	if isOpen {
		return nil
	}
	stream, err := pool.Open(context.Background(), s.address, wirepb.Kind_KIND_PROBE, "")
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.stream = stream
	s.mu.Unlock()
	go s.receiveReplies(stream)
	return nil
}

// receiveReplies delivers replies to the pending probes until the stream ends.
func (s *probeStream) receiveReplies(stream *wire.Stream) {
	defer s.handleEnd(stream)
	for {
		reply := new(wirepb.ProbeReply)
		if err := stream.Recv(reply); err != nil {
			return
		}
		s.mu.Lock()
		replyChannel := s.replyChannels[reply.Sequence]
		delete(s.replyChannels, reply.Sequence)
		s.mu.Unlock()
		if replyChannel != nil {
			replyChannel <- reply
		}
	}
}

// handleEnd closes the stream and fails all pending probes.
func (s *probeStream) handleEnd(stream *wire.Stream) {
	_ = stream.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stream = nil
	for sequence, replyChannel := range s.replyChannels {
		delete(s.replyChannels, sequence)
		close(replyChannel)
	}
}

func (s *probeStream) removePending(sequence uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.replyChannels, sequence)
}
