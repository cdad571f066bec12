package picker

import (
	"time"

	"github.com/greengagegate/greengagegate/internal/object"
	"github.com/greengagegate/greengagegate/membership"
	"github.com/greengagegate/greengagegate/placement"
)

// fleet holds the eligible upstreams of each pool for one configuration and one
// state of the membership table. It is immutable.
type fleet struct {
	set               *object.Set
	membershipChanged <-chan struct{}
	pools             map[string]*eligiblePool
}

// eligiblePool holds the upstreams of a pool that may take new work. Entries of
// both slices with the same index describe the same upstream.
type eligiblePool struct {
	objects   []*object.Upstream
	upstreams []placement.Upstream
}

// poolFor returns the eligible upstreams of a pool. It rebuilds the fleet if the
// configuration or the membership table has changed. The result is empty for an
// unknown pool.
func (m *Manager) poolFor(set *object.Set, name string) *eligiblePool {
	current := m.fleet.Load()
	if current == nil || current.set != set || current.isStale() {
		current = m.buildFleet(set)
		m.fleet.Store(current)
	}
	if pool := current.pools[name]; pool != nil {
		return pool
	}
	return new(eligiblePool)
}

func (f *fleet) isStale() bool {
	select {
	case <-f.membershipChanged:
		return true
	default:
		return false
	}
}

// buildFleet collects the engines of each pool. It omits upstreams that are
// leaving according to the configuration or the membership table.
func (m *Manager) buildFleet(set *object.Set) *fleet {
	f := &fleet{set: set, pools: make(map[string]*eligiblePool)}
	leavingAddresses := make(map[string]bool)
	if m.options.View != nil {
		f.membershipChanged = m.options.View.Changed()
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
			pool.objects = append(pool.objects, upstream)
			pool.upstreams = append(pool.upstreams, placement.Upstream{
				Name:      upstream.Name,
				ID:        placement.UpstreamID(upstream.Name),
				RoundTrip: m.roundTripTo(upstream.Zone),
			})
		}
		f.pools[name] = pool
	}
	return f
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
	return m.options.ZoneDelay
}
