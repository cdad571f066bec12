package wire

import (
	"bufio"
	"context"
	"encoding/binary"
	"net"
	"sync/atomic"
	"time"

	"github.com/greengagegate/greengagegate/internal/fault"
	"github.com/greengagegate/greengagegate/internal/wire/wirepb"
	"google.golang.org/protobuf/proto"
)

// maxReusedFrameBytes is the largest encoding buffer that a stream keeps for its
// next frame.
const maxReusedFrameBytes = 4 << 10

// Values of Stream.countState.
const (
	streamUncounted = iota // not counted in coalescingStreams
	streamCounted          // counted in coalescingStreams
	streamClosed           // closed, must not be counted any more
)

// Stream carries the frames of one request. One goroutine may send while another
// receives; concurrent sends and concurrent receives are not safe.
type Stream struct {
	conn          net.Conn
	reader        *bufio.Reader
	peerAddress   string
	unbindContext func() bool
	// frameBuffer is the encoding buffer of the last frame, reused for the next one.
	frameBuffer []byte
	// sessionConn is the session's connection, which coalesces the writes of its streams.
	sessionConn *coalescingConn
	// countState is the state of this stream in sessionConn.coalescingStreams.
	countState atomic.Int32
	// onClose releases the session on the dialing side. It is nil on the accepting side.
	onClose func()
	// onReceived is called with the number of bytes that each Recv has taken. It is nil on the
	// dialing side.
	onReceived func(bytes int64)
	// read is the number of bytes that reader has read, and taken that which Recv has taken.
	read, taken int64
}

// newStream returns a stream on conn. When ctx ends, its reads and writes fail,
// including those that are blocked.
func newStream(ctx context.Context, conn net.Conn, peerAddress string, sessionConn *coalescingConn) *Stream {
	s := &Stream{conn: conn, peerAddress: peerAddress, sessionConn: sessionConn}
	s.reader = bufio.NewReaderSize((*streamReader)(s), readBufferBytes)
	s.unbindContext = context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	return s
}

// Peer returns the address of the peer.
func (s *Stream) Peer() string { return s.peerAddress }

// Send writes one frame and flushes the session. It blocks while the peer's receive
// window is full.
func (s *Stream) Send(message proto.Message) error {
	err := s.write(message)
	s.sessionConn.flush()
	return err
}

// SendCoalesced writes one frame, which may be delayed by up to coalesceDelay (1 ms) to
// share a write with frames of other streams that use SendCoalesced. It blocks while the
// peer's receive window is full. An error of the delayed write is returned by a
// later call.
func (s *Stream) SendCoalesced(message proto.Message) error {
	if s.countState.CompareAndSwap(streamUncounted, streamCounted) {
		s.sessionConn.coalescingStreams.Add(1)
	}
	err := s.write(message)
	if s.sessionConn.coalescingStreams.Load() < minCoalescedStreams {
		s.sessionConn.flush()
	}
	return err
}

// write adds one frame to the session's pending bytes, which wait for a flush.
func (s *Stream) write(message proto.Message) error {
	frame, err := appendFrame(s.frameBuffer[:0], message)
	if err == nil {
		_, err = s.conn.Write(frame)
	}
	if cap(frame) <= maxReusedFrameBytes {
		s.frameBuffer = frame
	}
	return fault.Wrap(err, "send", s.peerAddress)
}

// Recv reads one frame into message and blocks until it has arrived. The error
// wraps io.EOF when the peer closed the stream between two frames.
func (s *Stream) Recv(message proto.Message) error {
	err := readFrame(s.reader, message)
	if s.onReceived != nil {
		taken := s.read - int64(s.reader.Buffered())
		s.onReceived(taken - s.taken)
		s.taken = taken
	}
	return fault.Wrap(err, "receive", s.peerAddress)
}

// streamReader reads from the connection of a Stream and counts the bytes.
type streamReader Stream

// Read implements io.Reader.
func (r *streamReader) Read(p []byte) (int, error) {
	n, err := r.conn.Read(p)
	r.read += int64(n)
	return n, err
}

// Buffered reports whether the whole next frame has been read from the connection, so that
// Recv does not block. It reports false for a frame that is larger than the read buffer.
func (s *Stream) Buffered() bool {
	// Peek does not fail for bytes that are buffered.
	buffered, _ := s.reader.Peek(s.reader.Buffered())
	size, prefix := binary.Uvarint(buffered)
	return prefix > 0 && size <= uint64(len(buffered)-prefix)
}

// Close closes the stream in both directions. A blocked Send of the peer fails after
// the peer has received the close.
func (s *Stream) Close() error {
	s.unbindContext()
	err := s.conn.Close()
	if s.countState.Swap(streamClosed) == streamCounted {
		s.sessionConn.coalescingStreams.Add(-1)
	}
	if s.onClose != nil {
		s.onClose()
	}
	return err
}

// openStream writes the Open frame of a new stream without a flush, so that it
// shares a write with the first frame of the request. It closes the stream when it
// returns an error.
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
