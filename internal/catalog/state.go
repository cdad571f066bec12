package catalog

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/greengagegate/greengagegate/internal/bootclock"
	"github.com/greengagegate/greengagegate/internal/metrics"
	"github.com/rs/zerolog"
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
	// versions is what is known of the versions of each model, also before the first
	// SetTargetVersions.
	versions map[string]*modelVersions
	// stalenessLimit is the longest age for which MinVersion and OutdatedAt are asked.
	stalenessLimit time.Duration
	log            zerolog.Logger

	// mu serializes updates.
	mu      sync.Mutex
	changed chan struct{}
}

// defaultStalenessLimit is the limit before SetStalenessLimit is called.
const defaultStalenessLimit = time.Minute

// New returns an empty catalog.
func New() *Catalog {
	return &Catalog{
		changed: make(chan struct{}), stalenessLimit: defaultStalenessLimit,
		versions: make(map[string]*modelVersions), log: zerolog.Nop(),
	}
}

// SetLog sets the log for changes of target versions that no published version explains. It must be
// called before the first version is set.
func (c *Catalog) SetLog(log zerolog.Logger) { c.log = log }

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
	c.updateStated(wasComplete)
	c.notify()
	return true
}

// SetUpstreams replaces the list of upstreams. The newest version of the weights that an engine states
// in it is the target version while it is stated, if it is newer than the published one.
func (c *Catalog) SetUpstreams(list []*Upstream) {
	c.mu.Lock()
	defer c.mu.Unlock()
	wasComplete := c.IsComplete()
	c.upstreams.Store(NewUpstreams(list))
	c.updateStated(wasComplete)
	c.notify()
}

// updateStated records which versions listed engines of configured pools state. While the catalog was
// not complete before, they were published at an unknown time. c.mu must be held.
func (c *Catalog) updateStated(wasComplete bool) {
	if !c.IsComplete() {
		return
	}
	now, stated := bootclock.Now(), statedVersions(c.config.Load(), c.upstreams.Load())
	for model := range stated {
		c.versionsOf(model)
	}
	for model, versions := range c.versions {
		versions.setStated(stated[model], now, !wasComplete)
	}
	c.publishTargets()
}

// statedVersions returns the versions of each model that engines of pools with that model state,
// oldest first.
func statedVersions(config *Config, upstreams *Upstreams) map[string][]int64 {
	stated := make(map[string][]int64)
	for name, pool := range config.Pools {
		if pool.Engine == nil {
			continue
		}
		for _, upstream := range upstreams.ByPool[name] {
			for _, model := range pool.Engine.Models {
				if version := upstream.ModelVersions[model]; version > 0 {
					stated[model] = append(stated[model], version)
				}
			}
		}
	}
	for model, versions := range stated {
		slices.Sort(versions)
		stated[model] = slices.Compact(versions)
	}
	return stated
}

// versionsOf returns what is known of a model's versions. c.mu must be held.
func (c *Catalog) versionsOf(model string) *modelVersions {
	versions, ok := c.versions[model]
	if !ok {
		versions = new(modelVersions)
		c.versions[model] = versions
	}
	return versions
}

// publishTargets replaces the target versions by what is known now, and logs those that an engine's
// statement raised, or that fell since nothing supports them any more. c.mu must be held.
func (c *Catalog) publishTargets() {
	targets, former := make(map[string]TargetVersion, len(c.versions)), c.TargetVersions()
	for model, versions := range c.versions {
		versions.prune(c.stalenessLimit)
		target := versions.target()
		if target.Version > 0 {
			targets[model] = target
		}
		if target.Stated && target.Version > former[model].Version || target.Version < former[model].Version {
			c.logStated(model, former[model].Version, target, versions)
		}
	}
	c.targetVersions.Store(&targets)
}

// logStated writes a line on a target version that what engines state has raised, or that fell
// because nothing supports the former one any more.
func (c *Catalog) logStated(model string, former int64, target TargetVersion, versions *modelVersions) {
	metrics.Counter("weights.stated_targets").Inc(1)
	message := "catalog: an engine states newer weights than were read from the store; they are the target until no listed engine states them or one refuses to load them"
	if target.Version < former {
		message = "catalog: no listed engine states the target version of the weights any more, or one refused to load it; going back to an older one"
	}
	c.log.Warn().Str("model", model).Int64("version", target.Version).Int64("former", former).Int64("newest_named", versions.newestNamed()).
		Strs("stated_by", c.statedBy(model, max(former, target.Version))).Interface("refused", slices.Sorted(maps.Keys(versions.refused))).Msg(message)
}

// maxLoggedUpstreams bounds the upstreams that a log line names.
const maxLoggedUpstreams = 5

// statedBy returns IDs and addresses of listed upstreams that state a version, for the log.
func (c *Catalog) statedBy(model string, version int64) []string {
	var names []string
	upstreams := c.upstreams.Load()
	if upstreams == nil {
		return nil
	}
	for id, upstream := range upstreams.ByID {
		if upstream.ModelVersions[model] == version && len(names) < maxLoggedUpstreams {
			names = append(names, id+"="+upstream.Address)
		}
	}
	slices.Sort(names)
	return names
}

// SetTargetVersions sets the published versions by model, which became known at now. A
// version that is not newer than the newest that was published is ignored: the store may carry out
// the write of an older one late. The versions of the first call were published at an unknown time,
// before this process started, so they are marked as AgeAssumed.
func (c *Catalog) SetTargetVersions(versions map[string]int64, now bootclock.Instant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	wasComplete, first := c.IsComplete(), c.targetVersions.Load() == nil
	for model, version := range versions {
		known := c.versionsOf(model)
		if !first && version <= known.newestNamed() || known.confirm(version, first) {
			continue
		}
		known.add(DatedVersion{Version: version, KnownSince: now, AgeAssumed: first})
	}
	c.publishTargets()
	c.updateStated(wasComplete)
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
	c.versionsOf(model).add(reported)
	if c.targetVersions.Load() != nil {
		c.publishTargets()
	}
}

// ConfirmVersion records that an engine accepted an order to load a version. Engines do so only if the
// operator has named the version.
func (c *Catalog) ConfirmVersion(model string, version int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if versions := c.versions[model]; versions != nil && versions.confirm(version, false) {
		c.publishTargets()
	}
}

// RefuseVersion records that an engine refused, at an instant, an order to load a version, because it
// was never named. What engines state of it no longer counts. A version that was read in the store
// stays the target.
func (c *Catalog) RefuseVersion(model string, version int64, at bootclock.Instant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if versions := c.versions[model]; versions != nil && version > versions.newestNamed() {
		versions.refuse(version, at)
		c.publishTargets()
		c.notify()
	}
}

// RefusedVersions returns when orders to load versions were refused, by model and version.
func (c *Catalog) RefusedVersions() map[string]map[int64]bootclock.Instant {
	c.mu.Lock()
	defer c.mu.Unlock()
	refused := make(map[string]map[int64]bootclock.Instant)
	for model, versions := range c.versions {
		if len(versions.refused) > 0 {
			refused[model] = maps.Clone(versions.refused)
		}
	}
	return refused
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
