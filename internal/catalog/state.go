package catalog

import (
	"maps"
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
	// early holds the reports on versions that arrived before the first SetTargetVersions, by
	// model.
	early map[string][]DatedVersion
	// stalenessLimit is the longest age for which MinVersion and OutdatedAt are asked.
	stalenessLimit time.Duration

	// mu serializes updates.
	mu      sync.Mutex
	changed chan struct{}
}

// defaultStalenessLimit is the limit before SetStalenessLimit is called.
const defaultStalenessLimit = time.Minute

// New returns an empty catalog.
func New() *Catalog {
	return &Catalog{changed: make(chan struct{}), stalenessLimit: defaultStalenessLimit}
}

// SetStalenessLimit sets the longest age for which TargetVersion.MinVersion and OutdatedAt are asked.
// Versions are kept for as long as these may return them. It must be called before the first version
// is set.
func (c *Catalog) SetStalenessLimit(limit time.Duration) { c.stalenessLimit = limit }

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
	now, raised := bootclock.Now(), false
	for model, version := range statedVersions(c.config.Load(), c.upstreams.Load()) {
		target := merged[model]
		if version <= target.Version {
			continue
		}
		raised = true
		merged[model] = target.next(DatedVersion{Version: version, KnownSince: now, AgeAssumed: !wasComplete}, c.stalenessLimit)
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
			merged[model] = TargetVersion{DatedVersion: DatedVersion{Version: version, KnownSince: now, AgeAssumed: true}}
		case version > merged[model].Version:
			merged[model] = merged[model].next(DatedVersion{Version: version, KnownSince: now}, c.stalenessLimit)
		}
	}
	for model, reports := range c.early {
		for _, reported := range reports {
			merged[model] = merged[model].withReported(reported, c.stalenessLimit)
		}
	}
	c.early = nil
	c.targetVersions.Store(&merged)
	c.raiseTargets(wasComplete)
	c.notify()
}

// MergeVersionAge updates a model's target version, its age, or that of an earlier one, with
// what a peer reported. The report is ignored if its version is not positive; before the first
// SetTargetVersions it waits for that.
func (c *Catalog) MergeVersionAge(model string, reported DatedVersion) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if reported.Version <= 0 {
		return
	}
	all := c.targetVersions.Load()
	if all == nil {
		c.addEarly(model, reported)
		return
	}
	merged := maps.Clone(*all)
	merged[model] = merged[model].withReported(reported, c.stalenessLimit)
	c.targetVersions.Store(&merged)
}

// addEarly keeps a report until the target versions are known. c.mu must be held.
func (c *Catalog) addEarly(model string, reported DatedVersion) {
	if c.early == nil {
		c.early = make(map[string][]DatedVersion)
	}
	c.early[model] = insertDatedVersion(c.early[model], reported)
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
