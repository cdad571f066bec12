package admission

import (
	"sync"

	"github.com/greengagegate/greengagegate/internal/object"
	"github.com/greengagegate/greengagegate/lease"
	"github.com/greengagegate/greengagegate/membership"
	"github.com/greengagegate/greengagegate/quota"
)

// limits implements quota.Config with the customer limits of the configuration in
// force. It is safe for concurrent use.
type limits struct {
	source object.Source

	mu        sync.Mutex
	set       *object.Set
	customers []quota.CustomerID
	byID      map[quota.CustomerID]quota.Limit
}

// refresh returns the configuration in force, or nil if none has arrived. If it has
// changed since the last call, refresh rebuilds the limits from it.
func (l *limits) refresh() *object.Set {
	set := l.source.Current()
	l.mu.Lock()
	defer l.mu.Unlock()
	if set == l.set || set == nil {
		return set
	}
	l.set = set
	l.customers = make([]quota.CustomerID, 0, len(set.Customers))
	l.byID = make(map[quota.CustomerID]quota.Limit, len(set.Customers))
	for name, customer := range set.Customers {
		id := quota.CustomerIDOf(name)
		l.customers = append(l.customers, id)
		l.byID[id] = quota.Limit{Rate: customer.Rate, Burst: customer.Burst}
	}
	return set
}

// Limit implements quota.Config.
func (l *limits) Limit(customer quota.CustomerID) (quota.Limit, bool) {
	l.refresh()
	l.mu.Lock()
	defer l.mu.Unlock()
	limit, ok := l.byID[customer]
	return limit, ok
}

// Revision implements quota.Config.
func (l *limits) Revision() uint64 {
	if set := l.refresh(); set != nil {
		return set.Revision
	}
	return 0
}

// Customers implements quota.Config.
func (l *limits) Customers() []quota.CustomerID {
	l.refresh()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.customers
}

// Slots implements quota.Config. It returns the number of slots of routers, which the
// configuration calls entry slots. It returns 0 until a configuration has arrived.
func (l *limits) Slots() int {
	set := l.refresh()
	if set == nil {
		return 0
	}
	return max(1, set.Fleet.EntrySlots)
}

// IsFresh implements quota.Config.
func (l *limits) IsFresh() bool { return l.source.IsFresh() }

// directory implements quota.Directory with the live routers of membership and the
// holders of the slots.
type directory struct {
	view  membership.View
	slots *lease.Slots
}

// Routers implements quota.Directory.
func (d *directory) Routers() []quota.Router {
	var routers []quota.Router
	for _, member := range d.view.Members() {
		if member.Role == membership.RoleRouter && member.State == membership.StateAlive {
			routers = append(routers, quota.Router{Address: member.Address, Region: member.Region})
		}
	}
	return routers
}

// Holder implements quota.Directory.
func (d *directory) Holder(slot int) string { return d.slots.Holder(slot) }

// Held implements quota.Directory.
func (d *directory) Held() []quota.HeldSlot {
	var held []quota.HeldSlot
	for _, heldSlot := range d.slots.Held() {
		held = append(held, quota.HeldSlot{
			SlotEpoch: quota.SlotEpoch{Index: heldSlot.Index, Epoch: heldSlot.Epoch},
			Since:     heldSlot.Since,
			Unused:    heldSlot.Unused,
		})
	}
	return held
}
