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

// DatedVersion is a weights version and when this process learned of it.
type DatedVersion struct {
	Version    int64
	KnownSince bootclock.Instant
}

// TargetVersion is the weights version that a model is to have.
type TargetVersion struct {
	DatedVersion
	// Assumed says that the version was named before this process started, at a
	// time that nobody has told it. It is then taken for old.
	Assumed bool
	// former are the versions before it, oldest first, as long as they matter.
	former []DatedVersion
}

// formerKept is how long a version is remembered that was followed by a newer one.
const formerKept = time.Minute

// MinVersion returns the newest version that was named at least age ago. Older
// weights have been out of date for that long. It is 0 when there is none.
func (t TargetVersion) MinVersion(now bootclock.Instant, age time.Duration) int64 {
	if t.Version > 0 && now.Sub(t.KnownSince) >= age {
		return t.Version
	}
	for i := len(t.former) - 1; i >= 0; i-- {
		if now.Sub(t.former[i].KnownSince) >= age {
			return t.former[i].Version
		}
	}
	return 0
}

// DatedVersions returns the versions whose ages are known, oldest first.
func (t TargetVersion) DatedVersions() []DatedVersion {
	ages := slices.Clone(t.former)
	if t.Version > 0 && !t.Assumed {
		ages = append(ages, t.DatedVersion)
	}
	return ages
}

// aged returns the wanted version with what another process knows of it, or of a
// version before it. Of two instants the earlier one counts, unless the own one
// was only assumed.
func (t TargetVersion) aged(reported DatedVersion) TargetVersion {
	switch {
	case reported.Version > t.Version:
		return t
	case reported.Version == t.Version && t.Assumed:
		t.KnownSince, t.Assumed = reported.KnownSince, false
	case reported.Version == t.Version:
		t.KnownSince = min(t.KnownSince, reported.KnownSince)
	default:
		t.former = insertDated(t.former, reported)
	}
	return t
}

// insertDated returns a list, in the order of versions, with one more version.
func insertDated(list []DatedVersion, reported DatedVersion) []DatedVersion {
	list = slices.Clone(list)
	i, known := slices.BinarySearchFunc(list, reported, func(a, b DatedVersion) int { return cmp.Compare(a.Version, b.Version) })
	if known {
		list[i].KnownSince = min(list[i].KnownSince, reported.KnownSince)
		return list
	}
	return slices.Insert(list, i, reported)
}

// follow returns the wanted version after a newer one was named.
func (t TargetVersion) follow(version int64, now bootclock.Instant) TargetVersion {
	next := TargetVersion{DatedVersion: DatedVersion{Version: version, KnownSince: now}}
	for _, dated := range t.DatedVersions() {
		if now.Sub(dated.KnownSince) < formerKept {
			next.former = append(next.former, dated)
		}
	}
	return next
}

// Catalog is the newest knowledge of the fleet. Parts are replaced whole and
// read without locks.
type Catalog struct {
	config           atomic.Pointer[Config]
	upstreams        atomic.Pointer[Upstreams]
	targetVersions   atomic.Pointer[map[string]TargetVersion]
	evidence         atomic.Int64
	lastStoreFailure atomic.Int64
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

// TargetVersion returns the version that a model is to have; 0 when none was named.
func (c *Catalog) TargetVersion(model string) TargetVersion {
	all := c.targetVersions.Load()
	if all == nil {
		return TargetVersion{}
	}
	return (*all)[model]
}

// TargetVersions returns the wanted versions of all models, or nil before they are known.
func (c *Catalog) TargetVersions() map[string]TargetVersion {
	all := c.targetVersions.Load()
	if all == nil {
		return nil
	}
	return *all
}

// IsComplete reports whether the configuration, the upstreams and the wanted weights are known.
func (c *Catalog) IsComplete() bool {
	return c.config.Load() != nil && c.upstreams.Load() != nil && c.targetVersions.Load() != nil
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

// SetTargetVersions notes the named versions. Versions only grow; the time at which a
// version became known is kept. The first ones were named before, some time ago.
func (c *Catalog) SetTargetVersions(versions map[string]int64, now bootclock.Instant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	merged := make(map[string]TargetVersion)
	first := c.targetVersions.Load() == nil
	if !first {
		merged = maps.Clone(*c.targetVersions.Load())
	}
	for model, version := range versions {
		switch {
		case first:
			merged[model] = TargetVersion{DatedVersion: DatedVersion{Version: version}, Assumed: true}
		case version > merged[model].Version:
			merged[model] = merged[model].follow(version, now)
		}
	}
	c.targetVersions.Store(&merged)
	c.notify()
}

// MergeVersionAge takes what another process knows of the age of a version that is wanted, or
// was wanted before.
func (c *Catalog) MergeVersionAge(model string, reported DatedVersion) {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := c.targetVersions.Load()
	if all == nil || reported.Version <= 0 {
		return
	}
	merged := maps.Clone(*all)
	merged[model] = merged[model].aged(reported)
	c.targetVersions.Store(&merged)
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

// ConfirmConfig notes that the configuration in force was the newest at an instant.
func (c *Catalog) ConfirmConfig(at bootclock.Instant) { raise(&c.evidence, at) }

// ConfirmUpstreams notes that the list of upstreams was complete at an instant.
func (c *Catalog) ConfirmUpstreams(at bootclock.Instant) { raise(&c.listConfirmed, at) }

// raise stores an instant unless a later one is there.
func raise(to *atomic.Int64, at bootclock.Instant) {
	for {
		former := to.Load()
		if int64(at) <= former || to.CompareAndSwap(former, int64(at)) {
			return
		}
	}
}

// RecordStoreFailure notes that the store could not be asked at an instant.
func (c *Catalog) RecordStoreFailure(at bootclock.Instant) { c.lastStoreFailure.Store(int64(at)) }

// LastStoreFailure returns when the store could not be asked last.
func (c *Catalog) LastStoreFailure() bootclock.Instant {
	return bootclock.Instant(c.lastStoreFailure.Load())
}

// EvidenceAge returns how long ago the configuration in force was last known to
// be the newest.
func (c *Catalog) EvidenceAge(now bootclock.Instant) time.Duration {
	return now.Sub(bootclock.Instant(c.evidence.Load()))
}

// ConfigAge returns how long ago the configuration in force was taken.
func (c *Catalog) ConfigAge(now bootclock.Instant) time.Duration {
	return now.Sub(bootclock.Instant(c.configSince.Load()))
}

// UpstreamsAge returns how long ago the list of upstreams was last known to be complete.
func (c *Catalog) UpstreamsAge(now bootclock.Instant) time.Duration {
	return now.Sub(bootclock.Instant(c.listConfirmed.Load()))
}
