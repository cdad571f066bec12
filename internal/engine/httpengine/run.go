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

// run implements engine.Run. Next is called by one goroutine; Close by any.
type run struct {
	peer      string
	requestID string
	body      io.ReadCloser
	reader    *bufio.Reader
	cancel    context.CancelFunc
	ended     bool
}

// Next implements engine.Run. It blocks until the engine sends an event. Events
// of tokens that have arrived together are returned as one.
func (r *run) Next() (engine.RunEvent, error) {
	if r.ended {
		return engine.RunEvent{}, io.EOF
	}
	line, err := r.readLine()
	if err != nil {
		return engine.RunEvent{}, r.fail(errors.Join(engine.ErrLost, err))
	}
	event, err := parseRunEvent(line, r.requestID)
	if err != nil {
		return engine.RunEvent{}, r.fail(errors.Join(engine.ErrLost, err))
	}
	if event.RequestID != r.requestID {
		return engine.RunEvent{}, r.fail(engine.ErrCrossed)
	}
	switch event.Type {
	case engine.EventEnd:
		r.ended = true
		r.release()
	case engine.EventTokens:
		r.joinBuffered(&event)
	}
	return event, nil
}

// joinBuffered adds to an event of tokens those that have arrived and follow it
// without a gap, so that a reader that is behind catches up in one step.
func (r *run) joinBuffered(event *engine.RunEvent) {
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

// readLine returns the next line without its end. The line is valid until the next call.
func (r *run) readLine() ([]byte, error) {
	line, err := r.reader.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		head := bytes.Clone(line)
		tail, tailErr := r.reader.ReadBytes('\n')
		line, err = append(head, tail...), tailErr
	}
	if err != nil {
		return nil, err
	}
	return line[:len(line)-1], nil
}

// Buffered implements engine.Buffered.
func (r *run) Buffered() bool {
	waiting, err := r.reader.Peek(r.reader.Buffered())
	return err == nil && !r.ended && bytes.IndexByte(waiting, '\n') >= 0
}

func (r *run) fail(err error) error {
	r.release()
	return fault.Wrap(err, "read run", r.peer)
}

// Close implements engine.Run. Before the end event it closes the connection,
// on which the engine cancels the run.
func (r *run) Close() error {
	r.release()
	return nil
}

// release closes the run's connection.
func (r *run) release() {
	r.cancel()
	_ = r.body.Close()
}
