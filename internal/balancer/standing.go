package balancer

import "maps"

// UpstreamStatus is what is known of an upstream.
type UpstreamStatus struct {
	ID string
	// Running is the number of requests that this gateway has there.
	Running int
	// FailureRate is the part of its recent requests that failed.
	FailureRate float64
	// Versions are the weights that it is believed to have, by model.
	Versions map[string]int64
}

// UpstreamStatuses returns what is known of each upstream.
func (b *Balancer) UpstreamStatuses() []UpstreamStatus {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	list := make([]UpstreamStatus, 0, len(b.upstreams))
	for id, s := range b.upstreams {
		list = append(list, UpstreamStatus{ID: id, Running: s.running, FailureRate: s.failureRate(now), Versions: maps.Clone(s.version)})
	}
	return list
}
