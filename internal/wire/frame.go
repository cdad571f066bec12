// Package wire implements the protocol between the program's own processes:
// protobuf messages over yamux streams, with a stream for each request.
//
// A session begins with a Hello in each direction. Each stream begins with an
// Open frame that contains its Kind; the handler of the kind defines the frames
// that follow. A frame is the length of a protobuf message as an unsigned
// varint, followed by the message.
//
// Most frames carry a few generated tokens of one of many concurrent streams.
// Sessions therefore coalesce the frames of several streams into one write.
package wire

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"slices"

	"google.golang.org/protobuf/proto"
)

const (
	// Version is the protocol version sent in Hello. Both sides of a session must
	// have the same version.
	Version = 1
	// MaxFrameBytes is the size of the largest message that is sent or accepted.
	MaxFrameBytes = 8 << 20

	readBufferBytes = 4096
)

// ErrFrameTooLarge reports a message larger than MaxFrameBytes.
var ErrFrameTooLarge = errors.New("frame too large")

// appendFrame appends the length of message and message itself to b.
func appendFrame(b []byte, message proto.Message) ([]byte, error) {
	size := proto.Size(message)
	if size > MaxFrameBytes {
		return b, fmt.Errorf("%w: %d bytes", ErrFrameTooLarge, size)
	}
	b = slices.Grow(b, size+binary.MaxVarintLen32)
	b = binary.AppendUvarint(b, uint64(size))
	return proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(b, message)
}

// writeFrame writes message as one frame in a single call of w.Write.
func writeFrame(w io.Writer, message proto.Message) error {
	buffer, err := appendFrame(nil, message)
	if err != nil {
		return err
	}
	_, err = w.Write(buffer)
	return err
}

// readFrame reads one frame into message. It returns io.EOF only when the input
// ends before the first byte of a frame. A frame that fits in the buffer of r is
// decoded from that buffer, which saves an allocation.
func readFrame(r *bufio.Reader, message proto.Message) error {
	return readFrameUpTo(r, MaxFrameBytes, message)
}

// readFrameUpTo is readFrame with another size of the largest message.
func readFrameUpTo(r *bufio.Reader, maxBytes uint64, message proto.Message) error {
	size, err := binary.ReadUvarint(r)
	if err != nil {
		return err
	}
	if size > maxBytes {
		return fmt.Errorf("%w: %d bytes", ErrFrameTooLarge, size)
	}
	if int(size) <= r.Size() {
		return readSmallFrame(r, int(size), message)
	}
	// The buffer grows with what arrives: a peer may announce more than it sends.
	var buffer bytes.Buffer
	if n, err := io.CopyN(&buffer, r, int64(size)); n < int64(size) || err != nil {
		return io.ErrUnexpectedEOF
	}
	return proto.Unmarshal(buffer.Bytes(), message)
}

// readSmallFrame decodes a message that fits in the buffer of r. Unmarshal copies
// the bytes, so the message does not refer to the buffer.
func readSmallFrame(r *bufio.Reader, size int, message proto.Message) error {
	body, err := r.Peek(size)
	if err != nil {
		return io.ErrUnexpectedEOF
	}
	err = proto.Unmarshal(body, message)
	_, _ = r.Discard(size)
	return err
}
