package balancer

import (
	"math"

	"github.com/greengagegate/greengagegate/internal/bootclock"
	"github.com/greengagegate/greengagegate/internal/enginerate"
	"github.com/greengagegate/greengagegate/internal/sizesplit"
)

// upstreamState is what is known of an upstream. When a new incarnation is listed, reset
// clears what was known of the previous one; see there for what is kept.
type upstreamState struct {
	// running is the number of requests that this gateway is running at the upstream.
	running int
	// backlogTokens is the number of prompt tokens of running requests that are not yet
	// prefilled.
	backlogTokens int64
	// backlogByPriority divides backlogTokens by the priority of the request.
	backlogByPriority priorityBacklog
	// link measures the copies to and from the engine.
	link linkLoad
	// startDelay tracks how long requests wait at the upstream before they begin.
	startDelay startDelay
	// meanLoad averages running and backlogTokens over the recent past.
	meanLoad meanLoad
	// lastFailureRate is the failure rate after the newest outcome, which was recorded at
	// failureRateAt.
	lastFailureRate float64
	failureRateAt   bootclock.Instant
	// The upstream gets no new requests before backoffUntil, which a refusal sets.
	backoffUntil bootclock.Instant
	// notice is what the upstream has stated about itself.
	notice notice
	// limitedUntil is the time before which this gateway may not use the upstream's limit.
	limitedUntil bootclock.Instant
	// unreachable is true if the upstream could not be reached and has not been reached
	// since.
	unreachable bool
	// replaced is true if another incarnation answers at the address of the upstream.
	replaced bool
	// The upstream gets no new requests before heldUntil, which is set while it is
	// updated to new weights.
	heldUntil bootclock.Instant
	// versions are the known weights versions by model.
	versions map[string]int64
	// parts are the cached parts by key (salt and part id).
	parts map[string]cachedPart
	// insertedTokens is the estimated number of tokens that the requests of all gateways
	// have added to the cache of the engine.
	insertedTokens float64
	// startedMillis identifies the incarnation; the id of an upstream may stay the same.
	startedMillis int64
	address       string
	// listed is true once the upstream has been listed; pool is its pool by the last list.
	listed bool
	pool   string
	// rate is the learned prefill rate; nil if it is not learned.
	rate *enginerate.Engine
	// load is the newest load that the upstream reported.
	load reportedLoad
	// splitPart is the part of the pool to which the upstream belongs when the pool is divided
	// by prompt size.
	splitPart sizesplit.Part
}

// cachedPart is what is known of a cached part.
type cachedPart struct {
	usedAt bootclock.Instant
	// insertedTokensAtUse is the upstream's insertedTokens at the last use of the part.
	insertedTokensAtUse float64
	// prefilled is true if the upstream has prefilled the part, so that other engines can
	// copy it.
	prefilled bool
}

func newUpstreamState() *upstreamState {
	return &upstreamState{versions: make(map[string]int64), parts: make(map[string]cachedPart)}
}

// reset starts a new incarnation without the cached parts, versions, failures and
// exclusions of the previous one. The load of running requests and the count of inserted
// tokens are kept, and so is what the incarnation may have stated before it was listed.
func (s *upstreamState) reset(startedMillis int64, now bootclock.Instant) {
	if s.startedMillis == 0 {
		s.notice.startedMillis = startedMillis
	} else {
		s.notice = s.notice.afterListing(startedMillis, now)
	}
	s.startedMillis = startedMillis
	s.replaced = false
	clear(s.versions)
	clear(s.parts)
	s.startDelay = startDelay{}
	s.rate.Reset()
	s.load = reportedLoad{}
	s.heldUntil, s.backoffUntil, s.limitedUntil, s.lastFailureRate, s.unreachable = 0, 0, 0, 0, false
}

// recordVersion records a version that the upstream reported. A version older than the
// known one is ignored, since versions never decrease within an incarnation. Loading new
// weights drops all cached parts.
func (s *upstreamState) recordVersion(model string, version int64) {
	if version > s.versions[model] {
		s.versions[model] = version
		clear(s.parts)
	}
}

// failureRate returns the estimated share of requests that fail. It decays with time, so
// that an upstream that failed is tried again even if the other upstreams have not
// failed.
func (s *upstreamState) failureRate(now bootclock.Instant) float64 {
	if s.lastFailureRate == 0 {
		return 0
	}
	age := now.Sub(s.failureRateAt)
	return s.lastFailureRate * math.Exp2(-float64(age)/float64(failureHalfLife))
}

// recordOutcome updates the failure rate with a success or a failure.
func (s *upstreamState) recordOutcome(failed bool, now bootclock.Instant) {
	rate := s.failureRate(now)
	s.failureRateAt = now
	if failed {
		s.lastFailureRate = rate + newestOutcomeWeight*(1-rate)
		return
	}
	s.lastFailureRate = rate - newestOutcomeWeight*rate
}

// isLikelyCached reports whether a part is expected to be still cached. cacheTokens is
// the cache memory of the engine; defaultCacheTokens applies if it is not positive.
func (s *upstreamState) isLikelyCached(part cachedPart, cacheTokens int64, now bootclock.Instant) bool {
	if cacheTokens <= 0 {
		cacheTokens = defaultCacheTokens
	}
	return now.Sub(part.usedAt) < maxCacheIdle && s.insertedTokens-part.insertedTokensAtUse < evictionTurnoverShare*float64(cacheTokens)
}

// cachedTokens returns the number of leading prompt tokens that are expected to be
// cached, and the number of those that other engines can copy. keys are the keys of the
// request's parts.
func (s *upstreamState) cachedTokens(request *Request, keys []string, now bootclock.Instant) (cached, copyable int64) {
	allPrefilled := true
	for i, part := range request.Parts {
		known, ok := s.parts[keys[i]]
		if !ok || !s.isLikelyCached(known, request.CacheTokens, now) {
			break
		}
		cached += part.Tokens
		allPrefilled = allPrefilled && known.prefilled
		if allPrefilled {
			copyable += part.Tokens
		}
	}
	return cached, copyable
}

// recordUse records that a request uses its parts now. insertedTokens is the estimated
// number of tokens that this gateway and the others, which are assumed to send as much,
// add to the cache of the engine.
func (s *upstreamState) recordUse(request *Request, salt string, insertedTokens float64, now bootclock.Instant) {
	s.insertedTokens += insertedTokens
	for _, part := range request.Parts {
		key := salt + part.ID
		known, ok := s.parts[key]
		s.parts[key] = cachedPart{usedAt: now, insertedTokensAtUse: s.insertedTokens, prefilled: ok && known.prefilled && s.isLikelyCached(known, request.CacheTokens, now)}
	}
	s.trimParts(now)
}

// maxPartsPerUpstream bounds the known parts of an upstream.
const maxPartsPerUpstream = 512

// trimParts enforces maxPartsPerUpstream: it removes parts that have been idle for
// maxCacheIdle, then arbitrary parts.
func (s *upstreamState) trimParts(now bootclock.Instant) {
	if len(s.parts) <= maxPartsPerUpstream {
		return
	}
	for key, part := range s.parts {
		if now.Sub(part.usedAt) >= maxCacheIdle {
			delete(s.parts, key)
		}
	}
	for key := range s.parts {
		if len(s.parts) <= maxPartsPerUpstream {
			return
		}
		delete(s.parts, key)
	}
}
