package wire

import (
	"bufio"
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/greengagegate/greengagegate/internal/fault"
	"github.com/greengagegate/greengagegate/internal/wire/wirepb"
	"google.golang.org/protobuf/proto"
)

// keptFrameBytes bounds the space that a stream keeps between two sends.
const keptFrameBytes = 4 << 10

// States of a stream among those whose frames may wait for others.
const (
	countFree = iota
	countTaken
	countClosed
)

// Stream carries the frames of one request. It is not safe for concurrent
// sends or concurrent receives; one sender beside one receiver is fine.
type Stream struct {
	conn   net.Conn
	reader *bufio.Reader
	peer   string
	stop   func() bool
	// frame is the space of the last frame sent, for the next one.
	frame []byte
	// gather holds back what the session writes.
	gather *gatheringConn
	// counted says whether this stream is one of gather's streams.
	counted atomic.Int32
	// onClose tells the pool, on the dialing side.
	onClose func()
}

// newStream binds a stream to ctx: when ctx ends, pending reads and writes fail.
func newStream(ctx context.Context, conn net.Conn, peer string, gather *gatheringConn) *Stream {
	s := &Stream{conn: conn, reader: bufio.NewReaderSize(conn, readBufferBytes), peer: peer, gather: gather}
	s.stop = context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	return s
}

// Peer returns the address of the other side.
func (s *Stream) Peer() string { return s.peer }

// Send writes one frame. It blocks while the peer's receive window is full.
func (s *Stream) Send(message proto.Message) error {
	err := s.write(message)
	s.gather.flush()
	return err
}

// SendSoon writes one frame that may wait up to gatherDelay for frames of other
// streams that are sent so. It blocks as Send does. An error of the session may
// show later.
func (s *Stream) SendSoon(message proto.Message) error {
	if s.counted.CompareAndSwap(countFree, countTaken) {
		s.gather.streams.Add(1)
	}
	err := s.write(message)
	if s.gather.streams.Load() < minGatheredStreams {
		s.gather.flush()
	}
	return err
}

// write hands one frame to the session, which holds it back until a flush.
func (s *Stream) write(message proto.Message) error {
	frame, err := appendFrame(s.frame[:0], message)
	if err == nil {
		_, err = s.conn.Write(frame)
	}
	if cap(frame) <= keptFrameBytes {
		s.frame = frame
	}
	return fault.Wrap(err, "send", s.peer)
}

// Recv reads one frame into message. An error wrapping io.EOF says that the
// peer closed the stream at a frame's end.
func (s *Stream) Recv(message proto.Message) error {
	return fault.Wrap(readFrame(s.reader, message), "receive", s.peer)
}

// Buffered reports whether a further frame has at least partly arrived.
func (s *Stream) Buffered() bool { return s.reader.Buffered() > 0 }

// Close ends the stream in both directions. The peer's pending Send fails once it notices.
func (s *Stream) Close() error {
	s.stop()
	err := s.conn.Close()
	if s.counted.Swap(countClosed) == countTaken {
		s.gather.streams.Add(-1)
	}
	if s.onClose != nil {
		s.onClose()
	}
	return err
}

// openStream sends the Open frame of a new stream, which waits for the first
// frame of the request.
func openStream(ctx context.Context, stream *Stream, kind wirepb.Kind, requestID string) (*Stream, error) {
	open := &wirepb.Open{Kind: kind, RequestId: requestID}
	if deadline, ok := ctx.Deadline(); ok {
		open.DeadlineMs = max(1, time.Until(deadline).Milliseconds())
	}
	if err := stream.write(open); err != nil {
		_ = stream.Close()
		return nil, err
	}
	return stream, nil
}
