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
	// pickWaitFraction is the fraction of a route's objective for which a request waits
	// until an upstream becomes usable.
	pickWaitFraction = 0.12
	// pickInterval is the pause between two tries to pick an upstream.
	pickInterval = 10 * time.Millisecond
	// minTimeLeft is the least time before the deadline for which an attempt is made.
	minTimeLeft = 5 * time.Millisecond
	// refusalPause is how long an upstream that refused a request gets no requests.
	refusalPause = 60 * time.Millisecond
	// misdirectedPause is how long an upstream gets no requests after it answered that
	// it has other weights than the request needs.
	misdirectedPause = 150 * time.Millisecond
	// maxAttempts bounds the attempts of one request, including refused ones.
	maxAttempts = 4
)

// attemptRecord is one attempt of a request, as its log line shows it.
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

// prepareRequest fills in the properties of the request by which the balancer picks an
// upstream.
func (j *job) prepareRequest() {
	j.request.MaxConnections = j.pool.MaxConnections
	if j.pool.Engine == nil {
		return
	}
	target := j.gateway.Catalog.TargetVersion(j.call.Model)
	targetAge := bootclock.Since(target.KnownSince)
	j.request.Model = j.call.Model
	j.request.Parts = j.call.Parts
	j.request.PromptTokens = j.call.PromptTokens
	j.request.Salt = j.salt
	j.request.CacheTokens = j.pool.Engine.CacheTokens
	if targetAge > j.gateway.Bounds.WeightsGrace {
		j.request.TargetVersion = target.Version
	}
	j.request.MinVersionAssumed = target.Assumed
	j.request.MinVersion = target.MinVersion(bootclock.Now(), j.gateway.Bounds.WeightsLimit)
}

// tryUpstream makes one attempt. done reports whether the caller has a response or has
// disconnected. If done is false, a non-nil refused ends the job, and a nil refused
// means that another attempt follows.
func (j *job) tryUpstream() (done bool, refused *refusal) {
	choice, refused := j.pickUpstream()
	if refused != nil {
		return false, refused
	}
	attempt := j.gateway.Balancer.Begin(choice, &j.request)
	defer attempt.Done()
	started := bootclock.Now()
	ctx, cancel := context.WithTimeout(j.r.Context(), j.timeLeft())
	defer cancel()
	response, err := j.gateway.Pool.Do(ctx, choice.Upstream.Address, j.buildRequest(&choice, j.call.LastEvent))
	if err != nil {
		return j.handleSendError(choice.Upstream, attempt, err, started)
	}
	defer response.Close()
	return j.handleResponse(ctx, &choice, attempt, response, started)
}

// pickUpstream picks an upstream for the next attempt. It blocks for up to
// pickWaitFraction of the route's objective while no upstream is usable.
func (j *job) pickUpstream() (balancer.Choice, *refusal) {
	j.gateway.waiting.Add(1)
	defer j.gateway.waiting.Add(-1)
	waitUntil := bootclock.Now().Add(time.Duration(pickWaitFraction * float64(j.route.Objective)))
	for {
		if j.callerLeft() {
			j.outcome.err = errCallerLeft
			return balancer.Choice{}, refusedNotRun
		}
		if j.timeLeft() < minTimeLeft {
			return balancer.Choice{}, j.timeoutRefusal()
		}
		upstreams := j.gateway.Catalog.Upstreams()
		if upstreams == nil {
			return balancer.Choice{}, refusedNoConfig
		}
		choice, ok := j.gateway.Balancer.Pick(upstreams.ByPool[j.pool.Name], &j.request)
		if ok {
			j.choice = choice
			return choice, j.checkOverload(choice.ExpectedWaitMS)
		}
		if !bootclock.Now().Before(waitUntil) {
			j.outcome.excluded = choice.Excluded.String()
			return balancer.Choice{}, j.unservedRefusal()
		}
		time.Sleep(pickInterval)
	}
}

// checkOverload returns a refusal if the request's first event is expected too late. A
// request that already had an attempt is never refused, because its caller has already
// waited.
func (j *job) checkOverload(expectedWaitMS float64) *refusal {
	if j.pool.Engine == nil || len(j.attempts) > 0 {
		return nil
	}
	retryAfter := overloadRetryAfter(time.Duration(expectedWaitMS*float64(time.Millisecond)), j.route.Objective)
	if retryAfter <= 0 {
		return nil
	}
	return &refusal{http.StatusServiceUnavailable, "upstreams-busy", retryAfter}
}

// unservedRefusal returns the refusal of a request for which no upstream is left. It
// depends on whether an upstream may have run the request or has refused it.
func (j *job) unservedRefusal() *refusal {
	switch {
	case j.possibleRuns > 0:
		return failedAnswerLost
	case len(j.attempts) > 0:
		return refusedUpstreamsFull
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
	return failedTimeoutNotRun
}

// buildRequest returns the message for the chosen upstream. lastEvent is the ID of the
// event after which a stream resumes, or empty.
func (j *job) buildRequest(choice *balancer.Choice, lastEvent string) *exchange.Request {
	metadata := &ForwardMetadata{
		Upstream:  choice.Upstream.ID,
		Left:      j.timeLeft(),
		Priority:  j.route.Priority,
		LastEvent: lastEvent,
	}
	if j.customer != nil {
		metadata.Customer = j.customer.Name
		if j.customer.Priority != nil {
			metadata.Priority = *j.customer.Priority
		}
	}
	if j.pool.Engine != nil {
		metadata.Salt = j.salt(choice.Version)
		metadata.Version = choice.Version
		metadata.Source, metadata.Save = choice.CopySource, choice.SaveStore
	}
	call := j.call
	codec := j.gateway.Codec
	return &exchange.Request{
		Method:     j.r.Method,
		Target:     j.r.RequestURI,
		Host:       j.r.Host,
		Header:     codec.Headers(j.r.Header, call, metadata),
		Body:       j.body,
		AtMostOnce: j.route.Kind == catalog.NonIdempotent,
		Matches:    func(header http.Header) bool { return codec.IsAnswerTo(call, header) },
	}
}

// handleSendError decides whether another attempt follows one that got no response.
// The results are those of tryUpstream.
func (j *job) handleSendError(upstream *catalog.Upstream, attempt *balancer.Attempt, cause error, started bootclock.Instant) (bool, *refusal) {
	var failure *exchange.Error
	if !errors.As(cause, &failure) {
		failure = &exchange.Error{Progress: exchange.MaybeSent}
	}
	j.outcome.err = cause
	if j.callerLeft() {
		j.recordAttempt(upstream, "caller-left", started)
		if failure.Progress != exchange.NotSent {
			j.possibleRuns++
		}
		return true, nil
	}
	if failure.Progress == exchange.NotSent {
		j.recordAttempt(upstream, "not-sent", started)
		j.gateway.markUnreachable(upstream, attempt, cause)
		return false, j.prepareRetry(false)
	}
	j.possibleRuns++
	j.recordAttempt(upstream, "no-answer", started)
	timedOut := j.timeLeft() < minTimeLeft
	if failure.IsUnacknowledged() || !failure.Reused && !timedOut {
		j.gateway.markUnreachable(upstream, attempt, cause)
	}
	attempt.RecordFailure()
	if timedOut {
		return false, failedTimeout
	}
	return false, j.prepareRetry(true)
}

// prepareRetry returns nil if the request may have another attempt, and the refusal
// otherwise. It excludes the last upstream from that attempt and spends the retry
// budget, except after an attempt that sent nothing. mayHaveRun states whether the
// upstream may have run the last attempt.
func (j *job) prepareRetry(mayHaveRun bool) *refusal {
	if mayHaveRun && (!j.mayRunAgain() || j.possibleRuns >= max(1, j.route.Attempts)) {
		return failedAnswerLost
	}
	if j.timeLeft() < minTimeLeft {
		return j.timeoutRefusal()
	}
	if len(j.attempts) >= maxAttempts {
		return j.unservedRefusal()
	}
	lastAttempt := j.attempts[len(j.attempts)-1]
	j.request.Tried = append(j.request.Tried, lastAttempt.upstream)
	if lastAttempt.result == "not-sent" {
		return nil
	}
	if !j.gateway.SharedBudget.Spend(j.pool.Name) {
		return j.unservedRefusal()
	}
	return nil
}

// recordAttempt adds an attempt and its result to the job's log line.
func (j *job) recordAttempt(upstream *catalog.Upstream, result string, started bootclock.Instant) {
	j.attempts = append(j.attempts, attemptRecord{upstream: upstream.ID, result: result, duration: bootclock.Since(started)})
}

// salt returns the cache namespace of the request's parts for a version of the weights.
func (j *job) salt(version int64) string {
	return cacheSalt(version, j.customer)
}
