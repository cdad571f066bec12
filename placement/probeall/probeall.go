// Package probeall probes every upstream and places the request on the one with
// the lowest cost. It shows how well a policy that probes only a few upstreams
// could do at best.
package probeall

import (
	"context"

	"github.com/greengagegate/greengagegate/placement"
)

// Policy probes all upstreams.
type Policy struct {
	model placement.CostModel
}

// New returns a policy that compares upstreams by a cost model.
func New(model placement.CostModel) *Policy { return &Policy{model: model} }

// Choose implements placement.Policy.
func (p *Policy) Choose(ctx context.Context, upstreams []placement.Upstream, request placement.Request, prober placement.Prober) []placement.Choice {
	order := make([]int, len(upstreams))
	for i := range order {
		order[i] = i
	}
	results := prober.Probe(ctx, request, order, len(order))
	return p.model.RankResults(upstreams, request, results)
}
