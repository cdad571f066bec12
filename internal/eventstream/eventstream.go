// Package eventstream splits a text/event-stream into complete events, so that a
// truncated event is never forwarded.
package eventstream

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

// MaxEventBytes is the largest size of an event.
const MaxEventBytes = 1 << 20

// smallEventBytes is the memory of a Reader that it keeps and does not reserve.
const smallEventBytes = 4 << 10

// ErrTooLarge is returned by Next for an event that it finds larger than MaxEventBytes.
var ErrTooLarge = errors.New("event is too large")

// Event is one complete event.
type Event struct {
	// Raw holds the event's bytes, including the blank line that ends it. It is valid
	// until the next call of Next.
	Raw []byte
	// ID is the value of the event's last id field, or empty if it has none. A line that
	// is only "id", without a colon, does not count.
	ID string
}

// Reader reads events from a stream. It is not safe for concurrent use.
type Reader struct {
	// Reserve is called with a number of bytes before the memory of an event grows by it
	// beyond smallEventBytes, and with a negative number after it was given up. An error
	// makes Next return it; the bytes count as reserved nevertheless. nil means that no
	// memory is reserved.
	Reserve func(bytes int) error

	source   *bufio.Reader
	raw      []byte
	reserved int
}

// NewReader returns a Reader that reads events from source.
func NewReader(source io.Reader) *Reader {
	return &Reader{source: bufio.NewReaderSize(source, 1024)}
}

// Next returns the next complete event. It returns io.EOF at the end of the stream,
// io.ErrUnexpectedEOF if the stream ends in the middle of an event, ErrTooLarge, or
// the error of the source.
func (r *Reader) Next() (Event, error) {
	r.Release()
	r.raw = r.raw[:0]
	var event Event
	for {
		start := len(r.raw)
		if err := r.readLine(); err != nil {
			return Event{}, err
		}
		line := bytes.TrimRight(r.raw[start:], "\r\n")
		if len(line) == 0 {
			event.Raw = r.raw
			return event, nil
		}
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			event.ID = string(bytes.TrimPrefix(value, []byte(" ")))
		}
	}
}

// Release gives up the reserved memory. The last event is not valid afterwards.
func (r *Reader) Release() {
	if r.reserved == 0 {
		return
	}
	r.raw = nil
	// Giving memory up does not fail.
	_ = r.Reserve(-r.reserved)
	r.reserved = 0
}

// grow makes room for more bytes in r.raw.
func (r *Reader) grow(bytes int) error {
	size := len(r.raw) + bytes
	if size <= cap(r.raw) {
		return nil
	}
	capacity := max(2*cap(r.raw), size, smallEventBytes)
	if r.Reserve != nil && capacity > smallEventBytes {
		more := capacity - r.reserved
		r.reserved = capacity
		if err := r.Reserve(more); err != nil {
			return err
		}
	}
	r.raw = append(make([]byte, 0, capacity), r.raw...)
	return nil
}

// HasBufferedEvent reports whether a complete event has already been read from the source,
// so that Next does not block. An event without any field does not count.
func (r *Reader) HasBufferedEvent() bool {
	// Peek never fails for bytes that are buffered.
	buffered, _ := r.source.Peek(r.source.Buffered())
	return bytes.Contains(buffered, []byte("\n\n")) || bytes.Contains(buffered, []byte("\n\r\n"))
}

// readLine appends the next line, including its line ending, to r.raw.
func (r *Reader) readLine() error {
	for {
		chunk, err := r.source.ReadSlice('\n')
		if err := r.grow(len(chunk)); err != nil {
			return err
		}
		r.raw = append(r.raw, chunk...)
		switch {
		case len(r.raw) > MaxEventBytes:
			return ErrTooLarge
		case err == nil:
			return nil
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case errors.Is(err, io.EOF) && len(r.raw) > 0:
			return io.ErrUnexpectedEOF
		default:
			return err
		}
	}
}
