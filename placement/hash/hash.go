// Package hash places each request on the upstream with the highest rendezvous
// score for a fixed number of leading blocks. It sends no probes and is a
// baseline for other policies.
package hash

import (
	"context"

	"github.com/greengagegate/greengagegate/placement"
)

const (
	// DefaultDepth is a depth for New that is equal to the HomeBlocks of
	// prefix.DefaultOptions. Only the trials of package prefix use it: routers pass
	// the setting home_blocks to New.
	DefaultDepth = 8

	// fallbackCount is the number of upstreams to try after the first one.
	fallbackCount = 3
)

// Policy chooses upstreams by the leading blocks of prompts.
type Policy struct {
	depth int
}

// New returns a policy that hashes the first depth blocks of each prompt.
func New(depth int) *Policy { return &Policy{depth: depth} }

// Choose implements placement.Policy. It does not use the prober.
func (p *Policy) Choose(_ context.Context, upstreams []placement.Upstream, request placement.Request, _ placement.Prober) []placement.Choice {
	order := placement.Rank(upstreams, placement.PrefixKey(request, p.depth), 1+fallbackCount, nil)
	choices := make([]placement.Choice, len(order))
	for i, upstreamIndex := range order {
		choices[i] = placement.Choice{UpstreamIndex: upstreamIndex}
	}
	return choices
}
