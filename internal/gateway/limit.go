package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/greengagegate/greengagegate/internal/balancer"
	"github.com/greengagegate/greengagegate/internal/bootclock"
	"github.com/greengagegate/greengagegate/internal/permit"
	"github.com/greengagegate/greengagegate/internal/ratelimit"
)

const (
	// limitBurstTime is the time whose requests an upstream with a limit may get at once
	// after a pause.
	limitBurstTime = 500 * time.Millisecond
	// minLimit is the lowest rate that is used, in requests per second, so that the end of a
	// limit of 0 is noticed.
	minLimit = 0.2
	// minLimitPause bounds how soon an owner is asked again for an upstream.
	minLimitPause = 5 * time.Millisecond
	// minLimitInterval bounds the time between two requests to an upstream with a limit.
	minLimitInterval = time.Microsecond
)

// mayUse reports whether the chosen upstream takes the request now: it states no limit, or
// all gateways together have not reached it. Otherwise the balancer excludes the upstream
// until this gateway may ask again. Load pattern: an upstream states a limit far below what
// all gateways send it, and less than one request for each of them.
func (j *job) mayUse(ctx context.Context, choice *balancer.Choice) bool {
	upstream := choice.Upstream
	incarnation := ratelimit.Incarnation{Upstream: upstream.ID, StartedMillis: upstream.StartedMillis}
	perSecond, limited := j.gateway.Notices.Limits.Limit(incarnation)
	if !limited {
		return true
	}
	decision, err := j.gateway.Permits.Acquire(ctx, limitRequest(incarnation, perSecond))
	if decision.Granted {
		return true
	}
	if err != nil {
		j.outcome.err = err
	}
	j.gateway.Balancer.LimitUntil(upstream.ID, bootclock.Now().Add(max(decision.RetryAfter, minLimitPause)))
	return false
}

// limitRequest returns the request for a permit to send one request to an upstream with a
// limit.
func limitRequest(of ratelimit.Incarnation, perSecond float64) permit.Request {
	perSecond = max(perSecond, minLimit)
	return permit.Request{
		Resource: "limit " + of.Upstream + " " + strconv.FormatInt(of.StartedMillis, 10),
		Interval: max(time.Duration(float64(time.Second)/perSecond), minLimitInterval),
		Burst:    min(perSecond, float64(time.Second/minLimitInterval)) * limitBurstTime.Seconds(),
	}
}

// limitRefusal returns the refusal of a request whose upstreams are at their limits until the
// given time.
func limitRefusal(until bootclock.Instant) *refusal {
	spread := time.Duration(rand.Int64N(int64(transientRetryAfter)))
	wait := max(until.Sub(bootclock.Now()), transientRetryAfter)
	return &refusal{http.StatusServiceUnavailable, "upstreams-limited", min(wait+spread, maxOverloadRetryAfter)}
}
