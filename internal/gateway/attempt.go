package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/greengagegate/greengagegate/internal/balancer"
	"github.com/greengagegate/greengagegate/internal/bootclock"
	"github.com/greengagegate/greengagegate/internal/catalog"
	"github.com/greengagegate/greengagegate/internal/exchange"
)

const (
	// pickWaitFraction bounds the time that a request waits for a usable upstream, as a
	// fraction of the route's objective.
	pickWaitFraction = 0.12
	// pickInterval is the pause between two tries to pick an upstream.
	pickInterval = 10 * time.Millisecond
	// minTimeLeft bounds attempts: none is made if less time is left before the deadline.
	minTimeLeft = 5 * time.Millisecond
	// refusalPause is the time during which an upstream that refused a request gets no
	// requests.
	refusalPause = 60 * time.Millisecond
	// misdirectedPause is the time during which an upstream gets no requests after it
	// answered that a request was misdirected, for example because it does not have the
	// weights that the request needs.
	misdirectedPause = 150 * time.Millisecond
	// maxAttempts bounds the attempts of one request, including those that did not run
	// it. Route.MaxRuns bounds only the attempts that may have run it.
	maxAttempts = 4
)

// attemptRecord is one attempt of a request, as the request's log line shows it.
type attemptRecord struct {
	upstream string
	result   string
	duration time.Duration
}

// run makes attempts until the caller has a response or no further attempt is allowed.
func (j *job) run() {
	j.prepareRequest()
	j.gateway.SharedBudget.Earn(j.pool.Name)
	var refused *refusal
	for refused == nil {
		var done bool
		if done, refused = j.tryUpstream(); done {
			return
		}
	}
	j.writeRefusal(refused)
}

// prepareRequest sets the fields of j.pickRequest, from which the balancer picks an
// upstream.
func (j *job) prepareRequest() {
	j.pickRequest.MaxConnections = j.pool.MaxConnections
	if j.pool.Engine == nil {
		return
	}
	j.pickRequest.Model = j.call.Model
	j.pickRequest.Parts = j.call.Parts
	j.pickRequest.PromptTokens = j.call.PromptTokens
	j.pickRequest.Salt = j.salt
	j.pickRequest.CacheTokens = j.pool.Engine.CacheTokens
	j.pickRequest.LinkTokensPerMS = j.pool.Engine.LinkTokensPerMS
	j.pickRequest.Objective = j.route.LatencyObjective
	j.pickRequest.Priority = j.priority()
}

// priority returns the priority of the customer, or that of the route if the customer has
// none.
func (j *job) priority() int {
	if j.customer != nil && j.customer.Priority != nil {
		return *j.customer.Priority
	}
	return j.route.Priority
}

// updateTargetVersion sets the fields of j.pickRequest that depend on the target version of
// the weights. It is called before each pick, because the version may have changed or
// become too old since the previous attempt.
func (j *job) updateTargetVersion() {
	if j.pool.Engine == nil {
		return
	}
	target := j.gateway.Catalog.TargetVersion(j.call.Model)
	j.pickRequest.TargetVersion = 0
	if target.Age(bootclock.Now()) > j.gateway.Bounds.WeightsGrace {
		j.pickRequest.TargetVersion = target.Version
	}
	sendLimit := j.gateway.Bounds.StalenessLimit - sendMargin
	j.pickRequest.MinVersion = func(begin bootclock.Instant) int64 { return target.MinVersion(begin, sendLimit) }
	j.pickRequest.CertainMinVersion = nil
	if target.AnyAgeAssumed() {
		j.pickRequest.CertainMinVersion = func(begin bootclock.Instant) int64 { return target.CertainMinVersion(begin, sendLimit) }
	}
}

// tryUpstream makes one attempt. done reports whether the caller has a response or has
// disconnected. If done is false, a non-nil refused ends the job, and a nil refused
// means that another attempt follows.
func (j *job) tryUpstream() (done bool, refused *refusal) {
	choice, refused := j.pickUpstream(j.r.Context())
	if refused != nil {
		j.endTurn()
		return false, refused
	}
	ctx, cancel := j.sendContext()
	defer cancel()
	s, err := j.send(ctx, &choice, j.call.LastEventID)
	defer s.end()
	if err != nil {
		return j.handleSendError(s, err)
	}
	return j.handleResponse(ctx, s)
}

// pickUpstream picks an upstream for the next attempt. It blocks for up to
// pickWaitFraction of the route's objective while no upstream is usable, or until ctx ends.
func (j *job) pickUpstream(ctx context.Context) (balancer.Choice, *refusal) {
	j.gateway.waiting.Add(1)
	defer j.gateway.waiting.Add(-1)
	waitUntil := bootclock.Now().Add(j.pickWait())
	for {
		if refused := j.checkUnservable(ctx); refused != nil {
			return balancer.Choice{}, refused
		}
		j.updateTargetVersion()
		upstreams := j.gateway.Catalog.Upstreams()
		if upstreams == nil {
			return balancer.Choice{}, refusedNoConfig
		}
		choice, ok := j.pick(upstreams.ByPool[j.pool.Name])
		if ok {
			j.choice = choice
		}
		if ok || j.mayWaitFor(&choice) {
			waited, refused := j.awaitTurn(ctx, &choice)
			if refused != nil {
				return choice, refused
			}
			if waited {
				waitUntil = bootclock.Now().Add(j.pickWait())
				continue
			}
		}
		if ok {
			isFree := j.confirmVersion(ctx, &choice) && j.mayUse(ctx, &choice)
			if isFree && j.mayTry(ctx) {
				return choice, j.checkStopping()
			}
			if !isFree && choice.Usable > 1 {
				// Another upstream may take the request at once.
				continue
			}
		}
		if !bootclock.Now().Before(waitUntil) || !ok && choice.Excluded.IsWaitInVain(waitUntil) {
			j.outcome.excluded = choice.Excluded.String()
			return balancer.Choice{}, j.heldBackRefusal(&choice)
		}
		time.Sleep(pickInterval)
	}
}

// pickWait returns how long the request waits for a usable upstream.
func (j *job) pickWait() time.Duration {
	return time.Duration(pickWaitFraction * float64(j.route.LatencyObjective))
}

// checkUnservable returns a refusal if no upstream may get the request any more, whichever is
// free.
func (j *job) checkUnservable(ctx context.Context) *refusal {
	switch {
	case j.callerLeft():
		j.outcome.err = errCallerLeft
		return refusedCallerLeft
	case ctx.Err() != nil:
		return j.unservedRefusal()
	case j.timeLeft() < minTimeLeft:
		return j.timeoutRefusal()
	}
	if refused := j.checkStopping(); refused != nil {
		return refused
	}
	return j.checkConviction()
}

// heldBackRefusal returns the refusal of a request for which no upstream was found in time.
// choice is the balancer's last choice.
func (j *job) heldBackRefusal(choice *balancer.Choice) *refusal {
	if refused := j.trialRefusal(); refused != nil && choice.Upstream != nil {
		return refused
	}
	if len(j.attempts) == 0 && choice.Excluded.AtLimit > 0 {
		return limitRefusal(choice.Excluded.LimitedUntil)
	}
	return j.unservedRefusal()
}

// checkOverload returns a refusal if the expected wait, including the costs and bonuses
// that the balancer adds, exceeds the route's objective. It never refuses a request to a
// plain service, or a request that already had an attempt, because its caller has
// already waited.
func (j *job) checkOverload(expectedWaitMS float64) *refusal {
	if j.pool.Engine == nil || len(j.attempts) > 0 {
		return nil
	}
	retryAfter := overloadRetryAfter(time.Duration(expectedWaitMS*float64(time.Millisecond)), j.route.LatencyObjective)
	if retryAfter <= 0 {
		return nil
	}
	return &refusal{http.StatusServiceUnavailable, "upstreams-busy", retryAfter}
}

// unservedRefusal returns the refusal of a request that gets no further attempt, because
// no upstream is usable, maxAttempts is reached or the retry budget is spent. The refusal
// depends on whether an upstream may have run the request and whether any attempt was
// made.
func (j *job) unservedRefusal() *refusal {
	switch {
	case j.possibleRuns > 0:
		return failedAnswerLost
	case len(j.attempts) > 0:
		// The attempts were refused or could not be sent.
		return refusedAfterAttempts
	default:
		return refusedNoUpstream
	}
}

// timeoutRefusal returns the refusal of a request whose deadline is too near for
// another attempt.
func (j *job) timeoutRefusal() *refusal {
	if j.possibleRuns > 0 {
		return failedTimeout
	}
	return refusedTimeout
}

// buildRequest returns the request to send to the chosen upstream. lastEventID is the ID of
// the event after which a stream resumes, or empty.
func (j *job) buildRequest(choice *balancer.Choice, lastEventID string) *exchange.Request {
	metadata := &ForwardMetadata{
		Upstream:    choice.Upstream.ID,
		TimeLeft:    j.timeLeft(),
		Priority:    j.priority(),
		LastEventID: lastEventID,
	}
	if j.customer != nil {
		metadata.Customer = j.customer.Name
	}
	if j.pool.Engine != nil {
		metadata.Salt = j.salt(choice.Version)
		metadata.Version = choice.Version
		if choice.Version > 0 {
			metadata.CopySource, metadata.SaveStore = choice.CopySource, choice.SaveStore
		}
	}
	call := j.call
	codec := j.gateway.Codec
	return &exchange.Request{
		Method:     j.r.Method,
		Target:     j.r.RequestURI,
		Host:       j.r.Host,
		Header:     codec.Headers(j.r.Header, call, metadata),
		Body:       j.bodyChunks(),
		AtMostOnce: j.route.Kind == catalog.NonIdempotent,
		ID:         call.ID,
		ResponseID: codec.ResponseID,
	}
}

// handleSendError handles an attempt that got no response and decides whether another
// attempt may follow. The results are those of tryUpstream.
func (j *job) handleSendError(s *send, cause error) (bool, *refusal) {
	upstream := s.choice.Upstream
	var failure *exchange.Error
	if !errors.As(cause, &failure) {
		failure = &exchange.Error{Progress: exchange.MaybeSent}
	}
	if s.isNotNeeded() {
		if failure.Progress != exchange.NotSent {
			j.possibleRuns++
		}
		j.recordAttempt(s, "not-needed")
		return false, nil
	}
	j.outcome.err = cause
	if j.callerLeft() {
		j.recordAttempt(s, "caller-left")
		if failure.Progress != exchange.NotSent {
			j.possibleRuns++
		}
		return true, nil
	}
	if s.isTakenBack() {
		return false, j.retryTakenBack(s, failure.Progress)
	}
	if failure.Progress == exchange.NotSent {
		j.recordAttempt(s, "not-sent")
		if s.ctx.Err() == nil {
			j.gateway.markUnreachable(upstream, s.attempt, cause)
		}
		return false, j.prepareRetry(false)
	}
	j.possibleRuns++
	j.recordAttempt(s, "no-answer")
	j.recordLoss(s, cause)
	timedOut := j.timeLeft() < minTimeLeft
	// Unacknowledged data shows that the Host is unreachable. Other errors show it only on
	// a new connection and before the deadline: the upstream may have closed a reused
	// connection while it was idle, and after a timeout it may just be slow.
	if failure.IsUnacknowledged() || !failure.Reused && !timedOut {
		j.gateway.markUnreachable(upstream, s.attempt, cause)
	}
	s.attempt.RecordFailure()
	if timedOut {
		return false, failedTimeout
	}
	return false, j.prepareRetry(true)
}

// retryTakenBack decides whether another attempt follows a send that was taken back, which
// says nothing about the upstream's health.
func (j *job) retryTakenBack(s *send, progress exchange.Progress) *refusal {
	mayHaveRun := progress != exchange.NotSent
	if mayHaveRun {
		j.possibleRuns++
	}
	j.recordAttempt(s, "taken-back")
	return j.prepareRetry(mayHaveRun)
}

// prepareRetry prepares another attempt. It returns nil if the attempt may be made, and
// otherwise the refusal that ends the job. It excludes the upstream of the last recorded
// attempt from further ones and spends one retry of the pool's budget, except after an
// attempt that sent nothing. mayHaveRun states whether the upstream may have run the
// last attempt. prepareRetry must be called after recordAttempt.
func (j *job) prepareRetry(mayHaveRun bool) *refusal {
	if mayHaveRun && (!j.mayRunAgain() || j.possibleRuns >= max(1, j.route.MaxRuns)) {
		return failedAnswerLost
	}
	if j.timeLeft() < minTimeLeft {
		return j.timeoutRefusal()
	}
	if j.sendCount >= maxAttempts {
		return j.unservedRefusal()
	}
	lastAttempt := j.attempts[len(j.attempts)-1]
	j.pickRequest.TriedUpstreams = append(j.pickRequest.TriedUpstreams, lastAttempt.upstream)
	if lastAttempt.result == "not-sent" {
		return nil
	}
	if !j.gateway.SharedBudget.Spend(j.pool.Name) {
		return j.unservedRefusal()
	}
	return nil
}

// recordAttempt adds an attempt and its result to the job's log line.
func (j *job) recordAttempt(s *send, result string) {
	s.report.recordResult(result)
	j.attempts = append(j.attempts, attemptRecord{upstream: s.choice.Upstream.ID, result: result, duration: bootclock.Since(s.startedAt)})
}
