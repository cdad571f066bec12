package balancer

import (
	"math/rand/v2"
	"time"

	"github.com/greengagegate/greengagegate/internal/bootclock"
	"github.com/greengagegate/greengagegate/internal/catalog"
	"github.com/greengagegate/greengagegate/internal/rendezvous"
)

const (
	// prefillTokensPerMS is assumed of engines, which do not tell their rate.
	prefillTokensPerMS = 130.0
	// copyTokensPerMS is assumed of copies between engines.
	copyTokensPerMS = 1000.0
	// minCopied is the least number of tokens that is worth a copy.
	minCopied = 200
	// cacheKept is how long a cached part is expected to stay without use at the most.
	cacheKept = 8 * time.Second
	// keptPart is the part of an engine's memory that may be read anew before a
	// cached part is expected to be evicted. The rest is taken by running requests.
	keptPart = 0.3
	// defaultCacheTokens is assumed of engines whose memory is not told.
	defaultCacheTokens = 100_000
	// homeBonus brings a prefix to its home, where other gateways send it at the same time.
	homeBonus = 8.0
	// zoneCost is the price of another zone, in milliseconds of waiting.
	zoneCost = 25.0
	// runningCost is what each running request adds, in milliseconds.
	runningCost = 1.0
	// oldWeightsCost is the price of weights that are no longer wanted.
	oldWeightsCost = 90.0
	// failureCost is the price of an upstream that fails all requests.
	failureCost = 400.0
	// slotCost is the price of a full batch or a full service, in milliseconds.
	slotCost = 300.0
	// smallFleet is the number of gateways up to which each sees and hears enough to
	// tell the load of the others, and what stores hold, at any moment.
	smallFleet = 8.0
	// failureWeight is the part that the newest outcome has in the failure rate.
	failureWeight = 0.15
	// failureHalfLife is how fast a failure is forgotten.
	failureHalfLife = 1500 * time.Millisecond
)

// price estimates the wait at an upstream; b.mu is held.
func (b *Balancer) price(u *catalog.Upstream, has holding, sources []source, keys *partKeys, now bootclock.Instant) Choice {
	request, s := keys.request, has.state
	othersRunning, othersBacklog := b.others(s, now)
	running := float64(s.running) + othersRunning
	cost := running*runningCost + failureCost*s.failureRate(now) + rand.Float64()
	if u.Capacity > 0 {
		load := running / float64(u.Capacity)
		cost += slotCost * load * load
	}
	if u.Zone != b.zone {
		cost += zoneCost
	}
	missing := request.PromptTokens
	var from copying
	if len(request.Parts) > 0 {
		from = bestCopy(sources, keys, u, has, now)
		missing = max(0, missing-has.own-from.tokens)
		cost += from.ms
		cost += (float64(missing) + float64(s.backlog) + othersBacklog) / prefillTokensPerMS
	}
	return Choice{Upstream: u, Version: has.version, MissingTokens: missing, ExpectedWaitMS: cost, CopySource: from.address, CopyTokens: from.tokens, PossibleCopyTokens: from.hoped}
}

// others estimates the requests and the backlog that the other gateways have at an
// upstream; b.mu is held. In a small fleet each is taken to have what this one has
// there now. In a large one that tells little, since all find it empty at the same
// time; what this one usually has there counts more.
func (b *Balancer) others(s *upstreamState, now bootclock.Instant) (running, backlog float64) {
	count := float64(b.gateways - 1)
	if b.gateways <= smallFleet {
		return count * float64(s.running), count * float64(s.backlog)
	}
	s.usual.note(s.running, s.backlog, now)
	momentary := smallFleet / float64(b.gateways)
	running = momentary*float64(s.running) + (1-momentary)*s.usual.running
	backlog = momentary*float64(s.backlog) + (1-momentary)*s.usual.backlog
	return count * running, count * backlog
}

// homeOf returns the upstream that ranks first for the deepest shared part.
func homeOf(list []*catalog.Upstream, holdings []holding, request *Request) string {
	shared := request.shared()
	if len(shared) == 0 {
		return ""
	}
	contest := rendezvous.New[string](shared[len(shared)-1].ID)
	for i, upstream := range list {
		if !upstream.Draining && !holdings[i].state.ended {
			contest.Offer(upstream.ID, upstream.ID)
		}
	}
	return contest.Best()
}
