package httpengine

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"

	"github.com/greengagegate/greengagegate/internal/engine"
	"github.com/greengagegate/greengagegate/internal/fault"
)

// run implements engine.Run. Next must be called by one goroutine at a time; Close
// is safe for concurrent use.
type run struct {
	baseURL   string
	requestID string
	body      io.ReadCloser
	reader    *bufio.Reader
	cancel    context.CancelFunc
	ended     bool
}

// Next implements engine.Run. It blocks until the engine sends an event. It merges
// token events that have already arrived into one event.
func (r *run) Next() (engine.RunEvent, error) {
	if r.ended {
		return engine.RunEvent{}, io.EOF
	}
	line, err := r.readLine()
	if err != nil {
		return engine.RunEvent{}, r.closeWithError(errors.Join(engine.ErrIncompleteAnswer, err))
	}
	event, err := parseRunEvent(line, r.requestID)
	if err != nil {
		return engine.RunEvent{}, r.closeWithError(errors.Join(engine.ErrIncompleteAnswer, err))
	}
	if event.RequestID != r.requestID {
		return engine.RunEvent{}, r.closeWithError(engine.ErrWrongRequest)
	}
	if err := event.Type.Check(); err != nil {
		return engine.RunEvent{}, r.closeWithError(err)
	}
	switch event.Type {
	case engine.EventEnd:
		r.ended = true
		r.closeConnection()
	case engine.EventTokens:
		r.mergeBuffered(&event)
	}
	return event, nil
}

// mergeBuffered merges into a token event the buffered token events that follow it
// without a gap, so that a slow reader catches up in one call of Next.
func (r *run) mergeBuffered(event *engine.RunEvent) {
	for {
		buffered, _ := r.reader.Peek(r.reader.Buffered())
		end := bytes.IndexByte(buffered, '\n')
		if end < 0 {
			return
		}
		next, ok := parseTokens(buffered[:end], r.requestID)
		if !ok || next.Offset != event.Offset+event.Count {
			return
		}
		event.Count += next.Count
		event.Text += next.Text
		_, _ = r.reader.Discard(end + 1)
	}
}

// maxRunLineBytes is the largest size of a line of a run.
const maxRunLineBytes = 1 << 20

// errLineTooLong means that a line of a run is longer than maxRunLineBytes.
var errLineTooLong = errors.New("the line is too long")

// readLine returns the next line without its newline. The line is valid until the
// next read from r.reader.
func (r *run) readLine() ([]byte, error) {
	line, err := r.reader.ReadSlice('\n')
	if !errors.Is(err, bufio.ErrBufferFull) {
		return bytes.TrimSuffix(line, []byte{'\n'}), err
	}
	var long []byte
	for errors.Is(err, bufio.ErrBufferFull) {
		if long = append(long, line...); len(long) > maxRunLineBytes {
			return nil, errLineTooLong
		}
		line, err = r.reader.ReadSlice('\n')
	}
	return bytes.TrimSuffix(append(long, line...), []byte{'\n'}), err
}

// Buffered implements engine.BufferedRun. It reports whether a whole line is buffered.
func (r *run) Buffered() bool {
	buffered, err := r.reader.Peek(r.reader.Buffered())
	return err == nil && !r.ended && bytes.IndexByte(buffered, '\n') >= 0
}

// closeWithError closes the connection and returns err with the step
// "read run" and the base URL.
func (r *run) closeWithError(err error) error {
	r.closeConnection()
	return fault.Wrap(err, "read run", r.baseURL)
}

// Close implements engine.Run. It closes the connection; the engine cancels a run
// whose connection is closed before the end event.
func (r *run) Close() error {
	r.closeConnection()
	return nil
}

// closeConnection closes the run's connection. Repeated calls have no effect.
func (r *run) closeConnection() {
	r.cancel()
	_ = r.body.Close()
}
