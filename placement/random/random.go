// Package random places requests on upstreams in random order. It sends no probes
// and is a baseline for other policies.
package random

import (
	"context"
	"math/rand/v2"

	"github.com/greengagegate/greengagegate/placement"
)

// Policy chooses upstreams in random order.
type Policy struct{}

// New returns the policy.
func New() *Policy { return &Policy{} }

// Choose implements placement.Policy. It does not use the prober.
func (*Policy) Choose(_ context.Context, upstreams []placement.Upstream, _ placement.Request, _ placement.Prober) []placement.Choice {
	choices := make([]placement.Choice, len(upstreams))
	for i, upstreamIndex := range rand.Perm(len(upstreams)) {
		choices[i] = placement.Choice{UpstreamIndex: upstreamIndex}
	}
	return choices
}
