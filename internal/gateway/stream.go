package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/greengagegate/greengagegate/internal/balancer"
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
// either completes or ends with an aborted connection. The results are those of
// tryUpstream.
func (j *job) forwardStream(ctx context.Context, choice *balancer.Choice, attempt *balancer.Attempt, response *exchange.Response, startedAt bootclock.Instant) (bool, *refusal) {
	responseController := http.NewResponseController(j.w)
	headerSent := false
	lastEventID := j.call.LastEventID
	for {
		err := j.forwardEvents(ctx, choice, attempt, response, responseController, &headerSent, &lastEventID)
		j.outcome.lastEventID = lastEventID
		if err == nil {
			response.MarkBodyRead()
			attempt.RecordSuccess()
			j.recordAttempt(choice.Upstream, "answered", startedAt)
			j.outcome.status, j.outcome.reason = http.StatusOK, "answered"
			return true, nil
		}
		j.outcome.err = err
		if j.callerLeft() || isCallerError(err) {
			j.recordAttempt(choice.Upstream, "caller-left", startedAt)
			j.outcome.reason = "caller-left"
			return true, nil
		}
		attempt.RecordFailure()
		j.recordAttempt(choice.Upstream, "broken-off", startedAt)
		response.Close()
		attempt.Done()
		if !headerSent {
			if j.timeLeft() < minTimeLeft {
				return false, failedTimeout
			}
			return false, j.prepareRetry(true)
		}
		next := j.resume(ctx, lastEventID)
		if next == nil {
			j.abortResponse()
		}
		choice, attempt, response, startedAt = next.choice, next.attempt, next.response, next.startedAt
		defer response.Close()
		defer attempt.Done()
	}
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

// stallTimeout returns how long the stream may pause before it is resumed at another
// upstream. It returns 0, which means no limit, for streams that cannot be resumed. The
// timeout does not apply to the wait for the first event of an upstream's response.
func (j *job) stallTimeout() time.Duration {
	if !j.route.Resumable {
		return 0
	}
	return max(minStallTimeout, stallPauseFactor*j.route.MaxPause)
}

// forwardEvents forwards complete events to the caller, after the header if it has not
// been sent. It sets *headerSent when it sends the header, and *lastEventID to the last event
// ID that it wrote. It returns nil at the end of the stream and a *callerError if
// a write to the caller fails. Any other error is a failure of the upstream or the end of
// ctx.
func (j *job) forwardEvents(ctx context.Context, choice *balancer.Choice, attempt *balancer.Attempt, response *exchange.Response, responseController *http.ResponseController, headerSent *bool, lastEventID *string) error {
	events := eventstream.NewReader(response.Body)
	stallTimeout := j.stallTimeout()
	for isFirst := true; ; isFirst = false {
		if stallTimeout > 0 && !isFirst {
			response.SetReadDeadline(time.Now().Add(stallTimeout))
		}
		event, err := events.Next()
		if errors.Is(err, io.EOF) {
			// A stream without events still needs its header.
			j.sendHeader(response, headerSent)
			return nil
		}
		if err != nil {
			return err
		}
		if isFirst {
			attempt.RecordFirstResponse()
		}
		if version := j.gateway.Codec.EventVersion(event.Raw); version > 0 {
			j.gateway.Balancer.RecordVersion(choice.Upstream.ID, j.call.Model, version)
		}
		j.sendHeader(response, headerSent)
		_ = responseController.SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, err := j.w.Write(event.Raw); err != nil {
			return &callerError{cause: err}
		}
		if event.ID != "" {
			*lastEventID = event.ID
		}
		if events.HasBuffered() {
			continue
		}
		if err := responseController.Flush(); err != nil {
			return &callerError{cause: err}
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

func (j *job) sendHeader(response *exchange.Response, headerSent *bool) {
	if *headerSent {
		return
	}
	*headerSent = true
	j.outcome.timeToFirstEvent = bootclock.Since(j.arrivedAt)
	copyHeaders(j.w.Header(), response.Header)
	j.w.WriteHeader(response.Status)
}

// resumedStream is a stream that continues at another upstream.
type resumedStream struct {
	choice    *balancer.Choice
	attempt   *balancer.Attempt
	response  *exchange.Response
	startedAt bootclock.Instant
}

// resume requests the part of the stream after lastEventID from another upstream. It
// returns nil if no upstream could resume the stream, no further attempt is allowed or
// the caller has disconnected.
func (j *job) resume(ctx context.Context, lastEventID string) *resumedStream {
	for j.prepareRetry(true) == nil {
		choice, refused := j.pickUpstream()
		if refused != nil {
			return nil
		}
		attempt := j.gateway.Balancer.Begin(choice, &j.pickRequest)
		startedAt := bootclock.Now()
		response, err := j.gateway.Pool.Do(ctx, choice.Upstream.Address, j.buildRequest(&choice, lastEventID))
		if err != nil {
			attempt.Done()
			if _, refused := j.handleSendError(choice.Upstream, attempt, err, startedAt); refused != nil || j.callerLeft() {
				return nil
			}
			continue
		}
		responseStatus := j.gateway.Codec.Classify(response.Status, response.Header)
		if isEventStream(response) && responseStatus.IsComplete {
			j.possibleRuns++
			return &resumedStream{choice: &choice, attempt: attempt, response: response, startedAt: startedAt}
		}
		if !responseStatus.NotRun {
			j.possibleRuns++
		}
		j.recordAttempt(choice.Upstream, "not-resumed", startedAt)
		response.Close()
		attempt.Done()
	}
	return nil
}
