package catalog

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/greengagegate/greengagegate/internal/bootclock"
)

// Upstreams is one version of the list of upstreams.
type Upstreams struct {
	ByID   map[string]*Upstream
	ByPool map[string][]*Upstream
}

// NewUpstreams indexes a list.
func NewUpstreams(list []*Upstream) *Upstreams {
	u := &Upstreams{ByID: make(map[string]*Upstream, len(list)), ByPool: make(map[string][]*Upstream)}
	for _, upstream := range list {
		u.ByID[upstream.ID] = upstream
		u.ByPool[upstream.Pool] = append(u.ByPool[upstream.Pool], upstream)
	}
	return u
}

// Named is a weights version and when this process learned of it.
type Named struct {
	Version int64
	Known   bootclock.Instant
}

// Wanted is the weights version that a model is to have.
type Wanted struct {
	Named
	// Assumed says that the version was named before this process started, at a
	// time that nobody has told it. It is then taken for old.
	Assumed bool
	// former are the versions before it, oldest first, as long as they matter.
	former []Named
}

// formerKept is how long a version is remembered that was followed by a newer one.
const formerKept = time.Minute

// Floor returns the newest version that was named at least age ago. Older
// weights have been out of date for that long. It is 0 when there is none.
func (w Wanted) Floor(now bootclock.Instant, age time.Duration) int64 {
	if w.Version > 0 && now.Sub(w.Known) >= age {
		return w.Version
	}
	for i := len(w.former) - 1; i >= 0; i-- {
		if now.Sub(w.former[i].Known) >= age {
			return w.former[i].Version
		}
	}
	return 0
}

// Ages returns the versions whose ages are known, oldest first.
func (w Wanted) Ages() []Named {
	ages := slices.Clone(w.former)
	if w.Version > 0 && !w.Assumed {
		ages = append(ages, w.Named)
	}
	return ages
}

// aged returns the wanted version with what another process knows of it, or of a
// version before it. Of two instants the earlier one counts, unless the own one
// was only assumed.
func (w Wanted) aged(told Named) Wanted {
	switch {
	case told.Version > w.Version:
		return w
	case told.Version == w.Version && w.Assumed:
		w.Known, w.Assumed = told.Known, false
	case told.Version == w.Version:
		w.Known = min(w.Known, told.Known)
	default:
		w.former = insertNamed(w.former, told)
	}
	return w
}

// insertNamed returns a list, in the order of versions, with one more version.
func insertNamed(list []Named, told Named) []Named {
	list = slices.Clone(list)
	i, known := slices.BinarySearchFunc(list, told, func(a, b Named) int { return cmp.Compare(a.Version, b.Version) })
	if known {
		list[i].Known = min(list[i].Known, told.Known)
		return list
	}
	return slices.Insert(list, i, told)
}

// follow returns the wanted version after a newer one was named.
func (w Wanted) follow(version int64, now bootclock.Instant) Wanted {
	next := Wanted{Named: Named{Version: version, Known: now}}
	for _, named := range w.Ages() {
		if now.Sub(named.Known) < formerKept {
			next.former = append(next.former, named)
		}
	}
	return next
}

// Catalog is the newest knowledge of the fleet. Parts are replaced whole and
// read without locks.
type Catalog struct {
	config    atomic.Pointer[Config]
	upstreams atomic.Pointer[Upstreams]
	wanted    atomic.Pointer[map[string]Wanted]
	evidence  atomic.Int64
	trouble   atomic.Int64
	// configSince is when the configuration in force was taken, listConfirmed when
	// the list of upstreams was last known to be complete.
	configSince   atomic.Int64
	listConfirmed atomic.Int64

	mu      sync.Mutex
	changed chan struct{}
}

// New returns a catalog that knows nothing.
func New() *Catalog { return &Catalog{changed: make(chan struct{})} }

// Config returns the configuration in force, or nil before the first.
func (c *Catalog) Config() *Config { return c.config.Load() }

// Upstreams returns the list of upstreams, or nil before the first.
func (c *Catalog) Upstreams() *Upstreams { return c.upstreams.Load() }

// Wanted returns the version that a model is to have; 0 when none was named.
func (c *Catalog) Wanted(model string) Wanted {
	all := c.wanted.Load()
	if all == nil {
		return Wanted{}
	}
	return (*all)[model]
}

// Models returns the wanted versions of all models, or nil before they are known.
func (c *Catalog) Models() map[string]Wanted {
	all := c.wanted.Load()
	if all == nil {
		return nil
	}
	return *all
}

// Known reports whether the configuration, the upstreams and the wanted weights are known.
func (c *Catalog) Known() bool {
	return c.config.Load() != nil && c.upstreams.Load() != nil && c.wanted.Load() != nil
}

// SetConfig puts a configuration in force. A version that is not newer than the
// one in force is ignored; the result says whether it was taken.
func (c *Catalog) SetConfig(config *Config) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if former := c.config.Load(); former != nil && config.Version <= former.Version {
		return false
	}
	c.config.Store(config)
	c.configSince.Store(int64(bootclock.Now()))
	c.notify()
	return true
}

// SetUpstreams replaces the list of upstreams.
func (c *Catalog) SetUpstreams(list []*Upstream) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.upstreams.Store(NewUpstreams(list))
	c.notify()
}

// SetWanted notes the named versions. Versions only grow; the time at which a
// version became known is kept. The first ones were named before, some time ago.
func (c *Catalog) SetWanted(versions map[string]int64, now bootclock.Instant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	merged := make(map[string]Wanted)
	first := c.wanted.Load() == nil
	if !first {
		merged = maps.Clone(*c.wanted.Load())
	}
	for model, version := range versions {
		switch {
		case first:
			merged[model] = Wanted{Named: Named{Version: version}, Assumed: true}
		case version > merged[model].Version:
			merged[model] = merged[model].follow(version, now)
		}
	}
	c.wanted.Store(&merged)
	c.notify()
}

// Age takes what another process knows of the age of a version that is wanted, or
// was wanted before.
func (c *Catalog) Age(model string, told Named) {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := c.wanted.Load()
	if all == nil || told.Version <= 0 {
		return
	}
	merged := maps.Clone(*all)
	merged[model] = merged[model].aged(told)
	c.wanted.Store(&merged)
}

// Changed returns a channel that is closed at the next change.
func (c *Catalog) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}

// notify wakes those who wait for a change; c.mu is held.
func (c *Catalog) notify() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// Confirm notes that the configuration in force was the newest at an instant.
func (c *Catalog) Confirm(at bootclock.Instant) { raise(&c.evidence, at) }

// ConfirmList notes that the list of upstreams was complete at an instant.
func (c *Catalog) ConfirmList(at bootclock.Instant) { raise(&c.listConfirmed, at) }

// raise stores an instant unless a later one is there.
func raise(to *atomic.Int64, at bootclock.Instant) {
	for {
		former := to.Load()
		if int64(at) <= former || to.CompareAndSwap(former, int64(at)) {
			return
		}
	}
}

// NoteTrouble notes that the store could not be asked at an instant.
func (c *Catalog) NoteTrouble(at bootclock.Instant) { c.trouble.Store(int64(at)) }

// Trouble returns when the store could not be asked last.
func (c *Catalog) Trouble() bootclock.Instant { return bootclock.Instant(c.trouble.Load()) }

// EvidenceAge returns how long ago the configuration in force was last known to
// be the newest.
func (c *Catalog) EvidenceAge(now bootclock.Instant) time.Duration {
	return now.Sub(bootclock.Instant(c.evidence.Load()))
}

// ConfigAge returns how long ago the configuration in force was taken.
func (c *Catalog) ConfigAge(now bootclock.Instant) time.Duration {
	return now.Sub(bootclock.Instant(c.configSince.Load()))
}

// ListAge returns how long ago the list of upstreams was last known to be complete.
func (c *Catalog) ListAge(now bootclock.Instant) time.Duration {
	return now.Sub(bootclock.Instant(c.listConfirmed.Load()))
}
