package picker

import (
	"time"

	"github.com/greengagegate/greengagegate/internal/object"
	"github.com/greengagegate/greengagegate/membership"
	"github.com/greengagegate/greengagegate/placement"
)

// eligibleUpstreams holds the eligible upstreams of each pool for one configuration
// and one state of the membership table. An upstream is eligible if it is an engine
// that is not leaving. It is immutable.
type eligibleUpstreams struct {
	set               *object.Set
	membershipChanged <-chan struct{}
	pools             map[string]*eligiblePool
}

// eligiblePool holds the eligible upstreams of a pool, as configured and as passed to
// the placement policy. Entries of both slices with the same index describe the same
// upstream.
type eligiblePool struct {
	configured []*object.Upstream
	upstreams  []placement.Upstream
}

// poolFor returns the eligible upstreams of a pool. It collects them again if
// the configuration or the membership table has changed. The result is empty for an
// unknown pool.
func (m *Manager) poolFor(set *object.Set, name string) *eligiblePool {
	current := m.eligible.Load()
	if current == nil || current.set != set || current.isStale() {
		current = m.collectEligible(set)
		m.eligible.Store(current)
	}
	if pool := current.pools[name]; pool != nil {
		return pool
	}
	return new(eligiblePool)
}

func (e *eligibleUpstreams) isStale() bool {
	select {
	case <-e.membershipChanged:
		return true
	default:
		return false
	}
}

// collectEligible collects the engines of each pool. It omits upstreams that are
// leaving according to the configuration or the membership table. An upstream whose
// agent reports in its probe replies that it is draining is not omitted.
func (m *Manager) collectEligible(set *object.Set) *eligibleUpstreams {
	eligible := &eligibleUpstreams{set: set, pools: make(map[string]*eligiblePool)}
	leavingAddresses := make(map[string]bool)
	if m.options.View != nil {
		eligible.membershipChanged = m.options.View.Changed()
		for _, member := range m.options.View.Members() {
			if member.State == membership.StateLeaving {
				leavingAddresses[member.Address] = true
			}
		}
	}
	for name := range poolNames(set) {
		pool := new(eligiblePool)
		for _, upstream := range set.PoolMembers(name) {
			if upstream.Kind != object.UpstreamEngine || upstream.Leaving || leavingAddresses[upstream.Address] {
				continue
			}
			pool.configured = append(pool.configured, upstream)
			pool.upstreams = append(pool.upstreams, placement.Upstream{
				Name:      upstream.Name,
				ID:        placement.UpstreamID(upstream.Name),
				RoundTrip: m.roundTripTo(upstream.Zone),
			})
		}
		eligible.pools[name] = pool
	}
	return eligible
}

func poolNames(set *object.Set) map[string]bool {
	names := make(map[string]bool)
	for _, upstream := range set.Upstreams {
		names[upstream.Pool] = true
	}
	return names
}

func (m *Manager) roundTripTo(zone string) time.Duration {
	if zone == m.options.Zone {
		return 0
	}
	return m.options.ZoneRoundTrip
}
