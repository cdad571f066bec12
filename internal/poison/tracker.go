// Package poison finds poison contents: parts of prompts, or whole requests, that crash
// every upstream that begins to answer them. It decides from the crashes and completions
// that several gateways observe, so that each gateway can refuse further requests with a
// convicted content. It does no input or output and starts no goroutines.
package poison

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/greengagegate/greengagegate/internal/bootclock"
)

// Key identifies a content that several requests may share. The keys of a request are
// ordered from the widest shared content to the narrowest: the first part of its prompt
// comes first and the whole request comes last. The last key identifies the request and
// thereby its other keys.
type Key string

// Options are the options of a Tracker.
type Options struct {
	// Now reads the clock; nil means bootclock.Now.
	Now func() bootclock.Instant
	Log zerolog.Logger
}

// Tracker collects the evidence against keys and convicts poison keys. Its gateway calls
// Report several times a second, which also takes the decisions that are due by time.
// A Tracker is safe for concurrent use.
type Tracker struct {
	now func() bootclock.Instant
	log zerolog.Logger

	// watching reports whether a completion can matter: a key is suspected, convicted or
	// on probation.
	watching atomic.Bool
	// convicted holds the ends of the active convictions. The map is replaced, never
	// changed; nil means none.
	convicted atomic.Pointer[map[Key]bootclock.Instant]

	// mu guards the fields below.
	mu             sync.Mutex
	crashes        map[crashID]*crash
	suspects       map[Key]*suspect
	convictions    map[Key]conviction
	ownClearances  map[Key]clearance
	peerClearances map[Key]clearance
}

// New returns a Tracker that suspects nothing.
func New(options Options) *Tracker {
	now := options.Now
	if now == nil {
		now = bootclock.Now
	}
	return &Tracker{
		now:            now,
		log:            options.Log,
		crashes:        make(map[crashID]*crash),
		suspects:       make(map[Key]*suspect),
		convictions:    make(map[Key]conviction),
		ownClearances:  make(map[Key]clearance),
		peerClearances: make(map[Key]clearance),
	}
}

// RecordCrash records that a request of this gateway with these keys was in flight at an
// upstream when it crashed. startedMillis is the upstream's start time in milliseconds
// since the Unix epoch; it tells its incarnations apart. Calls with the same upstream and
// start time concern one crash, which has the instant of the first of them.
func (t *Tracker) RecordCrash(upstream string, startedMillis int64, keys []Key) {
	if len(keys) == 0 {
		return
	}
	now := t.now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	c := t.crash(crashID{upstream: upstream, startedMillis: startedMillis}, now)
	keys = slices.Clone(keys)
	c.addOwn(keys, now)
	t.addRequest(c, keys, now)
	t.settle(now)
}

// RecordCompletion records that an upstream completed a request with these keys, which
// was sent to it at sentAt. The crashes before sentAt are no longer evidence against the
// keys, here and, after the next reports, at the peers. It takes no lock while no key is
// suspected, convicted or on probation.
func (t *Tracker) RecordCompletion(keys []Key, sentAt bootclock.Instant) {
	if !t.watching.Load() {
		return
	}
	now := t.now()
	t.mu.Lock()
	defer t.mu.Unlock()
	watched := false
	for _, key := range keys {
		if t.watches(key) {
			watched = true
			keepClearance(t.ownClearances, key, sentAt, now)
			t.clear(key, sentAt)
		}
	}
	if watched {
		t.publish(now)
	}
}

// Convicted returns the first convicted key among keys and the time that is left of its
// conviction, or "" and 0 when none is convicted. It takes no lock.
func (t *Tracker) Convicted(keys []Key) (Key, time.Duration) {
	ends := t.convicted.Load()
	if ends == nil {
		return "", 0
	}
	now := t.now()
	for _, key := range keys {
		if end, ok := (*ends)[key]; ok && now.Before(end) {
			return key, end.Sub(now)
		}
	}
	return "", 0
}

// OnTrial returns a key because of which the request with these keys must run alone among
// all gateways, or "": the request as a whole was in flight at trialCrashes crashes that
// nothing has cleared it of, or a key's conviction has ended and nothing has shown since that
// it is sound. It takes no lock while no key is suspected, convicted or on probation.
func (t *Tracker) OnTrial(keys []Key) Key {
	if len(keys) == 0 || !t.watching.Load() {
		return ""
	}
	now := t.now()
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, key := range keys {
		if v, ok := t.convictions[key]; ok && !now.Before(v.end) {
			return key
		}
	}
	request := keys[len(keys)-1]
	if s := t.suspects[request]; s != nil && len(s.evidence) >= trialCrashes {
		return request
	}
	return ""
}

// Suspects returns the number of keys with evidence against them.
func (t *Tracker) Suspects() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.suspects)
}

// Convictions returns the number of active convictions.
func (t *Tracker) Convictions() int {
	now := t.now()
	t.mu.Lock()
	defer t.mu.Unlock()
	active := 0
	for _, v := range t.convictions {
		if now.Before(v.end) {
			active++
		}
	}
	return active
}

// watches reports whether a completion with the key matters. t.mu must be held.
func (t *Tracker) watches(key Key) bool {
	if t.suspects[key] != nil {
		return true
	}
	_, ok := t.convictions[key]
	return ok
}

// settle takes the decisions that are due, enforces the bounds and publishes the state
// that is read without a lock. t.mu must be held.
func (t *Tracker) settle(now bootclock.Instant) {
	t.decide(now)
	t.trim()
	t.publish(now)
}

// publish updates the state that is read without a lock. t.mu must be held.
func (t *Tracker) publish(now bootclock.Instant) {
	t.watching.Store(len(t.suspects) > 0 || len(t.convictions) > 0)
	var ends map[Key]bootclock.Instant
	for key, v := range t.convictions {
		if !now.Before(v.end) {
			continue
		}
		if ends == nil {
			ends = make(map[Key]bootclock.Instant)
		}
		ends[key] = v.end
	}
	if ends == nil {
		t.convicted.Store(nil)
		return
	}
	t.convicted.Store(&ends)
}

// IsIdle reports whether no key is suspected, convicted or on probation, so that neither
// Convicted nor RecordCompletion has an effect. It takes no lock.
func (t *Tracker) IsIdle() bool { return !t.watching.Load() }
