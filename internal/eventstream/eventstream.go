// Package eventstream splits a text/event-stream into whole events, so that an
// event that broke off in the middle is never passed on.
package eventstream

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

// MaxEventBytes is the largest event that is read.
const MaxEventBytes = 1 << 20

// ErrTooLarge reports an event above MaxEventBytes.
var ErrTooLarge = errors.New("event is too large")

// Event is one event with the blank line that ends it. Its memory is valid until
// the next call of Next.
type Event struct {
	Raw []byte
	// ID is the value of its id field, if it has one.
	ID string
}

// Reader reads events.
type Reader struct {
	source *bufio.Reader
	raw    []byte
}

// NewReader returns a reader of the events in source.
func NewReader(source io.Reader) *Reader {
	return &Reader{source: bufio.NewReaderSize(source, 1024)}
}

// Next returns the next whole event. It returns io.EOF at the end of the stream,
// and io.ErrUnexpectedEOF when the stream ends in the middle of an event.
func (r *Reader) Next() (Event, error) {
	r.raw = r.raw[:0]
	var event Event
	for {
		start := len(r.raw)
		if err := r.line(); err != nil {
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

// Buffered reports whether a further part of the stream has already been read.
func (r *Reader) Buffered() bool { return r.source.Buffered() > 0 }

// line appends the next line with its end to r.raw.
func (r *Reader) line() error {
	for {
		part, err := r.source.ReadSlice('\n')
		r.raw = append(r.raw, part...)
		switch {
		case err == nil:
			return nil
		case len(r.raw) > MaxEventBytes:
			return ErrTooLarge
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case errors.Is(err, io.EOF) && len(r.raw) > 0:
			return io.ErrUnexpectedEOF
		default:
			return err
		}
	}
}
