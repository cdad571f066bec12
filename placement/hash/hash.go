// Package hash places each request on the upstream with the highest rendezvous
// weight for a fixed number of leading blocks. It is a baseline.
package hash

import (
	"context"

	"github.com/greengagegate/greengagegate/placement"
)

const (
	// DefaultDepth is the number of leading blocks that are hashed.
	DefaultDepth = 8

	fallbacks = 3
)

// Policy hashes the leading blocks of prompts.
type Policy struct {
	depth int
}

// New returns the policy for a number of leading blocks.
func New(depth int) *Policy { return &Policy{depth: depth} }

// Choose implements placement.Policy. It asks nobody.
func (p *Policy) Choose(_ context.Context, upstreams []placement.Upstream, request placement.Request, _ placement.Prober) []placement.Choice {
	order := placement.Rank(upstreams, placement.Key(request, p.depth), 1+fallbacks, nil)
	choices := make([]placement.Choice, len(order))
	for i, upstream := range order {
		choices[i] = placement.Choice{Upstream: upstream}
	}
	return choices
}
