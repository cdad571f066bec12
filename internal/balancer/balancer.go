// Package balancer chooses the upstream that is expected to answer a request soonest,
// from what this gateway has sent and observed and from the cache reports of other
// gateways.
//
// Load pattern: prompts share long prefixes; a prefix consists of the leading parts of a
// prompt. An engine caches a few dozen of them at a time, a missing prefix costs several
// times as much as the rest of the prompt, and loading new weights, which happens every
// few seconds, invalidates all cached parts. Each prefix therefore has a home upstream,
// chosen by rendezvous hashing and thus the same at every gateway. Requests with the
// prefix go to another upstream only while the home upstream cannot take them or its
// queue delay exceeds the cost of another prefill of the prefix.
package balancer

import (
	"sync"

	"github.com/greengagegate/greengagegate/internal/bootclock"
	"github.com/greengagegate/greengagegate/internal/catalog"
)

// Balancer keeps the state of each upstream and picks an upstream for each request. It is
// safe for concurrent use.
type Balancer struct {
	// zone is the availability zone of this gateway.
	zone string
	now  func() bootclock.Instant

	mu sync.Mutex
	// gatewayCount is the number of gateways that send to the upstreams, including this
	// one.
	gatewayCount int
	upstreams    map[string]*upstreamState
	// prefillRate is the rate at which this gateway gives engines prompt tokens to
	// prefill.
	prefillRate prefillRate
	// stores are the cache stores that have been enabled at least once.
	stores []*cacheStore
	// rates are the learned prefill rates.
	rates learnedRates
	// cacheReports are the newest cache reports of this gateway; the first of them has
	// the number firstReportNumber.
	cacheReports      []CacheReport
	firstReportNumber uint64
	// poolSplits are the splits of the listed pools by name; nil unless enabled.
	poolSplits map[string]*poolSplit
}

// New returns a balancer for a gateway in zone that is the only gateway until
// SetGatewayCount is called. A nil now stands for bootclock.Now.
func New(zone string, now func() bootclock.Instant) *Balancer {
	if now == nil {
		now = bootclock.Now
	}
	return &Balancer{zone: zone, now: now, gatewayCount: 1, upstreams: make(map[string]*upstreamState)}
}

// SetGatewayCount sets the number of gateways that send to the upstreams, including this
// one. Numbers below 1 count as 1.
func (b *Balancer) SetGatewayCount(count int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.gatewayCount = max(1, count)
}

// GatewayCount returns the number of gateways that send to the upstreams, including this
// one.
func (b *Balancer) GatewayCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.gatewayCount
}

// stateFor returns the state of an upstream and creates it if necessary. b.mu must be
// held.
func (b *Balancer) stateFor(id string) *upstreamState {
	s, ok := b.upstreams[id]
	if !ok {
		s = newUpstreamState()
		b.upstreams[id] = s
	}
	return s
}

// SyncUpstreams updates the state of the listed upstreams and removes that of all others,
// except where requests of this gateway are still running or the upstream has stated
// something that still holds. A listed upstream with another start time is a new
// incarnation, for which reset is called. A listed upstream with another address no longer
// counts as replaced.
func (b *Balancer) SyncUpstreams(listed *catalog.Upstreams) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, s := range b.upstreams {
		if _, ok := listed.ByID[id]; !ok && !s.isNeeded(b.now()) {
			s.rate.Remove()
			delete(b.upstreams, id)
		}
	}
	for id, upstream := range listed.ByID {
		s := b.stateFor(id)
		if s.startedMillis != upstream.StartedMillis {
			s.reset(upstream.StartedMillis, b.now())
		}
		if s.address != upstream.Address {
			s.address, s.replaced = upstream.Address, false
		}
		b.rates.assign(s, upstream.Pool)
		for model, version := range upstream.ModelVersions {
			s.recordVersion(model, version)
		}
	}
	b.syncSplits(listed)
}

// RecordVersion records a weights version that an upstream reported. A version newer than
// the known one also ends a hold set by HoldUntil.
func (b *Balancer) RecordVersion(id, model string, version int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.stateFor(id)
	if version > s.versions[model] {
		s.heldUntil = 0
	}
	s.recordVersion(model, version)
}

// Version returns the last known weights version of an upstream for a model, or 0 when
// none is known.
func (b *Balancer) Version(id, model string) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.stateFor(id).versions[model]
}

// HoldUntil excludes an upstream from new requests until the given time or until
// RecordVersion records newer weights. An until of 0 ends the hold.
func (b *Balancer) HoldUntil(id string, until bootclock.Instant) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stateFor(id).heldUntil = until
}

// LimitUntil excludes an upstream from new requests of this gateway until the given time,
// because of the limit that it states for all gateways.
func (b *Balancer) LimitUntil(id string, until bootclock.Instant) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stateFor(id).limitedUntil = until
}

// MarkReachable records that an upstream can be reached again.
func (b *Balancer) MarkReachable(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stateFor(id).unreachable = false
}

// IsUnreachable reports whether an upstream is marked as unreachable.
func (b *Balancer) IsUnreachable(id string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.stateFor(id).unreachable
}

// IsReplaced reports whether another incarnation answers at the address of an upstream.
func (b *Balancer) IsReplaced(id string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.stateFor(id).replaced
}

// MarkReplaced records that another incarnation answers at the address of the incarnation
// that started at startedMillis. The upstream gets no requests until SyncUpstreams lists a new
// start time or address for it. The call has no effect when another incarnation is
// already listed.
func (b *Balancer) MarkReplaced(id string, startedMillis int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.stateFor(id); s.startedMillis == startedMillis {
		s.replaced = true
	}
}

// RunningRequests returns the number of requests that this gateway is running at an
// upstream.
func (b *Balancer) RunningRequests(id string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.stateFor(id).running
}

// Pick returns the usable upstream with the lowest Choice.ExpectedWaitMS, plus a penalty at
// engines for prompts of another size if EnableSizeSplit was called, or false when no
// upstream can take the request. The Choice holds the numbers of excluded upstreams in
// both cases. Pick falls back to Request.CertainMinVersion when no upstream can take the
// request and some are excluded for old weights. A Choice with a SaveStore counts as a
// requested save: if the caller does not request the save, it is not offered again for
// saveRetryInterval.
func (b *Balancer) Pick(upstreams []*catalog.Upstream, request *Request) (Choice, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	best := b.pickUsable(upstreams, request, now)
	if best.Upstream != nil {
		best.SaveStore = b.storeToSaveTo(request, best.Version, now)
	}
	return best, best.Upstream != nil
}

// Estimate returns what Pick would, without a SaveStore, for a request that is not sent yet.
func (b *Balancer) Estimate(upstreams []*catalog.Upstream, request *Request) (Choice, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	best := b.pickUsable(upstreams, request, b.now())
	return best, best.Upstream != nil
}

// pickUsable returns the Choice of Pick without a SaveStore. b.mu must be held.
func (b *Balancer) pickUsable(upstreams []*catalog.Upstream, request *Request, now bootclock.Instant) Choice {
	best := b.pickShortestWait(upstreams, request, now)
	if best.Upstream == nil && best.Excluded.OldWeights > 0 && request.CertainMinVersion != nil {
		relaxed := *request
		relaxed.MinVersion = request.CertainMinVersion
		best = b.pickShortestWait(upstreams, &relaxed, now)
	}
	return best
}

// pickShortestWait returns the usable upstream with the lowest ExpectedWaitMS and penalty, or a
// Choice without an upstream when none is usable. b.mu must be held.
func (b *Balancer) pickShortestWait(upstreams []*catalog.Upstream, request *Request, now bootclock.Instant) Choice {
	keys := partKeys{request: request, store: b.storeFor(request), mayHoldUnreported: b.gatewayCount > maxSmallFleetGateways}
	candidates := b.candidates(upstreams, request, &keys, now)
	split := b.splitFor(upstreams, request, now)
	homeID := homeUpstream(upstreams, candidates, request, &split, now)
	sources := copySources(upstreams, candidates, now)
	best, bestCostMS := Choice{}, 0.0
	usableCount := 0
	connectionLimit := b.connectionLimit(request)
	preferNewWeights := b.drawNewWeightsPreference(upstreams, candidates, request, now)
	var excluded Excluded
	for i, upstream := range upstreams {
		c := candidates[i]
		if !excluded.checkUsable(upstream, c, b.hasOutdatedWeights(c, request, now), request, now) {
			continue
		}
		if c.state.running >= connectionLimit {
			excluded.AtConnectionLimit++
			continue
		}
		usableCount++
		choice := b.estimateWait(upstream, c, sources, &keys, now)
		if preferNewWeights && c.version < request.TargetVersion {
			choice.ExpectedWaitMS += oldWeightsCostMS
		}
		if upstream.ID == homeID {
			choice.ExpectedWaitMS -= homeBonusMS
		}
		costMS := choice.ExpectedWaitMS + split.penaltyMS(&choice, c.state)
		if best.Upstream == nil || costMS < bestCostMS {
			best, bestCostMS = choice, costMS
		}
	}
	best.Usable, best.Excluded = usableCount, excluded
	return best
}

// Begin records that a request is sent to the chosen upstream. The caller reports the
// outcome through the returned Attempt and must call its Done method at the end.
func (b *Balancer) Begin(choice Choice, request *Request) *Attempt {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.stateFor(choice.Upstream.ID)
	b.prefillRate.add(float64(choice.MissingTokens), b.now())
	s.meanLoad.update(s.running, s.backlogTokens, b.now())
	attempt := &Attempt{balancer: b, state: s, backlogTokens: choice.MissingTokens, upstreamID: choice.Upstream.ID, startedMillis: choice.Upstream.StartedMillis, parts: request.Parts}
	attempt.prefill = s.beginPrefill(choice.MissingTokens, request, b.now())
	s.running++
	s.backlogTokens += choice.MissingTokens
	s.backlogByPriority.add(request.Priority, choice.MissingTokens)
	attempt.priority = request.Priority
	if choice.copySourceLink != nil {
		choice.copySourceLink.add(choice.copyLinkMS, b.now())
		s.link.add(choice.copyLinkMS, b.now())
	}
	attempt.metered = b.beginMetered(&choice, request, b.now())
	s.startDelay.begin(attempt, b.now())
	if len(request.Parts) > 0 {
		attempt.salt = request.Salt(choice.Version)
		s.recordUse(request, attempt.salt, float64(choice.MissingTokens+choice.CopyTokens)*float64(b.gatewayCount), b.now())
		b.recordStoreCopy(choice)
	}
	return attempt
}
