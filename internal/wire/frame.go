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

// writeFrame sends message in a single write.
func writeFrame(w io.Writer, message proto.Message) error {
	size := proto.Size(message)
	if size > MaxFrameBytes {
		return fmt.Errorf("%w: %d bytes", ErrFrameTooLarge, size)
	}
	buffer := make([]byte, 0, size+binary.MaxVarintLen32)
	buffer = binary.AppendUvarint(buffer, uint64(size))
	buffer, err := proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(buffer, message)
	if err != nil {
		return err
	}
	_, err = w.Write(buffer)
	return err
}

// readFrame receives one message. It returns io.EOF only at a frame's start.
func readFrame(r *bufio.Reader, message proto.Message) error {
	size, err := binary.ReadUvarint(r)
	if err != nil {
		return err
	}
	if size > MaxFrameBytes {
		return fmt.Errorf("%w: %d bytes", ErrFrameTooLarge, size)
	}
	buffer := make([]byte, size)
	if _, err := io.ReadFull(r, buffer); err != nil {
		return io.ErrUnexpectedEOF
	}
	return proto.Unmarshal(buffer, message)
}
