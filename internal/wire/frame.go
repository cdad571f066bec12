// Package wire is the protocol between the system's own processes: protobuf
// messages over yamux streams, one stream a request.
//
// A session opens with a Hello in each direction. Each stream begins with an
// Open frame that names its Kind; what follows is up to the kind's handler.
// Frames are a length as an unsigned varint followed by a protobuf message.
package wire

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"slices"

	"google.golang.org/protobuf/proto"
)

const (
	// Version is the protocol version sent in Hello. Sessions need equal versions.
	Version = 1
	// MaxFrameBytes is the largest frame that is sent or accepted.
	MaxFrameBytes = 8 << 20

	readBufferBytes = 4096
)

// ErrFrameTooLarge reports a frame above MaxFrameBytes.
var ErrFrameTooLarge = errors.New("frame too large")

// appendFrame appends message with its length.
func appendFrame(b []byte, message proto.Message) ([]byte, error) {
	size := proto.Size(message)
	if size > MaxFrameBytes {
		return b, fmt.Errorf("%w: %d bytes", ErrFrameTooLarge, size)
	}
	b = slices.Grow(b, size+binary.MaxVarintLen32)
	b = binary.AppendUvarint(b, uint64(size))
	return proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(b, message)
}

// writeFrame sends message in a single write.
func writeFrame(w io.Writer, message proto.Message) error {
	buffer, err := appendFrame(nil, message)
	if err != nil {
		return err
	}
	_, err = w.Write(buffer)
	return err
}

// readFrame receives one message. It returns io.EOF only at a frame's start.
// Small frames are decoded where they were received.
func readFrame(r *bufio.Reader, message proto.Message) error {
	size, err := binary.ReadUvarint(r)
	if err != nil {
		return err
	}
	if size > MaxFrameBytes {
		return fmt.Errorf("%w: %d bytes", ErrFrameTooLarge, size)
	}
	if int(size) <= r.Size() {
		return readSmallFrame(r, int(size), message)
	}
	buffer := make([]byte, size)
	if _, err := io.ReadFull(r, buffer); err != nil {
		return io.ErrUnexpectedEOF
	}
	return proto.Unmarshal(buffer, message)
}

// readSmallFrame decodes a message that fits in the reader's buffer; decoding copies.
func readSmallFrame(r *bufio.Reader, size int, message proto.Message) error {
	body, err := r.Peek(size)
	if err != nil {
		return io.ErrUnexpectedEOF
	}
	err = proto.Unmarshal(body, message)
	_, _ = r.Discard(size)
	return err
}
