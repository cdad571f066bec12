package wire

import (
	"bufio"
	"context"
	"net"
	"time"

	"github.com/greengagegate/greengagegate/internal/fault"
	"github.com/greengagegate/greengagegate/internal/wire/wirepb"
	"google.golang.org/protobuf/proto"
)

// Stream carries the frames of one request. It is not safe for concurrent
// sends or concurrent receives; one sender beside one receiver is fine.
type Stream struct {
	conn   net.Conn
	reader *bufio.Reader
	peer   string
	stop   func() bool
	// onClose tells the pool, on the dialing side.
	onClose func()
}

// newStream binds a stream to ctx: when ctx ends, pending reads and writes fail.
func newStream(ctx context.Context, conn net.Conn, peer string) *Stream {
	s := &Stream{conn: conn, reader: bufio.NewReaderSize(conn, readBufferBytes), peer: peer}
	s.stop = context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	return s
}

// Peer returns the address of the other side.
func (s *Stream) Peer() string { return s.peer }

// Send writes one frame. It blocks while the peer's receive window is full.
func (s *Stream) Send(message proto.Message) error {
	return fault.Wrap(writeFrame(s.conn, message), "send", s.peer)
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
	if s.onClose != nil {
		s.onClose()
	}
	return err
}

// openStream sends the Open frame of a new stream.
func openStream(ctx context.Context, conn net.Conn, peer string, kind wirepb.Kind, requestID string) (*Stream, error) {
	stream := newStream(ctx, conn, peer)
	open := &wirepb.Open{Kind: kind, RequestId: requestID}
	if deadline, ok := ctx.Deadline(); ok {
		open.DeadlineMs = max(1, time.Until(deadline).Milliseconds())
	}
	if err := stream.Send(open); err != nil {
		_ = stream.Close()
		return nil, err
	}
	return stream, nil
}
