package weights

import (
	"context"
	"time"

	"github.com/greengagegate/greengagegate/internal/bootclock"
	"github.com/greengagegate/greengagegate/internal/pause"
)

// maintainLease acquires and renews the lease until ctx ends or the manager has
// stepped down.
func (m *Manager) maintainLease(ctx context.Context) {
	for pause.For(ctx, m.untilRenewal()) == nil {
		if m.hasSteppedDown() {
			return
		}
		if m.otherHoldsLease() {
			continue
		}
		acquireStarted := bootclock.Now()
		callCtx, cancel := context.WithTimeout(ctx, leaseCallTimeout)
		fencingToken, err := m.options.Lease.Acquire(callCtx)
		cancel()
		m.mu.Lock()
		heldLease := m.holdsLeaseAt(acquireStarted)
		if err == nil && !m.steppedDown {
			m.fencingToken = fencingToken
			m.leaseExpires = acquireStarted.Add(leaseTerm)
			if !heldLease {
				m.logAcquired(fencingToken)
			}
		}
		holdsLease := m.holdsLeaseAt(bootclock.Now())
		m.mu.Unlock()
		if heldLease && !holdsLease {
			m.options.Log.Warn().Err(err).Msg("weights: the orders lease was lost; sending no orders until it is acquired again")
		}
	}
}

// untilRenewal returns when the lease is renewed next: at the end of the handover delay, since
// only a renewal permits orders then, or after renewInterval if that is earlier.
func (m *Manager) untilRenewal() time.Duration {
	if wait := m.options.Lease.UntilAction(); wait > 0 {
		return min(wait, renewInterval)
	}
	return renewInterval
}

// logAcquired logs that the lease was acquired.
func (m *Manager) logAcquired(fencingToken int64) {
	handover := m.options.Lease.Handover()
	wait := max(0, m.options.Lease.UntilAction())
	m.options.Log.Info().Int64("fence", fencingToken).Str("former", handover.Actor).Str("basis", string(handover.Basis)).Dur("wait_ms", wait).Msg("weights: this gateway acquired the orders lease; it sends orders after the wait")
}

// StepDown stops sending orders for good, waits for the answers to those that were sent, and
// releases the lease, so that another gateway can acquire it. If the release fails, the lease
// expires after its term.
func (m *Manager) StepDown(ctx context.Context) {
	m.mu.Lock()
	m.steppedDown = true
	holdsLease := m.holdsLeaseAt(bootclock.Now())
	m.leaseExpires = 0
	m.mu.Unlock()
	if !holdsLease {
		return
	}
	// The wait of the next holder counts from the release.
	m.orders.Wait()
	ctx, cancel := context.WithTimeout(ctx, leaseCallTimeout)
	defer cancel()
	err := m.options.Lease.Release(ctx)
	m.options.Log.Info().Err(err).Msg("weights: this gateway gave up the orders lease; another can acquire it now, or after the term if the release failed")
	if m.onUpdate != nil {
		m.onUpdate()
	}
}

// RecordHolder records whether another gateway reports that it holds the lease. While one
// does, this gateway does not try to acquire the lease, which saves calls to the platform
// store.
func (m *Manager) RecordHolder(name string, holds bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case holds:
		m.otherHolder, m.otherHolderSeen = name, bootclock.Now()
	case name == m.otherHolder:
		m.otherHolderSeen = 0
	}
}

// otherHoldsLease reports whether this gateway does not hold the lease and another
// gateway reported within the last term that it does.
func (m *Manager) otherHoldsLease() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := bootclock.Now()
	return !m.holdsLeaseAt(now) && now.Sub(m.otherHolderSeen) < leaseTerm
}

// FencingToken returns the fencing token of the last acquisition or renewal, and whether this
// gateway holds the lease. The token never falls. It permits no orders to engines, which wait
// after a change of the holder.
func (m *Manager) FencingToken() (token int64, held bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.fencingToken, m.holdsLeaseAt(bootclock.Now())
}

// Holder returns the name of another gateway that reported within the last term that it holds
// the lease, or "" if none did.
func (m *Manager) Holder() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if bootclock.Since(m.otherHolderSeen) >= leaseTerm {
		return ""
	}
	return m.otherHolder
}

// HoldsLease reports whether this gateway holds the lease.
func (m *Manager) HoldsLease() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.holdsLeaseAt(bootclock.Now())
}

func (m *Manager) hasSteppedDown() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.steppedDown
}

// holdsLeaseAt reports whether this gateway holds the lease at an instant. It must
// be called with m.mu held.
func (m *Manager) holdsLeaseAt(now bootclock.Instant) bool {
	return now.Before(m.leaseExpires) && m.options.Lease.Held()
}

// orderFencingToken returns the fencing token for an order that is sent now, and whether
// an order may be sent now. An order may be sent if the lease lasts for more than
// minLeaseForOrder from now and Lease.MayAct returns true. The token is meaningful only then.
func (m *Manager) orderFencingToken() (int64, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := bootclock.Now()
	return m.fencingToken, now.Add(minLeaseForOrder).Before(m.leaseExpires) && m.options.Lease.MayAct()
}

// beginOrder returns the fencing token of an order that is about to be sent, and how long it may
// take: no order is to be under way when the lease has ended. ok is false if no order may be
// sent now. Otherwise the caller must call m.orders.Done when the order has been answered.
func (m *Manager) beginOrder() (fencingToken int64, timeout time.Duration, ok bool) {
	fencingToken, ok = m.orderFencingToken()
	if !ok {
		return 0, 0, false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.steppedDown {
		return 0, 0, false
	}
	m.orders.Add(1)
	return fencingToken, min(orderTimeout, m.leaseExpires.Sub(bootclock.Now())), true
}

// LeaseRemaining returns the time until the lease expires unless it is renewed; 0
// when this gateway does not hold it.
func (m *Manager) LeaseRemaining() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return max(0, m.leaseExpires.Sub(bootclock.Now()))
}
