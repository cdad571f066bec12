package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/greengagegate/greengagegate/internal/bootclock"
	"github.com/greengagegate/greengagegate/internal/eventstream"
	"github.com/greengagegate/greengagegate/internal/exchange"
)

const (
	// minStallTimeout is the lower bound of stallTimeout.
	minStallTimeout = 1200 * time.Millisecond
	// stallPauseFactor is the ratio of stallTimeout to the route's MaxPause, unless
	// minStallTimeout is longer.
	stallPauseFactor = 4
	// writeTimeout bounds each write to the caller, because a caller may stay connected
	// without reading.
	writeTimeout = 5 * time.Second
)

// forwardStream forwards events to the caller as they arrive. If an upstream fails before
// the header has been sent, forwardStream returns, and another attempt may start from the
// beginning. After that it resumes the stream at another upstream, and the response
// either completes or ends with an aborted connection. A silent upstream is not a failed
// one; see stallWatch. The results are those of tryUpstream.
func (j *job) forwardStream(ctx context.Context, s *send) (bool, *refusal) {
	forwarding := &streamForwarding{controller: http.NewResponseController(j.w), lastEventID: j.call.LastEventID}
	s.response.TolerateSilence()
	j.openEvents(s)
	defer func() { s.end() }()
	for {
		next, err := j.forwardEvents(ctx, forwarding, s)
		j.outcome.lastEventID = forwarding.lastEventID
		if next != nil {
			s.end()
			s = next
			continue
		}
		if err == nil {
			s.response.MarkBodyRead()
			j.recordCompletion(s)
			j.recordAttempt(s, "answered")
			j.outcome.status, j.outcome.reason = http.StatusOK, "answered"
			return true, nil
		}
		j.outcome.err = err
		if j.callerLeft() || isCallerError(err) {
			j.recordAttempt(s, "caller-left")
			j.outcome.reason = "caller-left"
			return true, nil
		}
		j.recordBrokenStream(s, err)
		s.end()
		if !forwarding.headerSent {
			if j.timeLeft() < minTimeLeft {
				return false, failedTimeout
			}
			return false, j.prepareRetry(true)
		}
		next = j.resume(ctx, forwarding.lastEventID, nil)
		switch {
		case next != nil:
			s = next
		case j.callerLeft():
			j.outcome.reason = "caller-left"
			return true, nil
		default:
			j.abortResponse()
		}
	}
}

// recordBrokenStream records the result of a send whose stream ended before its end mark
// with the given cause.
func (j *job) recordBrokenStream(s *send, cause error) {
	if s.isTakenBack() {
		j.recordAttempt(s, "taken-back")
		return
	}
	j.recordLoss(s, cause)
	s.attempt.RecordFailure()
	j.recordAttempt(s, "broken-off")
}

// streamForwarding is the progress of a stream towards the caller.
type streamForwarding struct {
	controller *http.ResponseController
	headerSent bool
	// lastEventID is the ID of the last event that was written, or the ID with which the
	// caller resumed the stream.
	lastEventID string
}

// limitWrite bounds the next write to the caller by writeTimeout. The error is ignored: it
// means that the response writer has no write deadlines, which is the case in tests only.
func (f *streamForwarding) limitWrite() {
	_ = f.controller.SetWriteDeadline(time.Now().Add(writeTimeout))
}

// callerError is a failed write to the caller, which has disconnected or does not read.
// It is not a failure of the upstream.
type callerError struct{ cause error }

// Error implements error.
func (e *callerError) Error() string { return "write to caller: " + e.cause.Error() }

// Unwrap returns the cause.
func (e *callerError) Unwrap() error { return e.cause }

func isCallerError(err error) bool {
	var callerErr *callerError
	return errors.As(err, &callerErr)
}

// abortResponse closes the caller's connection, so that the caller cannot take the
// response for complete. It does not return: it panics with http.ErrAbortHandler.
func (j *job) abortResponse() {
	j.outcome.status, j.outcome.reason = http.StatusOK, "broken-off"
	panic(http.ErrAbortHandler)
}

// stallTimeout returns how long the stream may pause before other upstreams are asked to
// continue it. It returns 0, which means no limit, for streams that cannot be resumed. The
// timeout does not apply to the wait for the first event of an upstream's response.
func (j *job) stallTimeout() time.Duration {
	if !j.route.Resumable {
		return 0
	}
	return max(minStallTimeout, stallPauseFactor*j.route.MaxPause)
}

// forwardEvents forwards complete events of a response to the caller, after the header if
// it has not been sent. It returns nil at the end of the stream and a *callerError if a
// write to the caller fails. Any other error is a failure of the upstream or the end of the
// send's context. If another upstream continues the stream, forwardEvents returns its send as
// next, without an error.
func (j *job) forwardEvents(ctx context.Context, forwarding *streamForwarding, s *send) (next *send, err error) {
	watch := &stallWatch{job: j, silent: s, timeout: j.stallTimeout()}
	for isFirst := true; ; isFirst = false {
		if !isFirst {
			watch.start(ctx, forwarding.lastEventID)
		}
		event, err := s.nextEvent()
		if next := watch.stop(err); next != nil {
			return next, nil
		}
		if errors.Is(err, io.EOF) {
			// A stream without events still needs its header. The server writes the end of the
			// response after the handler has returned.
			j.sendHeader(s.response, forwarding)
			forwarding.limitWrite()
			return nil, nil
		}
		if err != nil {
			return nil, err
		}
		if err := s.recordFirstEvent(); err != nil {
			return nil, err
		}
		if err := j.forwardEvent(forwarding, s, event); err != nil {
			return nil, err
		}
		if s.ctx.Err() != nil {
			return nil, s.ctx.Err()
		}
	}
}

// forwardEvent writes an event to the caller, and flushes it unless another complete event
// has arrived. The error is a *callerError.
func (j *job) forwardEvent(forwarding *streamForwarding, s *send, event eventstream.Event) error {
	if version := j.gateway.Codec.EventVersion(event.Raw); version > 0 {
		j.gateway.Balancer.RecordVersion(s.choice.Upstream.ID, j.call.Model, version)
	}
	if !forwarding.headerSent {
		j.recordOrigin(s)
	}
	j.sendHeader(s.response, forwarding)
	forwarding.limitWrite()
	if _, err := j.w.Write(event.Raw); err != nil {
		return &callerError{cause: err}
	}
	if event.ID != "" {
		forwarding.lastEventID = event.ID
	}
	if s.events.HasBufferedEvent() {
		return nil
	}
	if err := forwarding.controller.Flush(); err != nil {
		return &callerError{cause: err}
	}
	return nil
}

func (j *job) sendHeader(response *exchange.Response, forwarding *streamForwarding) {
	if forwarding.headerSent {
		return
	}
	forwarding.headerSent = true
	j.outliveStop()
	j.outcome.timeToFirstEvent = bootclock.Since(j.arrivedAt)
	copyHeaders(j.w.Header(), response.Header)
	j.w.WriteHeader(response.Status)
}
