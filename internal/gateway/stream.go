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
	// minSilence is the least pause after which a stream that may be resumed is
	// taken from a silent upstream.
	minSilence = 1200 * time.Millisecond
	// silencePauses is that pause in terms of the route's longest pause on time.
	silencePauses = 4
	// writeTimeout bounds a write to a caller that does not read.
	writeTimeout = 5 * time.Second
)

// stream passes events on as they arrive. Once the head is out, the answer ends
// either complete or with a broken connection.
func (j *job) stream(ctx context.Context, choice *balancer.Choice, attempt *balancer.Attempt, response *exchange.Response, started bootclock.Instant) (bool, *refusal) {
	control := http.NewResponseController(j.w)
	headOut := false
	lastEvent := j.call.LastEvent
	for {
		err := j.copyEvents(ctx, choice, attempt, response, control, &headOut, &lastEvent)
		j.outcome.events = lastEvent
		if err == nil {
			response.Finished()
			attempt.RecordSuccess()
			j.note(choice.Upstream, "answered", started)
			j.outcome.status, j.outcome.reason = http.StatusOK, "answered"
			return true, nil
		}
		j.outcome.err = err
		if j.gone() || isCallerError(err) {
			j.note(choice.Upstream, "caller-left", started)
			j.outcome.reason = "caller-left"
			return true, nil
		}
		attempt.RecordFailure()
		j.note(choice.Upstream, "broken-off", started)
		response.Close()
		attempt.Done()
		if !headOut {
			if j.left() < minLeft {
				return false, failedTimeout
			}
			return false, j.again(true)
		}
		next := j.resume(ctx, lastEvent)
		if next == nil {
			j.breakOff()
		}
		choice, attempt, response, started = next.choice, next.attempt, next.response, next.started
		defer response.Close()
		defer attempt.Done()
	}
}

// callerError is a failed write to the caller, which has left or takes nothing
// more. It says nothing about the upstream.
type callerError struct{ cause error }

// Error implements error.
func (e *callerError) Error() string { return "write to caller: " + e.cause.Error() }

// Unwrap returns the cause.
func (e *callerError) Unwrap() error { return e.cause }

func isCallerError(err error) bool {
	var failed *callerError
	return errors.As(err, &failed)
}

// breakOff closes the caller's connection, so that the answer can't look complete.
func (j *job) breakOff() {
	j.outcome.status, j.outcome.reason = http.StatusOK, "broken-off"
	panic(http.ErrAbortHandler)
}

// silence is how long a stream may pause before it is resumed elsewhere; 0 for ever.
func (j *job) silence() time.Duration {
	if !j.route.Resumable {
		return 0
	}
	return max(minSilence, silencePauses*j.route.MaxPause)
}

// copyEvents passes on whole events until the stream's end, which is nil.
func (j *job) copyEvents(ctx context.Context, choice *balancer.Choice, attempt *balancer.Attempt, response *exchange.Response, control *http.ResponseController, headOut *bool, lastEvent *string) error {
	events := eventstream.NewReader(response.Body)
	silence := j.silence()
	for first := true; ; first = false {
		if silence > 0 && !first {
			response.LimitRead(time.Now().Add(silence))
		}
		event, err := events.Next()
		if errors.Is(err, io.EOF) {
			// A stream without events has its head here.
			j.sendHead(response, headOut)
			return nil
		}
		if err != nil {
			return err
		}
		if first {
			attempt.RecordFirstResponse()
		}
		if version := j.gateway.Codec.Version(event.Raw); version > 0 {
			j.gateway.Balancer.RecordVersion(choice.Upstream.ID, j.call.Model, version)
		}
		j.sendHead(response, headOut)
		_ = control.SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, err := j.w.Write(event.Raw); err != nil {
			return &callerError{cause: err}
		}
		if event.ID != "" {
			*lastEvent = event.ID
		}
		if events.Buffered() {
			continue
		}
		if err := control.Flush(); err != nil {
			return &callerError{cause: err}
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

func (j *job) sendHead(response *exchange.Response, headOut *bool) {
	if *headOut {
		return
	}
	*headOut = true
	j.outcome.firstByte = bootclock.Since(j.arrived)
	copyHeaders(j.w.Header(), response.Header)
	j.w.WriteHeader(response.Status)
}

// resumed is a stream that goes on at another upstream.
type resumed struct {
	choice   *balancer.Choice
	attempt  *balancer.Attempt
	response *exchange.Response
	started  bootclock.Instant
}

// resume opens the rest of a stream at another upstream, or returns nil.
func (j *job) resume(ctx context.Context, lastEvent string) *resumed {
	for j.again(true) == nil {
		choice, refused := j.choose()
		if refused != nil {
			return nil
		}
		attempt := j.gateway.Balancer.Begin(choice, &j.request)
		started := bootclock.Now()
		response, err := j.gateway.Pool.Do(ctx, choice.Upstream.Address, j.message(&choice, lastEvent))
		if err != nil {
			attempt.Done()
			if _, refused := j.sendFailed(choice.Upstream, attempt, err, started); refused != nil || j.gone() {
				return nil
			}
			continue
		}
		answerStatus := j.gateway.Codec.Classify(response.Status, response.Header)
		if isEventStream(response) && answerStatus.Sound {
			j.runs++
			return &resumed{choice: &choice, attempt: attempt, response: response, started: started}
		}
		if !answerStatus.NotRun {
			j.runs++
		}
		j.note(choice.Upstream, "not-resumed", started)
		response.Close()
		attempt.Done()
	}
	return nil
}
