package rollout

import (
	"slices"
	"time"

	"github.com/greengagegate/greengagegate/internal/balancer"
	"github.com/greengagegate/greengagegate/internal/bootclock"
	"github.com/greengagegate/greengagegate/internal/catalog"
)

const (
	// maxUpdateAge is how long the last update of the holder stays in force without a newer
	// one. It outlasts the change of a holder.
	maxUpdateAge = 3 * time.Second
	// retiredRetention is how long after its start a gateway ignores upstreams that were listed
	// beside the target of a completed order: they have stopped, and their entries expire.
	retiredRetention = 5 * time.Second
)

// poolState is what a gateway knows of the software versions of one pool.
type poolState struct {
	// versions are the listed software versions that may get requests, as far as no order
	// says otherwise. pending are those that appeared while this gateway ran; each may be the
	// target of an order that this gateway does not know yet.
	versions []string
	pending  []string

	order *catalog.Rollout
	// update is the newest decision on the order, received at updatedAt.
	update    Update
	updatedAt bootclock.Instant
	// raisedElapsed is the time since the order that another gateway reported at raisedAt.
	raisedElapsed time.Duration
	raisedAt      bootclock.Instant
	collector     *collector
	// retired are the versions that a completed order has replaced. They are ignored until
	// retiredUntil; 0 means for good.
	retired      []string
	retiredUntil bootclock.Instant

	filters filters
}

// filters are the version filters of a pool.
type filters struct {
	// share is the share of the requests that get target; the others get others.
	share          float64
	target, others *balancer.VersionFilter
	// pinned is for streams that began at a version.
	pinned *balancer.VersionFilter
}

// observe takes over the listed versions. At the first call, all of them may get requests.
func (p *poolState) observe(listed []*catalog.Upstream) {
	isFirst := p.versions == nil && p.pending == nil
	for _, upstream := range listed {
		version := upstream.Software
		if slices.Contains(p.versions, version) || slices.Contains(p.pending, version) {
			continue
		}
		if isFirst {
			p.versions = append(p.versions, version)
		} else {
			p.pending = append(p.pending, version)
		}
	}
}

// allow lets versions that were pending get requests.
func (p *poolState) allow(versions []string) {
	for _, version := range versions {
		if !slices.Contains(p.versions, version) {
			p.versions = append(p.versions, version)
		}
	}
	p.pending = slices.DeleteFunc(p.pending, func(version string) bool { return slices.Contains(versions, version) })
}

// setOrder takes over the order for the pool, which is nil if there is none. A new order
// starts with nothing decided and nothing counted. first is true at the first call of a process.
func (p *poolState) setOrder(order *catalog.Rollout, first bool, now bootclock.Instant) {
	if order == nil {
		p.order, p.collector = nil, nil
		return
	}
	if p.order == nil || idOf(p.order) != idOf(order) {
		p.update, p.updatedAt = Update{Order: idOf(order)}, 0
		p.raisedElapsed, p.raisedAt = 0, 0
		p.collector = newCollector(order.Target)
		p.retired, p.retiredUntil = nil, 0
	}
	p.order = order
	p.allow([]string{order.Target})
	if order.State == catalog.RolloutCompleted && p.retired == nil {
		p.retired = p.otherVersions()
		if first {
			p.retiredUntil = now.Add(retiredRetention)
		}
	}
}

// otherVersions returns the allowed versions without the target of the order.
func (p *poolState) otherVersions() []string {
	return slices.DeleteFunc(slices.Clone(p.versions), func(version string) bool { return version == p.order.Target })
}

// isRolledBack reports whether the target must get no more requests.
func (p *poolState) isRolledBack() bool {
	return p.order.State == catalog.RolloutRolledBack || p.update.Step.Stage == StageRolledBack
}

// apply takes over an update unless a later one is known, and reports whether its step is new.
func (p *poolState) apply(update *Update, now bootclock.Instant) bool {
	if !update.isLaterThan(&p.update) {
		return false
	}
	changed := update.Step.Stage != p.update.Step.Stage || update.Step.Share != p.update.Step.Share
	p.update, p.updatedAt = *update, now
	return changed
}

// share returns the share of the requests that go to the target now. Without a recent update it
// is 0, unless all traffic has moved: the other versions may have stopped then.
func (p *poolState) share(now bootclock.Instant) float64 {
	switch stage := p.update.Step.Stage; {
	case p.isRolledBack():
		return 0
	case p.order.State == catalog.RolloutCompleted, stage == StageDrain, stage == StageDone:
		return 1
	case now.Sub(p.updatedAt) > maxUpdateAge:
		return 0
	default:
		return p.update.Step.Share
	}
}

// elapsed returns the time since the order, as far as this gateway knows it.
func (p *poolState) elapsed(now bootclock.Instant) time.Duration {
	elapsed := now.Sub(p.order.KnownSince)
	if p.updatedAt != 0 {
		elapsed = max(elapsed, p.update.Elapsed+now.Sub(p.updatedAt))
	}
	if p.raisedAt != 0 {
		elapsed = max(elapsed, p.raisedElapsed+now.Sub(p.raisedAt))
	}
	return elapsed
}

// raiseElapsed takes over a longer time since the order from another gateway.
func (p *poolState) raiseElapsed(elapsed time.Duration, now bootclock.Instant) {
	if elapsed > p.elapsed(now) {
		p.raisedElapsed, p.raisedAt = elapsed, now
	}
}

// refresh computes the filters.
func (p *poolState) refresh(listed []*catalog.Upstream, now bootclock.Instant) {
	if p.order == nil {
		all := &balancer.VersionFilter{Allowed: slices.Clone(p.versions)}
		p.filters = filters{target: all, others: all, pinned: all}
		return
	}
	target, others := []string{p.order.Target}, p.otherVersions()
	share := p.share(now)
	p.filters = filters{
		share:  share,
		target: &balancer.VersionFilter{Allowed: target, Canaries: p.canaries(listed, share)},
		others: &balancer.VersionFilter{Allowed: others},
		pinned: &balancer.VersionFilter{Allowed: append(target, others...)},
	}
	switch {
	case p.order.State == catalog.RolloutCompleted:
		p.filters.target.Allowed = append(target, p.successors(others, now)...)
		p.filters.pinned = p.filters.target
	case p.update.Step.Stage == StageDone:
		p.filters.pinned = p.filters.target
	case share == 0:
		p.filters.pinned = p.filters.others
	}
}

// successors returns the versions beside the target that may get requests after the order was
// completed.
func (p *poolState) successors(others []string, now bootclock.Instant) []string {
	if p.retiredUntil != 0 && !now.Before(p.retiredUntil) {
		return others
	}
	return slices.DeleteFunc(others, func(version string) bool { return slices.Contains(p.retired, version) })
}

// canaries returns the IDs of the target's upstreams that take its share; nil for all.
func (p *poolState) canaries(listed []*catalog.Upstream, share float64) []string {
	if share == 0 || share == 1 {
		return nil
	}
	var ids []string
	for _, upstream := range listed {
		if upstream.Software == p.order.Target && !upstream.Draining {
			ids = append(ids, upstream.ID)
		}
	}
	if p.update.Canaries >= len(ids) {
		return nil
	}
	return Canaries(p.order.Pool+" "+p.order.Target, ids, p.update.Canaries)
}
