package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/greengagegate/greengagegate/internal/bootclock"
	"github.com/greengagegate/greengagegate/internal/permit"
	"github.com/greengagegate/greengagegate/internal/poison"
)

const (
	// trialInterval is the pause between two trials of one content by all gateways. All have
	// heard of the result of one before the next.
	trialInterval = 1500 * time.Millisecond
	// trialLosses is the number of sends of one request that must be lost before the next
	// one is a trial, whether or not a crash has been found yet.
	trialLosses = 2
)

// Permits bounds what all gateways do together; see package permit.
type Permits interface {
	Acquire(ctx context.Context, request permit.Request) (permit.Decision, error)
}

// trialKey returns the content because of which the next send of the request is a trial, or
// "" if it is none.
func (j *job) trialKey() poison.Key {
	if j.losses >= trialLosses {
		keys := j.poisonKeys()
		return keys[len(keys)-1]
	}
	if tracker := j.gateway.Poison; !tracker.IsIdle() {
		return tracker.OnTrial(j.poisonKeys())
	}
	return ""
}

// mayTry reports whether the request may be sent now: it is none that may have crashed
// upstreams, or all gateways together may try it once more. Load pattern: a request that
// crashes each upstream is repeated at all gateways at once, which would lose an upstream
// with each copy before any of them knows of the other crashes.
func (j *job) mayTry(ctx context.Context) bool {
	key := j.trialKey()
	if key == "" {
		return true
	}
	j.outcome.suspectKey = key
	if bootclock.Now().Before(j.nextTrialAt) {
		return false
	}
	decision, err := j.gateway.Permits.Acquire(ctx, permit.Request{Resource: "trial " + string(key), Interval: trialInterval})
	if err != nil {
		j.outcome.err = err
	}
	j.onTrial = decision.Granted
	j.nextTrialAt = bootclock.Now().Add(decision.RetryAfter)
	return decision.Granted
}

// trialRefusal returns the refusal of a request that may not be tried now, or nil if it is
// not held back for a trial.
func (j *job) trialRefusal() *refusal {
	wait := j.nextTrialAt.Sub(bootclock.Now())
	switch {
	case wait <= 0:
		return nil
	case j.possibleRuns > 0:
		return failedAnswerLost
	default:
		return &refusal{http.StatusServiceUnavailable, "on-trial", max(wait, transientRetryAfter)}
	}
}
