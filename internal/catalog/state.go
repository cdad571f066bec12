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

// Upstreams is one version of the list of upstreams, indexed by ID and by pool.
type Upstreams struct {
	ByID   map[string]*Upstream
	ByPool map[string][]*Upstream
}

// NewUpstreams returns the indexes of a list of upstreams.
func NewUpstreams(list []*Upstream) *Upstreams {
	u := &Upstreams{ByID: make(map[string]*Upstream, len(list)), ByPool: make(map[string][]*Upstream)}
	for _, upstream := range list {
		u.ByID[upstream.ID] = upstream
		u.ByPool[upstream.Pool] = append(u.ByPool[upstream.Pool], upstream)
	}
	return u
}

// DatedVersion is a version of a model's weights and when it became known.
type DatedVersion struct {
	Version int64
	// KnownSince is when the version became known, on this process's clock: the earliest
	// instant at which this process or, by its report, a peer learned of the version.
	KnownSince bootclock.Instant
}

// TargetVersion is the version of the weights that a model should have.
type TargetVersion struct {
	DatedVersion
	// AgeAssumed is true if the age of the version is only assumed: it was published before
	// this process started, at a time that no peer has reported yet. KnownSince is 0
	// then, so the version counts as old.
	AgeAssumed bool
	// previous holds the earlier versions that MinVersion may still return, oldest first.
	previous []DatedVersion
}

// previousRetention bounds the age of previous versions: a version that has been known
// for that long is dropped when a newer one is published.
const previousRetention = time.Minute

// MinVersion returns the newest kept version that became known at least age ago, or 0 if
// there is none. Previous versions are kept only if, when the next version was published,
// their age was known and below previousRetention. Weights older than this version have
// been out of date for at least that long.
func (t TargetVersion) MinVersion(now bootclock.Instant, age time.Duration) int64 {
	if t.Version > 0 && now.Sub(t.KnownSince) >= age {
		return t.Version
	}
	for i := len(t.previous) - 1; i >= 0; i-- {
		if now.Sub(t.previous[i].KnownSince) >= age {
			return t.previous[i].Version
		}
	}
	return 0
}

// OutdatedAt returns when weights of a version will have been out of date for age: age
// after the first newer version became known. ok is false if no newer version is known, or
// if it is only assumed when it became known.
func (t TargetVersion) OutdatedAt(version int64, age time.Duration) (at bootclock.Instant, ok bool) {
	for _, dated := range t.DatedVersions() {
		if dated.Version > version {
			return dated.KnownSince.Add(age), true
		}
	}
	return 0, false
}

// DatedVersions returns the versions whose ages are known, oldest first, with the
// target version last.
func (t TargetVersion) DatedVersions() []DatedVersion {
	dated := slices.Clone(t.previous)
	if t.Version > 0 && !t.AgeAssumed {
		dated = append(dated, t.DatedVersion)
	}
	return dated
}

// withReportedAge returns t updated with the age of the target version, or of an earlier
// one, that a peer reported. A newer version than the target becomes the target: the store may
// name an older one again, which only those who knew the newer one notice. Of two instants it
// keeps the earlier one; a reported instant replaces an assumed one.
func (t TargetVersion) withReportedAge(reported DatedVersion) TargetVersion {
	switch {
	case reported.Version > t.Version:
		return t.next(reported.Version, reported.KnownSince)
	case reported.Version == t.Version && t.AgeAssumed:
		t.KnownSince, t.AgeAssumed = reported.KnownSince, false
	case reported.Version == t.Version:
		t.KnownSince = min(t.KnownSince, reported.KnownSince)
	default:
		t.previous = insertDatedVersion(t.previous, reported)
	}
	return t
}

// insertDatedVersion returns a copy of a list that is sorted by version, with one more
// version. Of a version that is in the list already, the earlier instant is kept.
func insertDatedVersion(list []DatedVersion, reported DatedVersion) []DatedVersion {
	list = slices.Clone(list)
	i, found := slices.BinarySearchFunc(list, reported, func(a, b DatedVersion) int { return cmp.Compare(a.Version, b.Version) })
	if found {
		list[i].KnownSince = min(list[i].KnownSince, reported.KnownSince)
		return list
	}
	return slices.Insert(list, i, reported)
}

// next returns the target version that follows t when a newer version is published.
func (t TargetVersion) next(version int64, now bootclock.Instant) TargetVersion {
	next := TargetVersion{DatedVersion: DatedVersion{Version: version, KnownSince: now}}
	for _, dated := range t.DatedVersions() {
		if now.Sub(dated.KnownSince) < previousRetention {
			next.previous = append(next.previous, dated)
		}
	}
	return next
}

// Catalog holds the newest known state of the fleet. The configuration, the upstreams, the
// target versions and the rollouts are each replaced as a whole and read without locks. A
// Catalog is safe for concurrent use.
type Catalog struct {
	config    atomic.Pointer[Config]
	upstreams atomic.Pointer[Upstreams]
	// targetVersions holds the target versions by model.
	targetVersions atomic.Pointer[map[string]TargetVersion]
	rollouts       atomic.Pointer[rollouts]
	// configConfirmed is when the current configuration was last known to be the newest.
	configConfirmed atomic.Int64
	answers         storeAnswers
	// configSet is when the current configuration was set, upstreamsConfirmed when the
	// list of upstreams was last known to be complete.
	configSet          atomic.Int64
	upstreamsConfirmed atomic.Int64

	// mu serializes updates.
	mu      sync.Mutex
	changed chan struct{}
}

// New returns an empty catalog.
func New() *Catalog { return &Catalog{changed: make(chan struct{})} }

// Config returns the current configuration, or nil before the first one.
func (c *Catalog) Config() *Config { return c.config.Load() }

// Upstreams returns the list of upstreams, or nil before the first one.
func (c *Catalog) Upstreams() *Upstreams { return c.upstreams.Load() }

// TargetVersion returns the target version of a model; its Version is 0 when none was
// published.
func (c *Catalog) TargetVersion(model string) TargetVersion {
	all := c.targetVersions.Load()
	if all == nil {
		return TargetVersion{}
	}
	return (*all)[model]
}

// TargetVersions returns the target versions by model, or nil before they are known.
// The caller must not change the map.
func (c *Catalog) TargetVersions() map[string]TargetVersion {
	all := c.targetVersions.Load()
	if all == nil {
		return nil
	}
	return *all
}

// IsComplete reports whether the configuration, the upstreams and the target versions
// are known.
func (c *Catalog) IsComplete() bool {
	return c.config.Load() != nil && c.upstreams.Load() != nil && c.targetVersions.Load() != nil
}

// SetConfig replaces the configuration unless its version is not newer than the
// current one, and reports whether it did.
func (c *Catalog) SetConfig(config *Config) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if current := c.config.Load(); current != nil && config.Version <= current.Version {
		return false
	}
	wasComplete := c.IsComplete()
	c.config.Store(config)
	c.configSet.Store(int64(bootclock.Now()))
	c.raiseTargets(wasComplete)
	c.notify()
	return true
}

// SetUpstreams replaces the list of upstreams. The versions of the weights that engines state in
// it become target versions if they are newer; see SetTargetVersions.
func (c *Catalog) SetUpstreams(list []*Upstream) {
	c.mu.Lock()
	defer c.mu.Unlock()
	wasComplete := c.IsComplete()
	c.upstreams.Store(NewUpstreams(list))
	c.raiseTargets(wasComplete)
	c.notify()
}

// raiseTargets makes the newest versions that listed engines of configured pools state the target
// versions if they are newer than those: engines load only versions that were published, and an
// older one may have been written to the store since. While the catalog was not complete before,
// they were published at an unknown time. c.mu must be held.
func (c *Catalog) raiseTargets(wasComplete bool) {
	if !c.IsComplete() {
		return
	}
	merged := maps.Clone(*c.targetVersions.Load())
	raised := false
	for model, version := range statedVersions(c.config.Load(), c.upstreams.Load()) {
		target := merged[model]
		if version <= target.Version {
			continue
		}
		raised = true
		if wasComplete {
			merged[model] = target.next(version, bootclock.Now())
		} else {
			merged[model] = TargetVersion{DatedVersion: DatedVersion{Version: version}, AgeAssumed: true, previous: target.previous}
		}
	}
	if raised {
		c.targetVersions.Store(&merged)
	}
}

// statedVersions returns the newest version of each model that an engine of a pool with that model
// states.
func statedVersions(config *Config, upstreams *Upstreams) map[string]int64 {
	newest := make(map[string]int64)
	for name, pool := range config.Pools {
		if pool.Engine == nil {
			continue
		}
		for _, upstream := range upstreams.ByPool[name] {
			for _, model := range pool.Engine.Models {
				newest[model] = max(newest[model], upstream.ModelVersions[model])
			}
		}
	}
	return newest
}

// SetTargetVersions sets the published versions by model, which became known at now. A
// version that is not newer than the model's current one, or than one that an engine states, is
// ignored. The versions of the first call were published at an unknown time, before this process
// started, so they are marked as AgeAssumed.
func (c *Catalog) SetTargetVersions(versions map[string]int64, now bootclock.Instant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	merged := make(map[string]TargetVersion)
	wasComplete, first := c.IsComplete(), c.targetVersions.Load() == nil
	if !first {
		merged = maps.Clone(*c.targetVersions.Load())
	}
	for model, version := range versions {
		switch {
		case first:
			merged[model] = TargetVersion{DatedVersion: DatedVersion{Version: version}, AgeAssumed: true}
		case version > merged[model].Version:
			merged[model] = merged[model].next(version, now)
		}
	}
	c.targetVersions.Store(&merged)
	c.raiseTargets(wasComplete)
	c.notify()
}

// MergeVersionAge updates a model's target version, its age, or that of an earlier one, with
// what a peer reported. The report is ignored before the first SetTargetVersions, and if its
// version is not positive.
func (c *Catalog) MergeVersionAge(model string, reported DatedVersion) {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := c.targetVersions.Load()
	if all == nil || reported.Version <= 0 {
		return
	}
	merged := maps.Clone(*all)
	merged[model] = merged[model].withReportedAge(reported)
	c.targetVersions.Store(&merged)
}

// Changed returns a channel that is closed at the next change of the configuration, the
// upstreams, the target versions or the rollouts. A caller that waits for changes must fetch the
// channel before it reads the state, so that it misses no change in between.
func (c *Catalog) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}

// notify wakes the goroutines that wait for a change. It must be called with c.mu held.
func (c *Catalog) notify() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// ConfirmConfig records that the current configuration was the newest at an instant.
func (c *Catalog) ConfirmConfig(at bootclock.Instant) { storeLatest(&c.configConfirmed, at) }

// ConfirmUpstreams records that the list of upstreams was complete at an instant.
func (c *Catalog) ConfirmUpstreams(at bootclock.Instant) { storeLatest(&c.upstreamsConfirmed, at) }

// storeLatest stores an instant unless a later one is stored already.
func storeLatest(target *atomic.Int64, at bootclock.Instant) {
	for {
		current := target.Load()
		if int64(at) <= current || target.CompareAndSwap(current, int64(at)) {
			return
		}
	}
}

// ConfigEvidenceAge returns how long ago the current configuration was last known to be the
// newest.
func (c *Catalog) ConfigEvidenceAge(now bootclock.Instant) time.Duration {
	return now.Sub(bootclock.Instant(c.configConfirmed.Load()))
}

// ConfigAge returns how long ago the current configuration was set.
func (c *Catalog) ConfigAge(now bootclock.Instant) time.Duration {
	return now.Sub(bootclock.Instant(c.configSet.Load()))
}

// UpstreamsEvidenceAge returns how long ago the list of upstreams was last known to be
// complete.
func (c *Catalog) UpstreamsEvidenceAge(now bootclock.Instant) time.Duration {
	return now.Sub(bootclock.Instant(c.upstreamsConfirmed.Load()))
}
