package balancer

import (
	"time"

	"github.com/greengagegate/greengagegate/internal/bootclock"
	"github.com/greengagegate/greengagegate/internal/catalog"
	"github.com/greengagegate/greengagegate/internal/sizesplit"
)

// assignInterval is the least time between two assignments of a pool's engines to parts.
const assignInterval = 50 * time.Millisecond

// classWarmUp is how long the objectives of requests are recorded before their work is. Until
// the shortest objective is known, requests would be counted in the wrong class.
const classWarmUp = time.Second

// poolSplit divides the engines of one pool between short and long prompts.
type poolSplit struct {
	meter  sizesplit.Meter
	split  sizesplit.Split
	layout *sizesplit.Layout
	// firstRequestAt is when the first request was sent, or 0.
	firstRequestAt bootclock.Instant
	// limitTokens is the number of prompt tokens from which a request is long.
	limitTokens int64
	work        sizesplit.Work
	counts      sizesplit.Counts
	costs       sizesplit.Costs
	assignedAt  bootclock.Instant
}

// EnableSizeSplit makes the balancer divide the engines of each pool between short and long
// prompts. It must be called before SyncUpstreams.
func (b *Balancer) EnableSizeSplit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.poolSplits = make(map[string]*poolSplit)
}

// splitTokensPerMS returns the mean prefill rate of a pool's engines, learned or assumed. b.mu
// must be held.
func (b *Balancer) splitTokensPerMS(pool string, now bootclock.Instant) float64 {
	if learned := b.rates.pools[pool]; learned != nil {
		return learned.TokensPerMS(now)
	}
	return prefillTokensPerMS
}

// syncSplits updates the layouts of all pools and removes the pools that are not listed. b.mu
// must be held.
func (b *Balancer) syncSplits(listed *catalog.Upstreams) {
	if b.poolSplits == nil {
		return
	}
	for pool := range b.poolSplits {
		if _, ok := listed.ByPool[pool]; !ok {
			delete(b.poolSplits, pool)
		}
	}
	for pool, upstreams := range listed.ByPool {
		p, ok := b.poolSplits[pool]
		if !ok {
			p = &poolSplit{}
			b.poolSplits[pool] = p
		}
		engines := make([]sizesplit.Engine, len(upstreams))
		for i, upstream := range upstreams {
			engines[i] = sizesplit.Engine{ID: upstream.ID, Zone: upstream.Zone}
		}
		p.layout, p.assignedAt = sizesplit.NewLayout(pool, engines), 0
	}
}

// requestSplit is the split of a pool as it applies to one request. The zero value stands for
// no split.
type requestSplit struct {
	pool  *poolSplit
	class sizesplit.Class
	// tokensPerMS is the prefill rate from which penalties are computed.
	tokensPerMS float64
}

// splitFor returns the current split for a request to one of upstreams, which belong to the
// same pool. b.mu must be held.
func (b *Balancer) splitFor(upstreams []*catalog.Upstream, request *Request, now bootclock.Instant) requestSplit {
	if b.poolSplits == nil || len(upstreams) == 0 || request.PromptTokens <= 0 {
		return requestSplit{}
	}
	p := b.poolSplits[upstreams[0].Pool]
	if p == nil {
		return requestSplit{}
	}
	tokensPerMS := b.splitTokensPerMS(upstreams[0].Pool, now)
	if p.assignedAt == 0 || now.Sub(p.assignedAt) >= assignInterval {
		b.assign(p, tokensPerMS, now)
	}
	return requestSplit{pool: p, class: sizesplit.ClassOf(request.PromptTokens, p.limitTokens), tokensPerMS: tokensPerMS}
}

// assign divides the usable engines of a pool anew. b.mu must be held.
func (b *Balancer) assign(p *poolSplit, tokensPerMS float64, now bootclock.Instant) {
	p.assignedAt = now
	p.limitTokens = sizesplit.LimitTokens(p.meter.ShortestObjective(now), tokensPerMS)
	p.work = p.meter.Work(b.gatewayCount, now)
	usable := func(id string) bool { return b.isSplitEngine(id, now) }
	p.counts = p.split.Update(&p.work, p.layout.Count(usable), now)
	p.costs = sizesplit.NewCosts(&p.work, p.counts)
	p.layout.Assign(p.counts, usable, func(id string, part sizesplit.Part) { b.upstreams[id].splitPart = part })
}

// isSplitEngine reports whether an upstream counts as an engine to divide. Refusals, notices
// and limits exclude it only for a moment, and an engine that loads weights is soon back, so
// these do not move the parts. b.mu must be held.
func (b *Balancer) isSplitEngine(id string, now bootclock.Instant) bool {
	s, ok := b.upstreams[id]
	return ok && !s.isLeaving(now) && !s.replaced && !s.unreachable
}

// isHome reports whether an upstream with the given state may be the home upstream of the
// request's prefix. The prefixes of short prompts have their homes in the short part, those of
// long ones in the rest of the pool: in the long part alone, a surge of long prompts would
// gather there.
func (s *requestSplit) isHome(state *upstreamState) bool {
	if s.pool == nil || s.pool.counts[sizesplit.PartShort] == 0 {
		return true
	}
	return (state.splitPart == sizesplit.PartShort) == (s.class == sizesplit.Short)
}

// penaltyMS returns what is added to the cost of a choice, whose upstream has the given state,
// in milliseconds.
func (s *requestSplit) penaltyMS(choice *Choice, state *upstreamState) float64 {
	if s.pool == nil {
		return 0
	}
	return s.pool.costs.PenaltyMS(s.class, state.splitPart, float64(choice.MissingTokens)/s.tokensPerMS)
}

// meteredAttempt is the part of an attempt whose work a meter records.
type meteredAttempt struct {
	// pool is nil if the attempt is not metered.
	pool  *poolSplit
	class sizesplit.Class
	slots int
	// isOverflow is true if the engine is for prompts of the other class. Decoding there does
	// not show how long it takes among prompts of the same class.
	isOverflow bool
	// firstResponseAt is 0 until the first response.
	firstResponseAt bootclock.Instant
}

// beginMetered records the prefill of a request that is sent. b.mu must be held.
func (b *Balancer) beginMetered(choice *Choice, request *Request, now bootclock.Instant) meteredAttempt {
	p := b.poolSplits[choice.Upstream.Pool]
	if p == nil || request.PromptTokens <= 0 {
		return meteredAttempt{}
	}
	p.meter.RecordObjective(request.Objective, now)
	if p.firstRequestAt == 0 {
		p.firstRequestAt = now
	}
	if now.Sub(p.firstRequestAt) < classWarmUp {
		return meteredAttempt{}
	}
	class := sizesplit.ClassOf(request.PromptTokens, p.limitTokens)
	prefillMS := float64(choice.MissingTokens) / b.splitTokensPerMS(choice.Upstream.Pool, now)
	p.meter.Record(class, prefillMS, request.Objective, request.Priority, now)
	split := requestSplit{pool: p, class: class}
	return meteredAttempt{pool: p, class: class, slots: choice.Upstream.Capacity, isOverflow: !split.isHome(b.stateFor(choice.Upstream.ID))}
}

// end records how long the request occupied a slot after its first response.
func (m *meteredAttempt) end(now bootclock.Instant) {
	if m.pool != nil && !m.isOverflow && m.firstResponseAt != 0 {
		m.pool.meter.RecordDecode(m.class, now.Sub(m.firstResponseAt), m.slots, now)
	}
}

// SplitStatus is a snapshot of how the engines of a pool are divided.
type SplitStatus struct {
	Pool string
	// Counts is the number of engines by part, and Work the work of all gateways by class.
	Counts sizesplit.Counts
	Work   sizesplit.Work
	// LimitTokens is the number of prompt tokens from which a request is long.
	LimitTokens int64
}

// SplitStatuses returns a snapshot of each pool that has had requests, in no particular
// order. It is empty unless EnableSizeSplit was called.
func (b *Balancer) SplitStatuses() []SplitStatus {
	b.mu.Lock()
	defer b.mu.Unlock()
	statuses := make([]SplitStatus, 0, len(b.poolSplits))
	for pool, p := range b.poolSplits {
		if p.assignedAt != 0 {
			statuses = append(statuses, SplitStatus{Pool: pool, Counts: p.counts, Work: p.work, LimitTokens: p.limitTokens})
		}
	}
	return statuses
}
