package balancer

import "maps"

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
}

// UpstreamStatuses returns a snapshot of each known upstream, in no particular order.
func (b *Balancer) UpstreamStatuses() []UpstreamStatus {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	statuses := make([]UpstreamStatus, 0, len(b.upstreams))
	for id, s := range b.upstreams {
		statuses = append(statuses, UpstreamStatus{ID: id, Running: s.running, FailureRate: s.failureRate(now), Versions: maps.Clone(s.versions)})
	}
	return statuses
}
