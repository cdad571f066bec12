// Package probeall asks every upstream and takes the least cost. It bounds what
// a policy that asks a few can reach.
package probeall

import (
	"context"

	"github.com/greengagegate/greengagegate/placement"
)

// Policy asks all upstreams.
type Policy struct {
	costs placement.Costs
}

// New returns the policy with the costs to compare upstreams by.
func New(costs placement.Costs) *Policy { return &Policy{costs: costs} }

// Choose implements placement.Policy.
func (p *Policy) Choose(ctx context.Context, upstreams []placement.Upstream, request placement.Request, prober placement.Prober) []placement.Choice {
	order := make([]int, len(upstreams))
	for i := range order {
		order[i] = i
	}
	answers := prober.Probe(ctx, request, order, len(order))
	return p.costs.Order(upstreams, request, answers)
}
