package rollout

import (
	"cmp"
	"slices"
)

// StatusesPath is the path at which the admin listener of a gateway shows its Statuses as JSON.
const StatusesPath = "/rollouts"

// Status describes the rollout of a software version in a pool, as one gateway knows it.
type Status struct {
	Pool   string `json:"pool"`
	Target string `json:"target"`
	// State is the state of the order, Stage that of the last decision.
	State string `json:"state"`
	Stage string `json:"stage"`
	// Share is the share, from 0 to 1, of this gateway's requests that goes to the target, and Canaries the
	// number of the target's upstreams that take it; 0 stands for all.
	Share      float64 `json:"share"`
	Canaries   int     `json:"canaries"`
	ElapsedMS  int64   `json:"elapsed_ms"`
	DurationMS int64   `json:"duration_ms"`
	// DecidesHere is true if this gateway holds the orders lease. The counts are those of all
	// gateways then, and else its own.
	DecidesHere bool        `json:"decides_here"`
	Counts      []RouteView `json:"counts"`
	// Reason explains a rollback.
	Reason string `json:"reason,omitempty"`
}

// RouteView holds the counts of a route and group of versions.
type RouteView struct {
	Route  string `json:"route"`
	Group  string `json:"group"`
	Sent   int64  `json:"sent"`
	Total  int64  `json:"responses"`
	Failed int64  `json:"failed"`
	// MedianMS is the lower bound of the bucket of the median time to the first response.
	MedianMS int64 `json:"median_ms"`
}

// Statuses returns the status of each order that this gateway knows, by pool.
func (m *Manager) Statuses() []Status {
	m.mu.Lock()
	defer m.mu.Unlock()
	statuses := []Status{}
	for _, state := range m.pools {
		if state.order != nil {
			statuses = append(statuses, m.status(state))
		}
	}
	slices.SortFunc(statuses, func(a, b Status) int { return cmp.Compare(a.Pool, b.Pool) })
	return statuses
}

// status returns the status of a pool's order. m.mu must be held.
func (m *Manager) status(state *poolState) Status {
	now := m.options.Now()
	update := &state.update
	status := Status{
		Pool: state.order.Pool, Target: state.order.Target, State: state.order.State.String(), Stage: update.Step.Stage.String(),
		Share: state.share(now), Canaries: len(state.filters.target.Canaries),
		ElapsedMS: state.elapsed(now).Milliseconds(), DurationMS: state.order.Duration.Milliseconds(), Reason: update.Reason,
	}
	evidence, targets := state.collector.report()
	if c := m.controllers[idOf(state.order)]; c != nil && c.isReady() {
		status.DecidesHere = true
		evidence, targets = c.comparison.pooled()
	}
	for _, target := range targets {
		evidence.Add(target)
	}
	for _, route := range evidence.routes() {
		status.Counts = append(status.Counts, viewOf(route, "others", evidence.Of(route, GroupOthers)), viewOf(route, "target", evidence.Of(route, GroupTarget)))
	}
	return status
}

func viewOf(route, group string, counts *Counts) RouteView {
	return RouteView{
		Route: route, Group: group, Sent: counts.Sent, Total: counts.Total, Failed: counts.Failed,
		MedianMS: BucketBound(counts.quantile(0.5)).Milliseconds(),
	}
}
