package gateway

import (
	"strings"
	"time"

	"github.com/greengagegate/greengagegate/internal/balancer"
	"github.com/greengagegate/greengagegate/internal/bootclock"
	"github.com/greengagegate/greengagegate/internal/catalog"
)

// Rollouts limits requests to software versions while one is rolled out in a pool, and
// collects how the versions respond; see package rollout.
type Rollouts interface {
	// Filter returns the upstreams that may get a request, or nil if all may.
	Filter(pool, streamID string, pinned bool) *balancer.VersionFilter
	// FilterWithoutTarget is Filter for a request that is not to go to the version that is
	// being rolled out.
	FilterWithoutTarget(pool string) *balancer.VersionFilter
	// RecordSend records that a request was sent to an upstream.
	RecordSend(route string, upstream *catalog.Upstream)
	// RecordResponse records that the upstream began to respond to a request that was sent
	// delay ago.
	RecordResponse(route string, upstream *catalog.Upstream, delay time.Duration)
	// RecordFailure records that the upstream failed a request. responded is true if
	// RecordResponse was called for the request before.
	RecordFailure(route string, upstream *catalog.Upstream, responded bool)
}

// pick picks an upstream among those whose software version the request may go to. A request
// that is to go to canaries goes to another upstream if they are not usable or cannot start
// it within the route's objective.
func (j *job) pick(upstreams []*catalog.Upstream) (balancer.Choice, bool) {
	request := &j.pickRequest
	request.Versions = j.gateway.Rollouts.Filter(j.pool.Name, j.streamID(), request.SoftwarePinned)
	choice, ok := j.gateway.Balancer.Pick(upstreams, request)
	isCanary := request.Versions != nil && request.Versions.Canaries != nil
	if !isCanary || ok && j.isWithinObjective(choice.ExpectedWaitMS) {
		return choice, ok
	}
	request.Versions = j.gateway.Rollouts.FilterWithoutTarget(j.pool.Name)
	return j.gateway.Balancer.Pick(upstreams, request)
}

// isWithinObjective reports whether an expected wait is within the route's objective, or the
// route has none.
func (j *job) isWithinObjective(expectedWaitMS float64) bool {
	objective := j.route.LatencyObjective
	return objective <= 0 || expectedWaitMS <= float64(objective)/float64(time.Millisecond)
}

// responseReport reports the result of one send to the rollout of software versions. A
// successful response is reported when it begins: long streams would otherwise be reported
// much later than failures, so that a version would look bad at first.
type responseReport struct {
	rollouts          Rollouts
	route             string
	upstream          *catalog.Upstream
	sentAt            bootclock.Instant
	responded, failed bool
}

// reportSend reports a send to the chosen upstream.
func (j *job) reportSend(choice *balancer.Choice, sentAt bootclock.Instant) responseReport {
	j.gateway.Rollouts.RecordSend(j.route.Name, choice.Upstream)
	return responseReport{rollouts: j.gateway.Rollouts, route: j.route.Name, upstream: choice.Upstream, sentAt: sentAt}
}

// recordBegin reports that the upstream began to respond. Calls after the first one have no
// effect.
func (r *responseReport) recordBegin() {
	if r.responded || r.failed {
		return
	}
	r.responded = true
	r.rollouts.RecordResponse(r.route, r.upstream, bootclock.Since(r.sentAt))
}

// recordResult reports the result of an attempt, as recordAttempt names it, if the upstream
// failed. Other results say nothing about its software: the request did not run, or the
// gateway or the caller ended it.
func (r *responseReport) recordResult(result string) {
	isFailure := result == "no-answer" || result == "unsound" || result == "broken-off" || strings.HasPrefix(result, "status-5")
	if !isFailure || r.failed {
		return
	}
	r.failed = true
	r.rollouts.RecordFailure(r.route, r.upstream, r.responded)
}
