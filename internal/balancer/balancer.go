// Package balancer chooses the upstream that is expected to answer a request
// soonest, from what this gateway has itself sent and seen.
//
// Load pattern: prompts share long prefixes. An engine holds a few dozen of them
// at once, a prefix that is missing costs several times the rest of the prompt,
// and all cached parts are void once new weights are loaded, which happens every
// few seconds. So a prefix has a first home by rendezvous hashing, the same at
// every gateway, and leaves it only while that home has more work ahead than
// reading the prefix again costs.
package balancer

import (
	"sync"

	"github.com/greengagegate/greengagegate/internal/bootclock"
	"github.com/greengagegate/greengagegate/internal/catalog"
)

// Balancer keeps what is known of each upstream. It is safe for concurrent use.
type Balancer struct {
	zone string
	now  func() bootclock.Instant

	mu sync.Mutex
	// gateways is the number of gateways that send to the upstreams, this one included.
	gateways  int
	upstreams map[string]*upstreamState
	// pace is what this gateway has engines read.
	pace pace
	// stores are where cached parts are kept beside the engines.
	stores []*cacheStore
	// cacheReports are the newest ones of this gateway, numbered from firstReading.
	cacheReports []CacheReport
	firstReading uint64
}

// New returns a chooser for a gateway in a zone. A nil now stands for bootclock.Now.
func New(zone string, now func() bootclock.Instant) *Balancer {
	if now == nil {
		now = bootclock.Now
	}
	return &Balancer{zone: zone, now: now, gateways: 1, upstreams: make(map[string]*upstreamState)}
}

// SetGatewayCount tells how many gateways send to the upstreams.
func (b *Balancer) SetGatewayCount(count int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.gateways = max(1, count)
}

// GatewayCount returns how many gateways send to the upstreams.
func (b *Balancer) GatewayCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.gateways
}

// state returns what is known of an upstream; b.mu is held.
func (b *Balancer) state(id string) *upstreamState {
	s, ok := b.upstreams[id]
	if !ok {
		s = newUpstreamState()
		b.upstreams[id] = s
	}
	return s
}

// Retain forgets the upstreams that are not listed.
func (b *Balancer) Retain(listed *catalog.Upstreams) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, s := range b.upstreams {
		if _, ok := listed.ByID[id]; !ok && s.running == 0 {
			delete(b.upstreams, id)
		}
	}
	for id, upstream := range listed.ByID {
		s := b.state(id)
		if s.born != upstream.StartedMillis {
			s.reset(upstream.StartedMillis)
		}
		if s.address != upstream.Address {
			s.address, s.ended = upstream.Address, false
		}
		for model, version := range upstream.ModelVersions {
			s.noteVersion(model, version)
		}
	}
}

// RecordVersion takes a version that an upstream told in an answer or a report.
func (b *Balancer) RecordVersion(id, model string, version int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.state(id)
	if version > s.version[model] {
		s.heldUntil = 0
	}
	s.noteVersion(model, version)
}

// Version returns the weights version that an upstream is believed to have.
func (b *Balancer) Version(id, model string) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.state(id).version[model]
}

// HoldUntil keeps new requests away from an upstream for a while.
func (b *Balancer) HoldUntil(id string, until bootclock.Instant) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.state(id).heldUntil = until
}

// MarkReachable notes that an upstream can be reached again.
func (b *Balancer) MarkReachable(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.state(id).down = false
}

// IsUnreachable reports whether an upstream could not be reached.
func (b *Balancer) IsUnreachable(id string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.state(id).down
}

// IsReplaced reports whether an upstream's address answers for another life.
func (b *Balancer) IsReplaced(id string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.state(id).ended
}

// MarkReplaced notes that an upstream's address answers for another life than the one that
// was born at a time. It gets nothing until it is listed anew.
func (b *Balancer) MarkReplaced(id string, born int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.state(id); s.born == born {
		s.ended = true
	}
}

// RunningRequests returns the number of requests that this gateway has at an upstream.
func (b *Balancer) RunningRequests(id string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.state(id).running
}

// Pick returns the best upstream, or false when none can take the request.
func (b *Balancer) Pick(list []*catalog.Upstream, request *Request) (Choice, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	best := b.pick(list, request, now)
	if best.Upstream == nil && best.Excluded.Old > 0 && request.MinVersionAssumed {
		anyWeights := *request
		anyWeights.MinVersion = 0
		best = b.pick(list, &anyWeights, now)
	}
	if best.Upstream != nil {
		best.SaveStore = b.saveTo(request, best.Version, now)
	}
	return best, best.Upstream != nil
}

// pick compares the upstreams that can take the work; b.mu is held.
func (b *Balancer) pick(list []*catalog.Upstream, request *Request, now bootclock.Instant) Choice {
	keys := partKeys{request: request, store: b.storeOf(request), blind: b.gateways > smallFleet}
	holdings := b.holdings(list, request, &keys, now)
	home := homeOf(list, holdings, request)
	sources := sources(list, holdings, now)
	best := Choice{}
	usable := 0
	connections := b.connections(request)
	preferNew := b.prefersNew(list, holdings, request, now)
	var excluded Excluded
	for i, upstream := range list {
		has := holdings[i]
		if !excluded.usable(upstream, has, request, now) {
			continue
		}
		if has.state.running >= connections {
			excluded.Full++
			continue
		}
		usable++
		candidate := b.price(upstream, has, sources, &keys, now)
		if preferNew && has.version < request.TargetVersion {
			candidate.ExpectedWaitMS += oldWeightsCost
		}
		if upstream.ID == home {
			candidate.ExpectedWaitMS -= homeBonus
		}
		if best.Upstream == nil || candidate.ExpectedWaitMS < best.ExpectedWaitMS {
			best = candidate
		}
	}
	best.Usable, best.Excluded = usable, excluded
	return best
}

// Begin notes that a request goes to its choice. Its end is told by the returned Visit.
func (b *Balancer) Begin(choice Choice, request *Request) *Attempt {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.state(choice.Upstream.ID)
	b.pace.note(float64(choice.MissingTokens), b.now())
	s.usual.note(s.running, s.backlog, b.now())
	s.running++
	s.backlog += choice.MissingTokens
	attempt := &Attempt{balancer: b, state: s, missing: choice.MissingTokens, id: choice.Upstream.ID, parts: request.Parts}
	if len(request.Parts) > 0 {
		attempt.salt = request.Salt(choice.Version)
		s.use(request, attempt.salt, float64(choice.MissingTokens+choice.CopyTokens)*float64(b.gateways), b.now())
		b.noteCopy(choice)
	}
	return attempt
}
