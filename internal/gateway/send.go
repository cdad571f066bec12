package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/greengagegate/greengagegate/internal/balancer"
	"github.com/greengagegate/greengagegate/internal/bootclock"
	"github.com/greengagegate/greengagegate/internal/eventstream"
	"github.com/greengagegate/greengagegate/internal/exchange"
)

// sendMargin is how long before older weights become too old the gateway stops sending
// requests to upstreams that have them. The wait that is expected there is added.
const sendMargin = time.Second

// send is one attempt of a request at an upstream: a request that was sent and, unless
// sending failed, the response to it.
type send struct {
	choice    *balancer.Choice
	attempt   *balancer.Attempt
	startedAt bootclock.Instant
	// response is nil if sending failed.
	response *exchange.Response
	// events reads the response if it is a stream that is forwarded.
	events *eventstream.Reader
	// ahead is the result of reading an event that nextEvent has not returned yet, or nil.
	ahead *eventResult
	// begun is true after the first event.
	begun bool

	ctx    context.Context
	cancel context.CancelCauseFunc
	// takeBack ends the send if it does not begin in time; nil if that cannot be observed.
	takeBack *takeBack
	// report tells the result to the rollout of software versions.
	report responseReport
}

// send sends the request to the chosen upstream and returns when the header of the
// response has arrived or sending has failed. lastEventID is the ID of the event after which
// a stream resumes, or empty. The caller must call end in both cases.
func (j *job) send(ctx context.Context, choice *balancer.Choice, lastEventID string) (*send, error) {
	j.sendCount++
	s := &send{choice: choice, attempt: j.gateway.Balancer.Begin(*choice, &j.pickRequest), startedAt: bootclock.Now()}
	s.report = j.reportSend(choice, s.startedAt)
	j.recordWeights(choice, s.startedAt)
	j.endTurn()
	s.ctx, s.cancel = context.WithCancelCause(ctx)
	j.watchBegin(s)
	var err error
	s.response, err = j.gateway.Pool.Do(s.ctx, choice.Upstream.Address, j.buildRequest(choice, lastEventID))
	return s, err
}

// recordWeights records why the request may run on the weights of the chosen upstream.
func (j *job) recordWeights(choice *balancer.Choice, now bootclock.Instant) {
	if j.pool.Engine == nil || j.pickRequest.MinVersion == nil {
		return
	}
	target := j.gateway.Catalog.TargetVersion(j.call.Model)
	j.outcome.weights = newWeightsRecord(choice.Version, j.pickRequest.MinVersion(now), target, j.gateway.Bounds.StalenessLimit, now)
}

// eventResult is the result of eventstream.Reader.Next.
type eventResult struct {
	event eventstream.Event
	err   error
}

// readAhead reads the first event, which nextEvent returns later, and returns the error of
// reading it.
func (s *send) readAhead() error {
	event, err := s.events.Next()
	s.ahead = &eventResult{event: event, err: err}
	if err == nil {
		err = s.recordFirstEvent()
	}
	return err
}

// nextEvent returns the next event of the stream, with the errors of
// eventstream.Reader.Next.
func (s *send) nextEvent() (eventstream.Event, error) {
	if ahead := s.ahead; ahead != nil {
		s.ahead = nil
		return ahead.event, ahead.err
	}
	return s.events.Next()
}

// recordFirstEvent records that the upstream has begun to run the request. It returns
// errTakenBack if the send was taken back before, so that the event must not be used. Calls
// after the first one have no effect.
func (s *send) recordFirstEvent() error {
	if s.begun {
		return nil
	}
	s.begun = true
	if s.takeBack != nil {
		s.takeBack.stop()
	}
	if s.isTakenBack() {
		return errTakenBack
	}
	s.attempt.RecordFirstResponse()
	s.report.recordBegin()
	return nil
}

// isTakenBack reports whether the send ended because the request had not begun in time.
func (s *send) isTakenBack() bool { return errors.Is(context.Cause(s.ctx), errTakenBack) }

// end closes the response, gives up the memory of its events and records the end of the
// attempt. It may be called more than once.
func (s *send) end() {
	if s.takeBack != nil {
		s.takeBack.stop()
	}
	if s.response != nil {
		s.response.Close()
	}
	if s.events != nil {
		s.events.Release()
	}
	s.attempt.Done()
	s.cancel(nil)
}
