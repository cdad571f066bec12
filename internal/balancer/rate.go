package balancer

import (
	"github.com/greengagegate/greengagegate/internal/bootclock"
	"github.com/greengagegate/greengagegate/internal/enginerate"
)

// learnedRates holds the learned prefill rates of the pools for which they are enabled.
type learnedRates struct {
	// allPools is true if rates are learned for all pools.
	allPools bool
	pools    map[string]*enginerate.Pool
}

// EnableLearnedRates makes the balancer learn the prefill rate of each engine of all pools
// instead of assuming the same for all, and use the load that upstreams report, the rates of
// their links and the priorities of requests.
func (b *Balancer) EnableLearnedRates() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.rates.allPools = true
	for _, s := range b.upstreams {
		if s.listed {
			b.rates.assign(s, s.pool)
		}
	}
}

// enablePool enables learned rates for a pool and reports whether they were disabled.
func (r *learnedRates) enablePool(pool string, upstreams map[string]*upstreamState) bool {
	if r.pools[pool] != nil {
		return false
	}
	r.addPool(pool)
	for _, s := range upstreams {
		if s.listed && s.pool == pool {
			r.assign(s, pool)
		}
	}
	return true
}

// addPool adds a pool that has no engines yet.
func (r *learnedRates) addPool(pool string) {
	if r.pools == nil {
		r.pools = make(map[string]*enginerate.Pool)
	}
	r.pools[pool] = enginerate.NewPool(prefillTokensPerMS)
}

// assign records the pool of a listed upstream, and gives the upstream a learned rate if they
// are enabled for the pool.
func (r *learnedRates) assign(s *upstreamState, pool string) {
	if s.pool != pool {
		s.rate.Remove()
		s.pool, s.rate = pool, nil
	}
	s.listed = true
	if r.allPools && r.pools[pool] == nil {
		r.addPool(pool)
	}
	if s.rate == nil && r.pools[pool] != nil {
		s.rate = r.pools[pool].Add()
	}
}

// prefillTokensPerMS returns the rate at which the engine is expected to prefill prompts, learned
// or assumed.
func (s *upstreamState) prefillTokensPerMS(now bootclock.Instant) float64 {
	if s.rate == nil {
		return prefillTokensPerMS
	}
	return s.rate.TokensPerMS(now)
}

// beginPrefill records that a request is about to be sent, which must not be counted in
// backlogTokens yet. Only the last part of its prompt cannot have been cached by a request of
// another gateway.
func (s *upstreamState) beginPrefill(missingTokens int64, request *Request, now bootclock.Instant) enginerate.Start {
	certainTokens := missingTokens
	if count := len(request.Parts); count > 0 {
		certainTokens = request.Parts[count-1].Tokens
	}
	return s.rate.Begin(missingTokens, certainTokens, s.backlogTokens, now)
}
