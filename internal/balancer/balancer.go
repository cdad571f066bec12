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

// Chooser keeps what is known of each upstream. It is safe for concurrent use.
type Chooser struct {
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
	// readings are the newest ones of this gateway, numbered from firstReading.
	readings     []Reading
	firstReading uint64
}

// New returns a chooser for a gateway in a zone. A nil now stands for bootclock.Now.
func New(zone string, now func() bootclock.Instant) *Chooser {
	if now == nil {
		now = bootclock.Now
	}
	return &Chooser{zone: zone, now: now, gateways: 1, upstreams: make(map[string]*upstreamState)}
}

// SetGateways tells how many gateways send to the upstreams.
func (c *Chooser) SetGateways(count int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.gateways = max(1, count)
}

// Gateways returns how many gateways send to the upstreams.
func (c *Chooser) Gateways() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.gateways
}

// state returns what is known of an upstream; c.mu is held.
func (c *Chooser) state(id string) *upstreamState {
	s, ok := c.upstreams[id]
	if !ok {
		s = newUpstreamState()
		c.upstreams[id] = s
	}
	return s
}

// Retain forgets the upstreams that are not listed.
func (c *Chooser) Retain(listed *catalog.Upstreams) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, s := range c.upstreams {
		if _, ok := listed.ByID[id]; !ok && s.running == 0 {
			delete(c.upstreams, id)
		}
	}
	for id, upstream := range listed.ByID {
		s := c.state(id)
		if s.born != upstream.BornMillis {
			s.reset(upstream.BornMillis)
		}
		if s.address != upstream.Address {
			s.address, s.ended = upstream.Address, false
		}
		for model, version := range upstream.Weights {
			s.noteVersion(model, version)
		}
	}
}

// NoteVersion takes a version that an upstream told in an answer or a report.
func (c *Chooser) NoteVersion(id, model string, version int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.state(id)
	if version > s.version[model] {
		s.heldUntil = 0
	}
	s.noteVersion(model, version)
}

// Version returns the weights version that an upstream is believed to have.
func (c *Chooser) Version(id, model string) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state(id).version[model]
}

// Hold keeps new requests away from an upstream for a while.
func (c *Chooser) Hold(id string, until bootclock.Instant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state(id).heldUntil = until
}

// Reached notes that an upstream can be reached again.
func (c *Chooser) Reached(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state(id).down = false
}

// Down reports whether an upstream could not be reached.
func (c *Chooser) Down(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state(id).down
}

// Ended reports whether an upstream's address answers for another life.
func (c *Chooser) Ended(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state(id).ended
}

// End notes that an upstream's address answers for another life than the one that
// was born at a time. It gets nothing until it is listed anew.
func (c *Chooser) End(id string, born int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s := c.state(id); s.born == born {
		s.ended = true
	}
}

// Running returns the number of requests that this gateway has at an upstream.
func (c *Chooser) Running(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state(id).running
}

// Choose returns the best upstream, or false when none can take the request.
func (c *Chooser) Choose(list []*catalog.Upstream, work *Work) (Choice, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	best := c.choose(list, work, now)
	if best.Upstream == nil && best.Excluded.Old > 0 && work.FloorAssumed {
		anyWeights := *work
		anyWeights.Floor = 0
		best = c.choose(list, &anyWeights, now)
	}
	if best.Upstream != nil {
		best.Save = c.saveTo(work, best.Version, now)
	}
	return best, best.Upstream != nil
}

// choose compares the upstreams that can take the work; c.mu is held.
func (c *Chooser) choose(list []*catalog.Upstream, work *Work, now bootclock.Instant) Choice {
	keys := partKeys{work: work, store: c.storeOf(work), blind: c.gateways > smallFleet}
	holdings := c.holdings(list, work, &keys, now)
	home := homeOf(list, holdings, work)
	sources := sources(list, holdings, now)
	best := Choice{}
	usable := 0
	connections := c.connections(work)
	preferNew := c.prefersNew(list, holdings, work, now)
	var excluded Excluded
	for i, upstream := range list {
		has := holdings[i]
		if !excluded.usable(upstream, has, work, now) {
			continue
		}
		if has.state.running >= connections {
			excluded.Full++
			continue
		}
		usable++
		candidate := c.price(upstream, has, sources, &keys, now)
		if preferNew && has.version < work.Wanted {
			candidate.Cost += oldWeightsCost
		}
		if upstream.ID == home {
			candidate.Cost -= homeBonus
		}
		if best.Upstream == nil || candidate.Cost < best.Cost {
			best = candidate
		}
	}
	best.Usable, best.Excluded = usable, excluded
	return best
}

// Sent notes that a request goes to its choice. Its end is told by the returned Visit.
func (c *Chooser) Sent(choice Choice, work *Work) *Visit {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.state(choice.Upstream.ID)
	c.pace.note(float64(choice.Missing), c.now())
	s.usual.note(s.running, s.backlog, c.now())
	s.running++
	s.backlog += choice.Missing
	visit := &Visit{chooser: c, state: s, missing: choice.Missing, id: choice.Upstream.ID, parts: work.Parts}
	if len(work.Parts) > 0 {
		visit.salt = work.Salt(choice.Version)
		s.use(work, visit.salt, float64(choice.Missing+choice.Copied)*float64(c.gateways), c.now())
		c.noteCopy(choice)
	}
	return visit
}
