package rollout

import (
	"context"
	"slices"
	"time"

	"github.com/greengagegate/greengagegate/internal/bootclock"
	"github.com/greengagegate/greengagegate/internal/contain"
	"github.com/greengagegate/greengagegate/store"
)

const (
	// listTimeout bounds one list of the orders.
	listTimeout = 700 * time.Millisecond
	// listRetryDelay is the pause after a list that failed.
	listRetryDelay = 250 * time.Millisecond
	// catchUpTimeout bounds how long the catalog may take to show the listed orders. Objects
	// that it never shows are not orders.
	catchUpTimeout = 2 * time.Second
)

// verification checks whether new software versions are targets of orders. An upstream of a
// new version can be listed before its order is known here. An order is written before its
// upstreams start, so a list of the orders that was read after the upstream was listed has the
// order, if there is one.
type verification struct {
	// versions are the versions that are verified, by pool.
	versions map[string][]string
	// listed are the objects of all orders, read at listedAt; 0 before they are read.
	listed   []store.Object
	listedAt bootclock.Instant
}

// verify begins and ends verifications. m.mu must be held.
func (m *Manager) verify(ctx context.Context, now bootclock.Instant) {
	switch v := m.verification; {
	case v == nil:
		m.beginVerification(ctx, now)
	case v.listedAt == 0:
	case m.hasCaughtUp(v.listed), now.Sub(v.listedAt) >= catchUpTimeout:
		m.endVerification(v)
	}
}

// beginVerification lists the orders in the background if there are new versions. m.mu must be
// held.
func (m *Manager) beginVerification(ctx context.Context, now bootclock.Instant) {
	v := &verification{versions: make(map[string][]string)}
	for pool, state := range m.pools {
		if len(state.pending) > 0 {
			v.versions[pool] = slices.Clone(state.pending)
		}
	}
	if len(v.versions) == 0 || now.Before(m.nextListAt) {
		return
	}
	m.verification = v
	m.background.Go(func() {
		defer contain.Panics(m.options.Log, "rollout", "verification")
		callContext, cancel := context.WithTimeout(ctx, listTimeout)
		defer cancel()
		listed, _, err := m.options.Store.List(callContext, m.options.OrderPrefix)
		m.mu.Lock()
		defer m.mu.Unlock()
		finishedAt := m.options.Now()
		if err != nil {
			m.verification, m.nextListAt = nil, finishedAt.Add(listRetryDelay)
			m.options.Log.Warn().Err(err).Msg("rollout: orders could not be listed; upstreams of new software versions get no requests until they are")
			return
		}
		v.listed, v.listedAt = listed, finishedAt
	})
}

// endVerification lets the verified versions get requests. Targets of orders still get only
// what the orders allow. m.mu must be held.
func (m *Manager) endVerification(v *verification) {
	m.verification = nil
	for pool, versions := range v.versions {
		m.pools[pool].allow(versions)
		m.options.Log.Info().Str("pool", pool).Strs("versions", versions).Int("orders", len(v.listed)).
			Msg("rollout: new software versions may get requests, except targets of orders")
	}
}

// hasCaughtUp reports whether the catalog shows the listed objects or later versions of them.
func (m *Manager) hasCaughtUp(listed []store.Object) bool {
	versions := make(map[string]int64)
	for _, order := range m.options.Catalog.Rollouts() {
		versions[order.Key] = order.Version
	}
	return !slices.ContainsFunc(listed, func(object store.Object) bool { return versions[object.Key] < object.Version })
}
