package balancer

import (
	"math/rand/v2"
	"time"

	"github.com/greengagegate/greengagegate/internal/bootclock"
	"github.com/greengagegate/greengagegate/internal/catalog"
	"github.com/greengagegate/greengagegate/internal/rendezvous"
)

const (
	// prefillTokensPerMS is the assumed prefill rate of an engine whose rate is not learned,
	// and the prior of those whose rate is.
	prefillTokensPerMS = 130.0
	// copyTokensPerMS is the assumed rate of a copy between engines.
	copyTokensPerMS = 1000.0
	// minCopyTokens is the smallest number of tokens that is worth a copy.
	minCopyTokens = 200
	// maxCacheIdle is the longest time that an unused part is expected to remain cached.
	maxCacheIdle = 8 * time.Second
	// evictionTurnoverShare is the share of an engine's cache memory that may be filled
	// with other tokens before a cached part is expected to be evicted. The rest is
	// occupied by running requests.
	evictionTurnoverShare = 0.3
	// defaultCacheTokens is the assumed cache memory of an engine whose memory is not
	// configured, in tokens.
	defaultCacheTokens = 100_000
	// homeBonusMS is subtracted from the expected wait at the home upstream of a prefix,
	// because other gateways send the same prefix there.
	homeBonusMS = 8.0
	// crossZoneCostMS is added to the expected wait at an upstream in another zone.
	crossZoneCostMS = 25.0
	// runningRequestCostMS is added to the expected wait for each running request.
	runningRequestCostMS = 1.0
	// oldWeightsCostMS is added to the expected wait at an upstream with weights older
	// than the target version, for requests that prefer new weights.
	oldWeightsCostMS = 90.0
	// failureCostMS is added to the expected wait at an upstream that fails all requests,
	// and in proportion at one that fails some.
	failureCostMS = 400.0
	// fullCapacityCostMS is added to the expected wait at an engine with a full batch or
	// a service at its capacity. Below that, the added cost grows with the square of the
	// load.
	fullCapacityCostMS = 300.0
	// maxSmallFleetGateways is the number of gateways up to which each gateway is assumed
	// to know the current load of the others and the contents of the stores.
	maxSmallFleetGateways = 8.0
	// newestOutcomeWeight is the weight of the newest outcome in the failure rate.
	newestOutcomeWeight = 0.15
	// failureHalfLife is the time in which a failure rate without new outcomes halves.
	failureHalfLife = 1500 * time.Millisecond
)

// estimateWait returns the Choice for an upstream: its best copy and its expected wait. A
// random addition below 1 ms decides between upstreams with equal waits. b.mu must be
// held.
func (b *Balancer) estimateWait(upstream *catalog.Upstream, c candidate, sources []copySource, keys *partKeys, now bootclock.Instant) Choice {
	request, s := keys.request, c.state
	otherRunning, otherBacklogTokens := b.otherGatewaysLoad(s, now)
	running := float64(s.running) + max(otherRunning, s.reportedOthers(now))
	expectedWaitMS := running*runningRequestCostMS + failureCostMS*s.failureRate(now) + rand.Float64()
	if upstream.Capacity > 0 {
		load := running / float64(upstream.Capacity)
		expectedWaitMS += fullCapacityCostMS * load * load
	}
	if upstream.Zone != b.zone {
		expectedWaitMS += crossZoneCostMS
	}
	missingTokens := request.PromptTokens
	var plan plannedCopy
	var ownWorkMS, backlogMS float64
	if len(request.Parts) > 0 {
		plan = bestCopy(sources, keys, b.linksOf(request, upstream.Pool), upstream, c, now)
		missingTokens = max(0, missingTokens-c.cachedTokens-plan.tokens)
		expectedWaitMS += plan.costMS
		ownWorkMS = float64(missingTokens) / s.prefillTokensPerMS(now)
		backlogMS = (float64(s.backlogTokens) + otherBacklogTokens) * s.aheadShare(request) / s.prefillTokensPerMS(now)
		expectedWaitMS += ownWorkMS + backlogMS
	}
	return Choice{Upstream: upstream, Version: c.version, MissingTokens: missingTokens, ExpectedWaitMS: expectedWaitMS, OwnWorkMS: ownWorkMS, BacklogMS: backlogMS, CopySource: plan.address, CopyTokens: plan.tokens, PossibleCopyTokens: plan.possibleTokens, copyLinkMS: plan.linkMS, copySourceLink: plan.source}
}

// otherGatewaysLoad estimates the running requests and the backlog of all other gateways
// at an upstream. In a small fleet each of them is assumed to have the current load of
// this gateway. In a large fleet the current load says little about the others, since all
// gateways find an idle upstream at the same time, so the mean load of this gateway gets
// more weight the larger the fleet is. b.mu must be held.
func (b *Balancer) otherGatewaysLoad(s *upstreamState, now bootclock.Instant) (running, backlogTokens float64) {
	otherGateways := float64(b.gatewayCount - 1)
	if b.gatewayCount <= maxSmallFleetGateways {
		return otherGateways * float64(s.running), otherGateways * float64(s.backlogTokens)
	}
	s.meanLoad.update(s.running, s.backlogTokens, now)
	currentWeight := maxSmallFleetGateways / float64(b.gatewayCount)
	running = currentWeight*float64(s.running) + (1-currentWeight)*s.meanLoad.running
	backlogTokens = currentWeight*float64(s.backlogTokens) + (1-currentWeight)*s.meanLoad.backlogTokens
	return otherGateways * running, otherGateways * backlogTokens
}

// homeUpstream returns the ID of the home upstream of the request's longest shared
// prefix, or an empty string when there is none. Draining and replaced upstreams, and those
// that the request's version filter excludes or that split gives to other prompts, are left
// out.
func homeUpstream(upstreams []*catalog.Upstream, candidates []candidate, request *Request, split *requestSplit, now bootclock.Instant) string {
	shared := request.sharedParts()
	if len(shared) == 0 {
		return ""
	}
	selector := rendezvous.New[string](shared[len(shared)-1].ID)
	for i, upstream := range upstreams {
		s := candidates[i].state
		if !upstream.Draining && !s.isLeaving(now) && !s.replaced && request.Versions.allows(upstream) && split.isHome(s) {
			selector.Add(upstream.ID, upstream.ID)
		}
	}
	return selector.Best()
}
