package balancer

import (
	"maps"

	"github.com/greengagegate/greengagegate/internal/enginerate"
)

// UpstreamStatus is a snapshot of what is known of an upstream.
type UpstreamStatus struct {
	ID string
	// Running is the number of requests that this gateway is running at the upstream.
	Running int
	// FailureRate is the estimated share of requests that fail. It halves in each
	// failureHalfLife without new outcomes.
	FailureRate float64
	// Versions are the last known weights versions by model.
	Versions map[string]int64
	// Prefill is the learned prefill rate; nil if it is not learned.
	Prefill *enginerate.Estimate
}

// UpstreamStatuses returns a snapshot of each known upstream, in no particular order.
func (b *Balancer) UpstreamStatuses() []UpstreamStatus {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	statuses := make([]UpstreamStatus, 0, len(b.upstreams))
	for id, s := range b.upstreams {
		status := UpstreamStatus{ID: id, Running: s.running, FailureRate: s.failureRate(now), Versions: maps.Clone(s.versions)}
		if s.rate != nil {
			estimate := s.rate.Estimate(now)
			status.Prefill = &estimate
		}
		statuses = append(statuses, status)
	}
	return statuses
}
