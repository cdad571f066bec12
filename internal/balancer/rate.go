package balancer

import (
	"time"

	"github.com/greengagegate/greengagegate/internal/bootclock"
	"github.com/greengagegate/greengagegate/internal/enginerate"
)

// learnedRates holds the learned prefill rates of the pools for which they are enabled.
type learnedRates struct {
	// allPools is true if rates are learned for all pools.
	allPools bool
	pools    map[string]*enginerate.Pool
}

// EnableLearnedRates makes the balancer learn the prefill rate of each engine instead of
// assuming the same for all, and use the load that upstreams report.
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

// prefillTokensPerMS returns the rate at which the engine is expected to prefill prompts.
func (s *upstreamState) prefillTokensPerMS(now bootclock.Instant) float64 {
	if s.rate == nil {
		return prefillTokensPerMS
	}
	return s.rate.TokensPerMS(now)
}

// prefillProgress tracks the prefill work of this gateway's requests at an engine.
type prefillProgress struct {
	// doneTokens is the number of tokens of all requests that have had a first response.
	doneTokens int64
	// busySince is when the engine began, at the latest, to work on the requests that it has
	// now: the newest first response, or the sending of a request while there was no other.
	busySince bootclock.Instant
}

// prefillStart is what was known when a request was sent. The zero value belongs to a request
// that is not observed.
type prefillStart struct {
	sentAt        bootclock.Instant
	startedMillis int64
	// missingTokens is the number of tokens to prefill. certainTokens is the number of those
	// that cannot have been cached since.
	missingTokens, certainTokens int64
	// doneTokens is the number of tokens that the engine had prefilled, including the
	// estimated part of a request that it had not completed.
	doneTokens float64
	slowness   float64
	waiting    bool
}

// beginPrefill records that a request is about to be sent, which must not be counted in
// backlogTokens yet.
func (s *upstreamState) beginPrefill(missingTokens int64, request *Request, now bootclock.Instant) prefillStart {
	if s.rate == nil {
		return prefillStart{}
	}
	if s.backlogTokens == 0 {
		s.prefill.busySince = now
	}
	certainTokens := missingTokens
	if count := len(request.Parts); count > 0 {
		certainTokens = min(missingTokens, request.Parts[count-1].Tokens)
	}
	sinceBusy := float64(now.Sub(s.prefill.busySince)) / float64(time.Millisecond)
	partial := min(float64(s.backlogTokens), sinceBusy*s.rate.TokensPerMS(now))
	return prefillStart{
		sentAt: now, startedMillis: s.startedMillis, missingTokens: missingTokens, certainTokens: certainTokens,
		doneTokens: float64(s.prefill.doneTokens) + partial,
		slowness:   s.rate.Slowness(now), waiting: s.rate.IsQueueing(now),
	}
}

// observePrefill records the first response to a request, unless another incarnation has
// been listed since it was sent or rates were not learned then.
func (s *upstreamState) observePrefill(a *Attempt, now bootclock.Instant) {
	start := &a.prefill
	if s.rate == nil || start.sentAt == 0 || start.startedMillis != s.startedMillis {
		return
	}
	s.rate.Observe(enginerate.Sample{
		Tokens:        start.missingTokens,
		CertainTokens: start.certainTokens,
		OtherTokens:   max(0, float64(s.prefill.doneTokens)-start.doneTokens),
		Elapsed:       now.Sub(start.sentAt),
		Queued:        start.waiting,
		Slowness:      (start.slowness + s.rate.Slowness(now)) / 2,
	}, now)
	s.prefill.doneTokens += start.missingTokens
	s.prefill.busySince = now
}
