package balancer

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/greengagegate/greengagegate/internal/bootclock"
	"github.com/greengagegate/greengagegate/internal/catalog"
)

const (
	// prefillRateTimeConstant is the time in which the weight of recorded tokens in the
	// prefill rate falls to 1/e.
	prefillRateTimeConstant = 2 * time.Second
	// newWeightsLoadShare limits the requests that prefer new weights: they may fill this
	// share of the prefill capacity of the engines that have new weights.
	newWeightsLoadShare = 0.4
)

// prefillRate is the number of prompt tokens per millisecond that this gateway gives
// engines to prefill, averaged with exponentially decaying weights.
type prefillRate struct {
	// value is the rate at updatedAt, in tokens per millisecond.
	value     float64
	updatedAt bootclock.Instant
}

// add records tokens of a request that is sent to an engine now and that the engine has
// to prefill.
func (r *prefillRate) add(tokens float64, now bootclock.Instant) {
	r.value = r.tokensPerMS(now) + tokens/float64(prefillRateTimeConstant/time.Millisecond)
	r.updatedAt = now
}

// tokensPerMS returns the current rate.
func (r *prefillRate) tokensPerMS(now bootclock.Instant) float64 {
	return r.value * math.Exp(-float64(now.Sub(r.updatedAt))/float64(prefillRateTimeConstant))
}

// drawNewWeightsPreference decides whether a request prefers engines with new weights.
// While only some engines have them, it decides at random, for as many requests as fill
// newWeightsLoadShare of the prefill capacity of these engines. It always returns true
// in a fleet of at most maxSmallFleetGateways gateways, and when all upstreams have them
// and none is draining, replaced, unreachable or on hold. b.mu must be held.
//
// Load pattern: many gateways learn at the same time that some engines have new weights.
// These engines have empty caches and are idle. Each gateway finds them the cheapest, and
// together the gateways send them seconds of work before the first gateway observes the
// load. In a small fleet each gateway has enough requests of its own to observe it at
// once.
func (b *Balancer) drawNewWeightsPreference(upstreams []*catalog.Upstream, candidates []candidate, request *Request, now bootclock.Instant) bool {
	if b.gatewayCount <= maxSmallFleetGateways {
		return true
	}
	newWeightsCount, newWeightsTokensPerMS := 0, 0.0
	for i, upstream := range upstreams {
		s := candidates[i].state
		if candidates[i].version >= request.TargetVersion && !upstream.Draining && !s.isLeaving(now) && !s.replaced && !s.unreachable && !now.Before(s.heldUntil) {
			newWeightsCount++
			newWeightsTokensPerMS += s.prefillTokensPerMS(now)
		}
	}
	if newWeightsCount == len(upstreams) {
		return true
	}
	fleetTokensPerMS := b.prefillRate.tokensPerMS(now) * float64(b.gatewayCount)
	return rand.Float64()*fleetTokensPerMS < newWeightsLoadShare*newWeightsTokensPerMS
}
