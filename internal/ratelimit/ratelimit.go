// Package ratelimit keeps the rates that upstreams take from all gateways together. An
// upstream states its rate in its responses for as long as the limit holds. Each gateway tells
// the others what it has been told itself, so that all keep to a limit from the first response
// that states it.
//
// The package keeps what is known; package permit spaces the requests.
package ratelimit

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/greengagegate/greengagegate/internal/bootclock"
	"github.com/greengagegate/greengagegate/internal/eviction"
	"github.com/rs/zerolog"
)

const (
	// maxUpstreams bounds the upstreams that are remembered. The oldest statements beyond it
	// are dropped.
	maxUpstreams = 4096
	// endedRetention is how long the end of a limit is reported to the other gateways.
	endedRetention = 10 * time.Second
	// statementTTL is the age at which a limit is forgotten: a gateway that sends requests
	// hears of it again long before.
	statementTTL = 10 * time.Minute
)

// Incarnation is one run of an upstream. StartedMillis is its start time in milliseconds since
// the Unix epoch, or 0 if it is not known.
type Incarnation struct {
	Upstream      string
	StartedMillis int64
}

// Statement is what an upstream stated about its limit.
type Statement struct {
	Incarnation
	// Limited is true if there is a limit, of PerSecond requests from all gateways together.
	Limited   bool
	PerSecond float64
}

// Report is a statement to a gateway, for the others.
type Report struct {
	Statement
	// Age is the time since the gateway received it.
	Age time.Duration
}

// Options are the options of a Tracker.
type Options struct {
	// Now reads the clock; nil means bootclock.Now.
	Now func() bootclock.Instant
	Log zerolog.Logger
}

// Tracker keeps the newest statement of each upstream that has stated a limit. It is safe for
// concurrent use, except that OnChange must be called before the other methods.
type Tracker struct {
	now      func() bootclock.Instant
	log      zerolog.Logger
	onChange func()
	// known is the number of upstreams in the map.
	known atomic.Int64

	mu        sync.Mutex
	upstreams map[string]*entry
}

// entry is the newest statement of an upstream.
type entry struct {
	Statement
	receivedAt bootclock.Instant
	// own is true if this gateway received the statement, not another one.
	own bool
}

// New returns a Tracker without limits.
func New(options Options) *Tracker {
	now := options.Now
	if now == nil {
		now = bootclock.Now
	}
	return &Tracker{now: now, log: options.Log, onChange: func() {}, upstreams: make(map[string]*entry)}
}

// OnChange sets a function that is called when this gateway receives a statement that differs
// from the last one of its upstream. It must not block.
func (t *Tracker) OnChange(call func()) { t.onChange = call }

// Record records what a response stated. sentAt is when its request was sent: a response
// without a limit ends one only if the request was sent after the limit was last stated,
// since responses may overtake each other.
func (t *Tracker) Record(s Statement, sentAt bootclock.Instant) {
	if !s.Limited && t.known.Load() == 0 {
		return
	}
	if t.record(s, sentAt) {
		t.onChange()
	}
}

// record reports whether a limit began, ended or has another rate now.
func (t *Tracker) record(s Statement, sentAt bootclock.Instant) (changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.upstreams[s.Upstream]
	isKnown := e != nil && e.isOf(s.Incarnation)
	if !s.Limited && (!isKnown || !e.Limited || sentAt.Before(e.receivedAt)) {
		return false
	}
	return t.put(s, t.now(), true)
}

// Apply takes over a statement to another gateway unless a later one is known or its rate is
// not a number from 0 on. It relates the age to the instant of the call.
func (t *Tracker) Apply(r Report) {
	if !(r.PerSecond >= 0) {
		return
	}
	receivedAt := t.now().Add(-max(r.Age, 0))
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.upstreams[r.Upstream]; e != nil && !e.receivedAt.Before(receivedAt) {
		return
	}
	t.put(r.Statement, receivedAt, false)
}

// Limit returns the rate that an upstream takes from all gateways together, in requests per
// second. limited is false if it has no limit.
func (t *Tracker) Limit(of Incarnation) (perSecond float64, limited bool) {
	if t.known.Load() == 0 {
		return 0, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.upstreams[of.Upstream]
	if e == nil || !e.isOf(of) || !e.Limited || t.now().Sub(e.receivedAt) >= statementTTL {
		return 0, false
	}
	return e.PerSecond, true
}

// Reports returns the statements to this gateway that the others may not know.
func (t *Tracker) Reports() []Report {
	if t.known.Load() == 0 {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	var reports []Report
	for id, e := range t.upstreams {
		age := now.Sub(e.receivedAt)
		if age >= e.retention() {
			delete(t.upstreams, id)
			continue
		}
		if e.own {
			reports = append(reports, Report{Statement: e.Statement, Age: age})
		}
	}
	t.known.Store(int64(len(t.upstreams)))
	return reports
}

// Limited returns the number of upstreams with a limit.
func (t *Tracker) Limited() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	count := 0
	for _, e := range t.upstreams {
		if e.Limited {
			count++
		}
	}
	return count
}

// put replaces the statement of an upstream, and logs and reports whether it is another one
// than before. t.mu must be held.
func (t *Tracker) put(s Statement, receivedAt bootclock.Instant, own bool) (changed bool) {
	e := t.upstreams[s.Upstream]
	changed = e == nil || !e.isOf(s.Incarnation) || e.Limited != s.Limited || e.PerSecond != s.PerSecond
	if changed {
		t.log.Info().Str("upstream", s.Upstream).Int64("born", s.StartedMillis).Bool("limited", s.Limited).Float64("per_s", s.PerSecond).
			Bool("own", own).Dur("age_ms", t.now().Sub(receivedAt)).Msg("ratelimit: an upstream stated another limit; all gateways together keep to it")
	}
	t.upstreams[s.Upstream] = &entry{Statement: s, receivedAt: receivedAt, own: own}
	for _, id := range eviction.Oldest(t.upstreams, maxUpstreams, func(e *entry) bootclock.Instant { return e.receivedAt }) {
		delete(t.upstreams, id)
	}
	t.known.Store(int64(len(t.upstreams)))
	return changed
}

// isOf reports whether the statement is that of an incarnation. An unknown start time fits
// each one.
func (e *entry) isOf(i Incarnation) bool {
	return e.StartedMillis == i.StartedMillis || e.StartedMillis == 0 || i.StartedMillis == 0
}

// retention returns the age at which the statement is dropped.
func (e *entry) retention() time.Duration {
	if e.Limited {
		return statementTTL
	}
	return endedRetention
}
