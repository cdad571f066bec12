package gateway

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/greengagegate/greengagegate/internal/balancer"
)

// resume requests the part of the stream after lastEventID from another upstream. It
// returns nil if no upstream could resume the stream, no further attempt is allowed or ctx
// has ended, which bounds all attempts. The first event of the returned send has been read,
// unless the stream ends without one. The caller must call end of the returned send. watch
// is the hedge for which the stream is resumed, or nil if its upstream has failed. resume
// must be called after recordAttempt.
func (j *job) resume(ctx context.Context, lastEventID string, watch *stallWatch) *send {
	if j.gateway.Origins.IsUncertain(j.streamKey()) {
		return nil
	}
	refused := j.prepareRetry(true)
	for refused == nil && ctx.Err() == nil {
		var choice balancer.Choice
		if choice, refused = j.pickUpstream(ctx); refused != nil {
			return nil
		}
		var s *send
		if s, refused = j.tryResume(ctx, &choice, lastEventID, watch); s != nil {
			return s
		}
	}
	return nil
}

// tryResume makes one attempt to resume the stream. If it fails, it returns nil and a
// refusal, which is nil if another attempt may follow or ctx has ended.
func (j *job) tryResume(ctx context.Context, choice *balancer.Choice, lastEventID string, watch *stallWatch) (*send, *refusal) {
	s, err := j.send(ctx, choice, lastEventID)
	if err != nil {
		defer s.end()
		_, refused := j.handleSendError(s, err)
		return nil, refused
	}
	responseStatus := j.classify(s)
	if responseStatus.NotRun {
		defer s.end()
		_, refused := j.handleUpstreamRefusal(s, &responseStatus)
		return nil, refused
	}
	j.possibleRuns++
	if !responseStatus.IsComplete || !isEventStream(s.response) {
		defer s.end()
		j.recordAttempt(s, "not-resumed")
		return nil, j.prepareRetry(true)
	}
	if err := j.awaitFirstEvent(s, watch); err != nil {
		defer s.end()
		refused := j.handleResumeError(s, err)
		if watch != nil {
			watch.reopen()
		}
		return nil, refused
	}
	return s, nil
}

// awaitFirstEvent reads the first event of a resumed stream. A stream that ends without an
// event is complete, except in a hedge: the silent upstream may still have events.
func (j *job) awaitFirstEvent(s *send, watch *stallWatch) error {
	s.response.TolerateSilence()
	j.openEvents(s)
	if watch == nil {
		if err := s.readAhead(); isStreamFailure(err) {
			return err
		}
		return nil
	}
	watch.accept()
	overlap := time.AfterFunc(maxOverlap, func() { watch.giveUpSilent() })
	defer overlap.Stop()
	err := s.readAhead()
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// handleResumeError records a resumed stream that failed before its first event. The result
// is that of tryResume.
func (j *job) handleResumeError(s *send, cause error) *refusal {
	switch {
	case s.isNotNeeded():
		j.recordAttempt(s, "not-needed")
		return nil
	case j.callerLeft():
		j.recordAttempt(s, "caller-left")
		return refusedCallerLeft
	}
	j.outcome.err = cause
	j.recordBrokenStream(s, cause)
	return j.prepareRetry(true)
}

// isNotNeeded reports whether the send was cancelled because the stream goes on without it.
func (s *send) isNotNeeded() bool { return errors.Is(context.Cause(s.ctx), errHedgeNotNeeded) }
