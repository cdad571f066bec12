package catalog

import (
	"maps"
	"time"

	"github.com/greengagegate/greengagegate/internal/bootclock"
	"github.com/greengagegate/greengagegate/store"
)

// RolloutState is the state that an order's status states.
type RolloutState uint8

const (
	// RolloutNew means that there is no status for the order's target yet.
	RolloutNew RolloutState = iota
	// RolloutRunning means that traffic is being moved.
	RolloutRunning
	// RolloutCompleted means that all traffic is at the target. It is final.
	RolloutCompleted
	// RolloutRolledBack means that the target gets no more requests. It is final.
	RolloutRolledBack
)

// String returns the state's name in logs.
func (s RolloutState) String() string {
	switch s {
	case RolloutNew:
		return "new"
	case RolloutRunning:
		return "running"
	case RolloutCompleted:
		return "completed"
	default:
		return "rolled back"
	}
}

// IsFinal reports whether no other state may follow for the same order.
func (s RolloutState) IsFinal() bool { return s == RolloutCompleted || s == RolloutRolledBack }

// Rollout is an operator's order to move the traffic of a pool to upstreams of one software
// version.
type Rollout struct {
	Pool string
	// Target is the software version (Upstream.Software).
	Target   string
	Duration time.Duration
	// Key and Version are the key of the order's object in the store and its version, which
	// a conditional write of the status needs.
	Key     string
	Version int64
	// Created identifies the order together with Pool and Target: the revision of the store
	// at which its object was created, without the era. An order that was deleted and given
	// again is a new one; an order in a restored copy of the store is not.
	Created int64
	// State is the state of the order, if a status is about Target. A final state that was
	// known before a restore of the store stays in force.
	State RolloutState
	// Stored is the state that the store states. It differs from State after a restore that
	// lost a final state, which must then be written again.
	Stored RolloutState
	// KnownSince is when this process first saw the order.
	KnownSince bootclock.Instant
}

// isSameOrder reports whether r is the order that former was. In a later era an order for the
// same pool and target is the same one whatever its Created says, because the operator writes
// orders again that a restore has lost.
func (r *Rollout) isSameOrder(former *Rollout) bool {
	if r.Pool != former.Pool || r.Target != former.Target {
		return false
	}
	return r.Created == former.Created || store.EraOf(r.Version) > store.EraOf(former.Version)
}

// continueFrom takes over what is known of the same order from an earlier list.
func (r *Rollout) continueFrom(former *Rollout) {
	r.KnownSince = former.KnownSince
	if former.State.IsFinal() && !r.State.IsFinal() {
		r.State = former.State
	}
}

// formerRetention is how long orders that are no longer listed are remembered. It is longer
// than the age of the copies from which a store is restored.
const formerRetention = time.Minute

// formerRollout is an order that was listed until an instant.
type formerRollout struct {
	order *Rollout
	until bootclock.Instant
}

// rollouts holds the orders of the current list by pool and those of earlier lists.
type rollouts struct {
	byPool map[string]*Rollout
	former []formerRollout
}

// next returns the state after a new list was read.
func (s *rollouts) next(list []*Rollout, now bootclock.Instant) *rollouts {
	next := &rollouts{byPool: make(map[string]*Rollout, len(list))}
	for _, listed := range list {
		if other := next.byPool[listed.Pool]; other != nil && other.Created > listed.Created {
			continue
		}
		order := *listed
		order.Stored, order.KnownSince = listed.State, now
		next.byPool[order.Pool] = &order
	}
	for _, order := range next.byPool {
		if former := s.find(order, now); former != nil {
			order.continueFrom(former)
		}
	}
	next.former = s.remember(next.byPool, now)
	return next
}

// find returns the order of earlier lists that is the same as a listed one, or nil. An order
// that is no longer listed is the same only if the store was restored since.
func (s *rollouts) find(order *Rollout, now bootclock.Instant) *Rollout {
	if current := s.byPool[order.Pool]; current != nil && order.isSameOrder(current) {
		return current
	}
	for _, former := range s.former {
		restored := store.EraOf(order.Version) > store.EraOf(former.order.Version)
		if restored && now.Sub(former.until) < formerRetention && order.isSameOrder(former.order) {
			return former.order
		}
	}
	return nil
}

// remember returns the orders that are no longer listed. A newer order for a pool in the same
// era ends the memory of the pool's earlier ones, since it supersedes them; in a later era
// they may be listed again.
func (s *rollouts) remember(byPool map[string]*Rollout, now bootclock.Instant) []formerRollout {
	all := s.former
	for _, order := range s.byPool {
		all = append(all[:len(all):len(all)], formerRollout{order, now})
	}
	var kept []formerRollout
	for _, former := range all {
		listed := byPool[former.order.Pool]
		superseded := listed != nil && (listed.isSameOrder(former.order) || store.EraOf(listed.Version) == store.EraOf(former.order.Version))
		if !superseded && now.Sub(former.until) < formerRetention {
			kept = append(kept, former)
		}
	}
	return kept
}

// SetRollouts replaces the orders, which became known at now. Of two orders for a pool it
// keeps the one that was created later. What is known of an order that was listed before
// stays: KnownSince, and a final State. An order of a later era of the store is the same as
// one for the same pool and target that was listed until a minute ago.
func (c *Catalog) SetRollouts(list []*Rollout, now bootclock.Instant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	current := c.rollouts.Load()
	first := current == nil
	if first {
		current = &rollouts{}
	}
	next := current.next(list, now)
	c.rollouts.Store(next)
	equal := func(a, b *Rollout) bool { return *a == *b }
	if first || !maps.EqualFunc(current.byPool, next.byPool, equal) {
		c.notify()
	}
}

// Rollouts returns the orders by pool, or nil before the first SetRollouts. The caller must
// not change the map or the orders.
func (c *Catalog) Rollouts() map[string]*Rollout {
	current := c.rollouts.Load()
	if current == nil {
		return nil
	}
	return current.byPool
}
