// Package steer chooses the upstream that is expected to answer a request
// soonest, from what this gateway has itself sent and seen.
//
// Load pattern: prompts share long prefixes. An engine holds a few dozen of them
// at once, a prefix that is missing costs several times the rest of the prompt,
// and all cached parts are void once new weights are loaded, which happens every
// few seconds. So a prefix has a first home by rendezvous hashing, the same at
// every gateway, and leaves it only while that home has more work ahead than
// reading the prefix again costs.
package steer

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/greengagegate/greengagegate/internal/bootclock"
	"github.com/greengagegate/greengagegate/internal/catalog"
)

const (
	// prefillTokensPerMS is assumed of engines, which do not tell their rate.
	prefillTokensPerMS = 130.0
	// copyTokensPerMS is assumed of copies between engines.
	copyTokensPerMS = 1000.0
	// minCopied is the least number of tokens that is worth a copy.
	minCopied = 200
	// cacheKept is how long a cached part is expected to stay without use.
	cacheKept = 8 * time.Second
	// homeCached is the part of a prefix that is expected at its home when this
	// gateway has not sent it there itself; other gateways may have.
	homeCached = 0.6
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
	// failureWeight is the part that the newest outcome has in the failure rate.
	failureWeight = 0.15
	// minRest and maxRest bound how long an upstream that could not be reached is left alone.
	minRest = 250 * time.Millisecond
	maxRest = 2 * time.Second
)

// Part is a piece of a prompt that requests may share.
type Part struct {
	ID     string
	Tokens int64
}

// Work describes a request to the choice.
type Work struct {
	Pool  string
	Model string
	// Salt names what cached parts belong to; it differs by weights and by isolated customer.
	Salt func(version int64) string
	// Parts are the prompt's parts in order; the last one belongs to the request alone.
	Parts []Part
	// Wanted is the version of the weights that the model is to have; 0 when none was named.
	Wanted int64
	// Floor excludes upstreams with older weights than this version.
	Floor int64
	// Prefill is the number of prompt tokens.
	Prefill int64
	// Tried are the upstreams that are not to be asked again.
	Tried []string
}

// Choice is an upstream with what was decided on.
type Choice struct {
	Upstream *catalog.Upstream
	// Version is the weights version that the upstream is believed to have.
	Version int64
	// Missing is the number of prompt tokens that the upstream is expected to read.
	Missing int64
	// Cost is the expected wait in milliseconds.
	Cost float64
	// Usable is the number of upstreams that could have been chosen, Excluded counts
	// the others by reason.
	Usable   int
	Excluded Excluded
	// Source is an upstream from which the choice can copy cached parts that it
	// lacks; nil when there is none.
	Source *catalog.Upstream
}

// Excluded counts upstreams that can't take a request.
type Excluded struct {
	// Draining upstreams leave, Resting ones could not be reached or refused a
	// request, Held ones are about to load weights, Old ones have weights that may
	// not be used any more, and Tried ones were asked before.
	Draining, Resting, Held, Old, Tried int
}

// String returns the counts for logs.
func (e Excluded) String() string {
	return fmt.Sprintf("draining=%d resting=%d held=%d old=%d tried=%d", e.Draining, e.Resting, e.Held, e.Old, e.Tried)
}

type upstreamState struct {
	running   int
	backlog   int64
	failures  float64
	rest      time.Duration
	restUntil bootclock.Instant
	// heldUntil keeps new requests away while an order is carried out.
	heldUntil bootclock.Instant
	version   map[string]int64
	parts     map[string]held
	// born tells lives of an upstream apart that keep its id.
	born int64
}

// held is what is known of a cached part.
type held struct {
	used bootclock.Instant
	// read says that the upstream has read the part, so that others can copy it.
	read bool
}

// Chooser keeps what is known of each upstream. It is safe for concurrent use.
type Chooser struct {
	zone string
	now  func() bootclock.Instant

	mu sync.Mutex
	// gateways is the number of gateways that send to the upstreams, this one included.
	gateways  int
	upstreams map[string]*upstreamState
	// readings are the newest ones of this gateway, numbered from firstReading.
	readings     []Reading
	firstReading uint64
}

// Reading says that an upstream has read the parts of a prompt.
type Reading struct {
	Upstream string
	Salt     string
	// Parts are the ids of the parts.
	Parts []string
}

// maxReadings bounds the readings that are kept for other gateways.
const maxReadings = 512

// tell keeps a reading for other gateways; c.mu is held.
func (c *Chooser) tell(r Reading) {
	c.readings = append(c.readings, r)
	if excess := len(c.readings) - maxReadings; excess > 0 {
		c.readings = append(c.readings[:0], c.readings[excess:]...)
		c.firstReading += uint64(excess)
	}
}

// Readings returns this gateway's readings from a number on, and the number of
// the next one.
func (c *Chooser) Readings(from uint64) ([]Reading, uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	next := c.firstReading + uint64(len(c.readings))
	if from < c.firstReading || from > next {
		from = c.firstReading
	}
	return append([]Reading(nil), c.readings[from-c.firstReading:]...), next
}

// Hear takes a reading of another gateway.
func (c *Chooser) Hear(r Reading) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s, known := c.upstreams[r.Upstream]
	if !known {
		return
	}
	now := c.now()
	for _, part := range r.Parts {
		s.parts[r.Salt+part] = held{used: now, read: true}
	}
	s.forgetOldParts(now)
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

// state returns what is known of an upstream; c.mu is held.
func (c *Chooser) state(id string) *upstreamState {
	s, ok := c.upstreams[id]
	if !ok {
		s = &upstreamState{version: make(map[string]int64), parts: make(map[string]held)}
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
		if s := c.state(id); s.born != upstream.BornMillis {
			s.born = upstream.BornMillis
			clear(s.version)
			clear(s.parts)
			s.heldUntil, s.restUntil, s.rest, s.failures = 0, 0, 0, 0
		}
		for model, version := range upstream.Weights {
			c.noteVersion(c.state(id), model, version)
		}
	}
}

// noteVersion takes a version that an upstream told; c.mu is held. An upstream
// never goes back within one life.
func (c *Chooser) noteVersion(s *upstreamState, model string, version int64) {
	if version > s.version[model] {
		s.version[model] = version
		clear(s.parts)
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
	c.noteVersion(s, model, version)
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
	home := homeOf(list, work)
	sources := c.sources(list, work, now)
	best := Choice{}
	usable := 0
	var excluded Excluded
	for _, upstream := range list {
		s := c.state(upstream.ID)
		version := s.version[work.Model]
		if !excluded.usable(upstream, s, work, version, now) {
			continue
		}
		usable++
		candidate := c.price(upstream, s, work, version, upstream.ID == home, sources, now)
		if best.Upstream == nil || candidate.Cost < best.Cost {
			best = candidate
		}
	}
	best.Usable, best.Excluded = usable, excluded
	return best, best.Upstream != nil
}

// usable reports whether an upstream can take a request, and counts the reason if not.
func (e *Excluded) usable(u *catalog.Upstream, s *upstreamState, work *Work, version int64, now bootclock.Instant) bool {
	switch {
	case u.Draining:
		e.Draining++
	case now.Before(s.restUntil):
		e.Resting++
	case now.Before(s.heldUntil):
		e.Held++
	case version < work.Floor:
		e.Old++
	case slices.Contains(work.Tried, u.ID):
		e.Tried++
	default:
		return true
	}
	return false
}

// price estimates the wait at an upstream; c.mu is held.
func (c *Chooser) price(u *catalog.Upstream, s *upstreamState, work *Work, version int64, home bool, sources []source, now bootclock.Instant) Choice {
	others := float64(c.gateways)
	running := float64(s.running) * others
	cost := running*runningCost + failureCost*s.failures + rand.Float64()
	if u.Capacity > 0 {
		load := running / float64(u.Capacity)
		cost += slotCost * load * load
	}
	if u.Zone != c.zone {
		cost += zoneCost
	}
	missing := work.Prefill
	var from *catalog.Upstream
	if len(work.Parts) > 0 {
		missing = c.missing(s, work, version, home, now)
		copied := int64(0)
		from, copied = bestSource(sources, u, version, work.Prefill-missing)
		missing -= copied
		cost += float64(copied) / copyTokensPerMS
		cost += (float64(missing) + float64(s.backlog)*others) / prefillTokensPerMS
	}
	if version < work.Wanted {
		cost += oldWeightsCost
	}
	return Choice{Upstream: u, Version: version, Missing: missing, Cost: cost, Source: from}
}

// source is an upstream that holds leading parts of a prompt.
type source struct {
	upstream *catalog.Upstream
	version  int64
	tokens   int64
}

// sources lists the upstreams from which parts of the work can be copied; c.mu is held.
func (c *Chooser) sources(list []*catalog.Upstream, work *Work, now bootclock.Instant) []source {
	if len(work.Parts) == 0 {
		return nil
	}
	var found []source
	for _, upstream := range list {
		s := c.state(upstream.ID)
		if len(s.parts) == 0 || now.Before(s.restUntil) || now.Before(s.heldUntil) {
			continue
		}
		version := s.version[work.Model]
		if tokens := s.copyable(work, work.Salt(version), now); tokens > 0 {
			found = append(found, source{upstream: upstream, version: version, tokens: tokens})
		}
	}
	return found
}

// bestSource returns the source that has the most beyond what an upstream has,
// in the upstream's zone if possible, and the number of tokens that it saves.
func bestSource(sources []source, to *catalog.Upstream, version, cached int64) (*catalog.Upstream, int64) {
	var best *catalog.Upstream
	var most int64
	for _, s := range sources {
		saved := s.tokens - cached
		if s.version != version || s.upstream.ID == to.ID || saved < minCopied {
			continue
		}
		if saved > most || saved == most && s.upstream.Zone == to.Zone {
			best, most = s.upstream, saved
		}
	}
	return best, most
}

// missing estimates the prompt tokens that an upstream has to read; c.mu is held.
func (c *Chooser) missing(s *upstreamState, work *Work, version int64, home bool, now bootclock.Instant) int64 {
	salt := work.Salt(version)
	missing := work.Prefill
	for i, part := range work.Parts {
		if s.has(salt+part.ID, now) {
			missing -= part.Tokens
			continue
		}
		if home && i < len(work.Parts)-1 {
			missing -= int64(homeCached * float64(part.Tokens))
			continue
		}
		break
	}
	return max(0, missing)
}

// homeOf returns the upstream that ranks first for the deepest shared part.
func homeOf(list []*catalog.Upstream, work *Work) string {
	if len(work.Parts) < 2 {
		return ""
	}
	key := work.Parts[len(work.Parts)-2].ID
	var best string
	var weight uint64
	for _, upstream := range list {
		if upstream.Draining {
			continue
		}
		if w := xxhash.Sum64String(key + upstream.ID); best == "" || w > weight {
			best, weight = upstream.ID, w
		}
	}
	return best
}

// Sent notes that a request goes to its choice. Its end is told by the returned Visit.
func (c *Chooser) Sent(choice Choice, work *Work) *Visit {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.state(choice.Upstream.ID)
	s.running++
	s.backlog += choice.Missing
	now := c.now()
	salt := ""
	if len(work.Parts) > 0 {
		salt = work.Salt(choice.Version)
	}
	for _, part := range work.Parts {
		known := s.parts[salt+part.ID]
		s.parts[salt+part.ID] = held{used: now, read: known.read && now.Sub(known.used) < cacheKept}
	}
	s.forgetOldParts(now)
	return &Visit{chooser: c, state: s, missing: choice.Missing, id: choice.Upstream.ID, salt: salt, parts: work.Parts}
}

// has reports whether a part is expected to be cached.
func (s *upstreamState) has(key string, now bootclock.Instant) bool {
	known, ok := s.parts[key]
	return ok && now.Sub(known.used) < cacheKept
}

// copyable returns the number of leading tokens of the work that others can copy.
func (s *upstreamState) copyable(work *Work, salt string, now bootclock.Instant) int64 {
	tokens := int64(0)
	for _, part := range work.Parts {
		known, ok := s.parts[salt+part.ID]
		if !ok || !known.read || now.Sub(known.used) >= cacheKept {
			break
		}
		tokens += part.Tokens
	}
	return tokens
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

// Visit is a request's stay at an upstream.
type Visit struct {
	chooser *Chooser
	state   *upstreamState
	missing int64
	left    bool
	id      string
	salt    string
	parts   []Part
}

// Started notes that the upstream has read the prompt.
func (v *Visit) Started() {
	v.chooser.mu.Lock()
	defer v.chooser.mu.Unlock()
	v.state.backlog -= v.missing
	v.missing = 0
	if len(v.parts) == 0 {
		return
	}
	now := v.chooser.now()
	ids := make([]string, len(v.parts))
	for i, part := range v.parts {
		ids[i] = part.ID
		key := v.salt + part.ID
		if _, ok := v.state.parts[key]; ok {
			v.state.parts[key] = held{used: now, read: true}
		}
	}
	v.chooser.tell(Reading{Upstream: v.id, Salt: v.salt, Parts: ids})
}

// Left notes the end of the stay. It is safe to call more than once.
func (v *Visit) Left() {
	v.chooser.mu.Lock()
	defer v.chooser.mu.Unlock()
	if v.left {
		return
	}
	v.left = true
	v.state.running--
	v.state.backlog -= v.missing
}

// Succeeded notes a sound answer.
func (v *Visit) Succeeded() {
	v.chooser.mu.Lock()
	defer v.chooser.mu.Unlock()
	v.state.failures -= failureWeight * v.state.failures
	v.state.rest = 0
}

// Failed notes an answer that was lost or a failure of the upstream's own.
func (v *Visit) Failed() {
	v.chooser.mu.Lock()
	defer v.chooser.mu.Unlock()
	v.state.failures += failureWeight * (1 - v.state.failures)
}

// Unreachable notes that the upstream could not be reached; it is left alone for a while.
func (v *Visit) Unreachable() {
	v.chooser.mu.Lock()
	defer v.chooser.mu.Unlock()
	v.state.rest = min(max(2*v.state.rest, minRest), maxRest)
	v.state.restUntil = v.chooser.now().Add(v.state.rest)
}

// Full notes that the upstream refused the request, and is left alone for a moment.
func (v *Visit) Full(pause time.Duration) {
	v.chooser.mu.Lock()
	defer v.chooser.mu.Unlock()
	v.state.restUntil = max(v.state.restUntil, v.chooser.now().Add(pause))
}
