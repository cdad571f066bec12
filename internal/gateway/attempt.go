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
	// choiceWait is the part of a route's objective that a request waits for an
	// upstream to become usable.
	choiceWait = 0.12
	// choiceStep is the pause between two looks at the upstreams.
	choiceStep = 10 * time.Millisecond
	// minLeft is the least time that is worth a send.
	minLeft = 5 * time.Millisecond
	// fullPause is how long an upstream that refused a request is left alone.
	fullPause = 60 * time.Millisecond
	// misdirectedPause is how long an upstream with unknown weights is left alone.
	misdirectedPause = 150 * time.Millisecond
	// maxSends bounds the sends of one request, refused ones included.
	maxSends = 4
)

// sendRecord is one send of a request, for its log line.
type sendRecord struct {
	upstream string
	result   string
	took     time.Duration
}

// run sends the request until it has an answer or may not be sent again.
func (j *job) run() {
	j.prepareRequest()
	j.gateway.SharedBudget.Earn(j.pool.Name)
	var refused *refusal
	for refused == nil {
		var done bool
		if done, refused = j.attempt(); done {
			return
		}
	}
	j.refuse(refused)
}

// prepareRequest describes the request to the choice of upstreams.
func (j *job) prepareRequest() {
	j.request.MaxConnections = j.pool.MaxConnections
	if j.pool.Engine == nil {
		return
	}
	target := j.gateway.Catalog.TargetVersion(j.call.Model)
	age := bootclock.Since(target.KnownSince)
	j.request.Model = j.call.Model
	j.request.Parts = j.call.Parts
	j.request.PromptTokens = j.call.PromptTokens
	j.request.Salt = j.salt
	j.request.CacheTokens = j.pool.Engine.CacheTokens
	if age > j.gateway.Bounds.WeightsGrace {
		j.request.TargetVersion = target.Version
	}
	j.request.MinVersionAssumed = target.Assumed
	j.request.MinVersion = target.MinVersion(bootclock.Now(), j.gateway.Bounds.WeightsLimit)
}

// attempt makes one send. done says that the caller has an answer or is gone;
// otherwise a refusal ends the job, and without one there is another attempt.
func (j *job) attempt() (done bool, refused *refusal) {
	choice, refused := j.choose()
	if refused != nil {
		return false, refused
	}
	attempt := j.gateway.Balancer.Begin(choice, &j.request)
	defer attempt.Done()
	started := bootclock.Now()
	ctx, cancel := context.WithTimeout(j.r.Context(), j.left())
	defer cancel()
	response, err := j.gateway.Pool.Do(ctx, choice.Upstream.Address, j.message(&choice, j.call.LastEvent))
	if err != nil {
		return j.sendFailed(choice.Upstream, attempt, err, started)
	}
	defer response.Close()
	return j.answer(ctx, &choice, attempt, response, started)
}

// choose waits a little for a usable upstream.
func (j *job) choose() (balancer.Choice, *refusal) {
	j.gateway.waiting.Add(1)
	defer j.gateway.waiting.Add(-1)
	waitUntil := bootclock.Now().Add(time.Duration(choiceWait * float64(j.route.Objective)))
	for {
		if j.gone() {
			j.outcome.err = errGone
			return balancer.Choice{}, refusedNotRun
		}
		if j.left() < minLeft {
			return balancer.Choice{}, j.tooLate()
		}
		upstreams := j.gateway.Catalog.Upstreams()
		if upstreams == nil {
			return balancer.Choice{}, refusedNoConfig
		}
		choice, ok := j.gateway.Balancer.Pick(upstreams.ByPool[j.pool.Name], &j.request)
		if ok {
			j.choice = choice
			return choice, j.tooBusy(choice.ExpectedWaitMS)
		}
		if !bootclock.Now().Before(waitUntil) {
			j.outcome.excluded = choice.Excluded.String()
			return balancer.Choice{}, j.notServed()
		}
		time.Sleep(choiceStep)
	}
}

// tooBusy refuses a request that would be late. One that was sent before has
// waited already, and goes on.
func (j *job) tooBusy(costMS float64) *refusal {
	if j.pool.Engine == nil || len(j.sends) > 0 {
		return nil
	}
	wait := busyWait(time.Duration(costMS*float64(time.Millisecond)), j.route.Objective)
	if wait <= 0 {
		return nil
	}
	return &refusal{http.StatusServiceUnavailable, "upstreams-busy", wait}
}

// notServed is the refusal of a request for which there is no upstream (any more).
func (j *job) notServed() *refusal {
	switch {
	case j.runs > 0:
		return failedUnknown
	case len(j.sends) > 0:
		return refusedFull
	default:
		return refusedNoUpstream
	}
}

func (j *job) tooLate() *refusal {
	if j.runs > 0 {
		return failedTimeout
	}
	return failedLate
}

func (j *job) message(choice *balancer.Choice, lastEvent string) *exchange.Request {
	metadata := &ForwardMetadata{
		Upstream:  choice.Upstream.ID,
		Left:      j.left(),
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

// sendFailed decides what follows a send that has no answer.
func (j *job) sendFailed(upstream *catalog.Upstream, attempt *balancer.Attempt, err error, started bootclock.Instant) (bool, *refusal) {
	var failure *exchange.Error
	if !errors.As(err, &failure) {
		failure = &exchange.Error{Progress: exchange.MaybeSent}
	}
	j.outcome.err = err
	if j.gone() {
		j.note(upstream, "caller-left", started)
		if failure.Progress != exchange.NotSent {
			j.runs++
		}
		return true, nil
	}
	if failure.Progress == exchange.NotSent {
		j.note(upstream, "not-sent", started)
		j.gateway.unreachable(upstream, attempt, err)
		return false, j.again(false)
	}
	j.runs++
	j.note(upstream, "no-answer", started)
	timedOut := j.left() < minLeft
	if failure.IsUnacknowledged() || !failure.Reused && !timedOut {
		j.gateway.unreachable(upstream, attempt, err)
	}
	attempt.RecordFailure()
	if timedOut {
		return false, failedTimeout
	}
	return false, j.again(true)
}

// again returns nil when the request may be sent once more. ran says that the
// last send may have run.
func (j *job) again(ran bool) *refusal {
	if ran && (!j.repeatable() || j.runs >= max(1, j.route.Attempts)) {
		return failedUnknown
	}
	if j.left() < minLeft {
		return j.tooLate()
	}
	if len(j.sends) >= maxSends {
		return j.notServed()
	}
	last := j.sends[len(j.sends)-1]
	j.request.Tried = append(j.request.Tried, last.upstream)
	if last.result == "not-sent" {
		return nil
	}
	if !j.gateway.SharedBudget.Spend(j.pool.Name) {
		return j.notServed()
	}
	return nil
}

// note records a send.
func (j *job) note(upstream *catalog.Upstream, result string, started bootclock.Instant) {
	j.sends = append(j.sends, sendRecord{upstream: upstream.ID, result: result, took: bootclock.Since(started)})
}

// salt names what the request's cached parts belong to.
func (j *job) salt(version int64) string {
	return cacheSalt(version, j.customer)
}
