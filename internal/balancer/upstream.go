package balancer

import (
	"math"

	"github.com/greengagegate/greengagegate/internal/bootclock"
)

// upstreamState is what is known of one life of an upstream.
type upstreamState struct {
	running int
	backlog int64
	// usual are the running requests and the backlog as they were of late.
	usual    usualLoad
	failures float64
	// failedAt is when failures were counted last; they are forgotten with time.
	failedAt bootclock.Instant
	// restUntil keeps new requests away after a refusal.
	restUntil bootclock.Instant
	// down says that the upstream could not be reached, and not since.
	down bool
	// ended says that the upstream's address answers for another life.
	ended bool
	// heldUntil keeps new requests away while an order is carried out.
	heldUntil bootclock.Instant
	version   map[string]int64
	parts     map[string]held
	// turnover counts the tokens that all gateways are estimated to have brought
	// into the engine's memory.
	turnover float64
	// born tells lives of an upstream apart that keep its id.
	born    int64
	address string
}

// held is what is known of a cached part.
type held struct {
	used bootclock.Instant
	// mark is the engine's turnover at the last use.
	mark float64
	// read says that the upstream has read the part, so that others can copy it.
	read bool
}

func newUpstreamState() *upstreamState {
	return &upstreamState{version: make(map[string]int64), parts: make(map[string]held)}
}

// reset begins a new life, which holds and knows nothing of the former one.
func (s *upstreamState) reset(born int64) {
	s.born = born
	s.ended = false
	clear(s.version)
	clear(s.parts)
	s.heldUntil, s.restUntil, s.failures, s.down = 0, 0, 0, false
}

// noteVersion takes a version that the upstream told. It never goes back within
// one life. Loading new weights drops all cached parts.
func (s *upstreamState) noteVersion(model string, version int64) {
	if version > s.version[model] {
		s.version[model] = version
		clear(s.parts)
	}
}

// failureRate returns the part of the requests that fail, as far as it is known.
// An upstream that failed once is tried again after a while, also when others
// have not failed.
func (s *upstreamState) failureRate(now bootclock.Instant) float64 {
	if s.failures == 0 {
		return 0
	}
	age := now.Sub(s.failedAt)
	return s.failures * math.Exp2(-float64(age)/float64(failureHalfLife))
}

// noteOutcome counts a success or a failure.
func (s *upstreamState) noteOutcome(failed bool, now bootclock.Instant) {
	rate := s.failureRate(now)
	s.failedAt = now
	if failed {
		s.failures = rate + failureWeight*(1-rate)
		return
	}
	s.failures = rate - failureWeight*rate
}

// keeps reports whether a cached part is expected to be there still.
func (s *upstreamState) keeps(part held, memory int64, now bootclock.Instant) bool {
	if memory <= 0 {
		memory = defaultCacheTokens
	}
	return now.Sub(part.used) < cacheKept && s.turnover-part.mark < keptPart*float64(memory)
}

// cached returns the number of leading tokens of the work that are expected to be
// cached, and of those that other engines can copy.
func (s *upstreamState) cached(request *Request, keys []string, now bootclock.Instant) (own, copyable int64) {
	all := true
	for i, part := range request.Parts {
		known, ok := s.parts[keys[i]]
		if !ok || !s.keeps(known, request.CacheTokens, now) {
			break
		}
		own += part.Tokens
		all = all && known.read
		if all {
			copyable += part.Tokens
		}
	}
	return own, copyable
}

// use notes that a request uses its parts from now on.
func (s *upstreamState) use(request *Request, salt string, brought float64, now bootclock.Instant) {
	s.turnover += brought
	for _, part := range request.Parts {
		key := salt + part.ID
		known, ok := s.parts[key]
		s.parts[key] = held{used: now, mark: s.turnover, read: ok && known.read && s.keeps(known, request.CacheTokens, now)}
	}
	s.forgetOldParts(now)
}

// maxParts bounds the parts that are remembered of one upstream.
const maxParts = 512

func (s *upstreamState) forgetOldParts(now bootclock.Instant) {
	if len(s.parts) <= maxParts {
		return
	}
	for id, known := range s.parts {
		if now.Sub(known.used) >= cacheKept {
			delete(s.parts, id)
		}
	}
	for id := range s.parts {
		if len(s.parts) <= maxParts {
			return
		}
		delete(s.parts, id)
	}
}
