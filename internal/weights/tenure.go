package weights

import (
	"context"
	"time"

	"github.com/greengagegate/greengagegate/internal/bootclock"
	"github.com/greengagegate/greengagegate/internal/pause"
)

// compete takes and renews the lease.
func (m *Manager) compete(ctx context.Context) {
	for pause.For(ctx, renewEvery) == nil {
		if m.isRetired() {
			return
		}
		if m.otherHolds() {
			continue
		}
		asked := bootclock.Now()
		callCtx, cancel := context.WithTimeout(ctx, leaseCallTimeout)
		fence, err := m.options.Lease.Acquire(callCtx)
		cancel()
		m.mu.Lock()
		former := m.holds(asked)
		if err == nil && !m.retired {
			m.fence = fence
			m.until = asked.Add(term)
			if !former {
				m.begin(fence)
			}
		}
		held := m.holds(bootclock.Now())
		m.mu.Unlock()
		if former && !held {
			m.options.Log.Warn().Err(err).Msg("weights: orders lease lost")
		}
	}
}

// begin starts a tenure; m.mu is held. Orders of another gateway must not come
// close to those of this one.
func (m *Manager) begin(fence int64) {
	previousHolder := m.options.Lease.PreviousHolder()
	wait := m.options.TakeOver
	if previousHolder == "" || previousHolder == m.options.Name {
		wait = 0
	}
	m.ordersFrom = bootclock.Now().Add(wait)
	m.options.Log.Info().Int64("fence", fence).Str("former", previousHolder).Dur("wait_ms", wait).Msg("weights: orders lease taken")
}

// StepDown gives no more orders, and lets another gateway take over.
func (m *Manager) StepDown(ctx context.Context) {
	m.mu.Lock()
	m.retired = true
	held := m.holds(bootclock.Now())
	m.until = 0
	m.mu.Unlock()
	if !held {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, leaseCallTimeout)
	defer cancel()
	err := m.options.Lease.Release(ctx)
	m.options.Log.Info().Err(err).Msg("weights: orders lease released")
	if m.onUpdate != nil {
		m.onUpdate()
	}
}

// RecordHolder notes whether another gateway says that it holds the lease. As long
// as one does, this one spares the store its attempts.
func (m *Manager) RecordHolder(name string, holds bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case holds:
		m.other, m.otherHeard = name, bootclock.Now()
	case name == m.other:
		m.otherHeard = 0
	}
}

func (m *Manager) otherHolds() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := bootclock.Now()
	return !m.holds(now) && now.Sub(m.otherHeard) < term
}

// HoldsLease reports whether this gateway holds the lease.
func (m *Manager) HoldsLease() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.holds(bootclock.Now())
}

func (m *Manager) isRetired() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.retired
}

// holds reports whether the lease is held at an instant; m.mu is held.
func (m *Manager) holds(now bootclock.Instant) bool { return now.Before(m.until) }

// mayOrder returns the fencing number when an order may be sent now.
func (m *Manager) mayOrder() (int64, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := bootclock.Now()
	if !now.Add(orderMargin).Before(m.until) || now.Before(m.ordersFrom) {
		return 0, false
	}
	return m.fence, m.options.Lease.Held()
}

// LeaseRemaining returns the time until the lease ends unless it is renewed; 0 when it
// is not held.
func (m *Manager) LeaseRemaining() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return max(0, m.until.Sub(bootclock.Now()))
}
