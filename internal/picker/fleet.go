package picker

import (
	"time"

	"github.com/greengagegate/greengagegate/internal/object"
	"github.com/greengagegate/greengagegate/membership"
	"github.com/greengagegate/greengagegate/placement"
)

// fleet is the upstreams by pool, worked out once for a configuration and a
// state of the membership table.
type fleet struct {
	set     *object.Set
	changed <-chan struct{}
	pools   map[string]*pool
}

// pool holds the upstreams of a pool that may take new work; the slices
// correspond to each other.
type pool struct {
	objects   []*object.Upstream
	upstreams []placement.Upstream
}

func (m *Manager) poolFor(set *object.Set, name string) *pool {
	current := m.fleet.Load()
	if current == nil || current.set != set || current.stale() {
		current = m.buildFleet(set)
		m.fleet.Store(current)
	}
	if found := current.pools[name]; found != nil {
		return found
	}
	return new(pool)
}

func (f *fleet) stale() bool {
	select {
	case <-f.changed:
		return true
	default:
		return false
	}
}

func (m *Manager) buildFleet(set *object.Set) *fleet {
	f := &fleet{set: set, pools: make(map[string]*pool)}
	leaving := make(map[string]bool)
	if m.options.View != nil {
		f.changed = m.options.View.Changed()
		for _, member := range m.options.View.Members() {
			if member.State == membership.StateLeaving {
				leaving[member.Address] = true
			}
		}
	}
	for name := range poolNames(set) {
		members := new(pool)
		for _, upstream := range set.PoolMembers(name) {
			if upstream.Kind != object.UpstreamEngine || upstream.Leaving || leaving[upstream.Address] {
				continue
			}
			members.objects = append(members.objects, upstream)
			members.upstreams = append(members.upstreams, placement.Upstream{
				Name:      upstream.Name,
				ID:        placement.UpstreamID(upstream.Name),
				RoundTrip: m.delayTo(upstream.Zone),
			})
		}
		f.pools[name] = members
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

func (m *Manager) delayTo(zone string) time.Duration {
	if zone == m.options.Zone {
		return 0
	}
	return m.options.ZoneDelay
}
