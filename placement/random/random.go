// Package random places requests on upstreams drawn at random. It is a baseline.
package random

import (
	"context"
	"math/rand/v2"

	"github.com/greengagegate/greengagegate/placement"
)

// Policy draws upstreams at random.
type Policy struct{}

// New returns the policy.
func New() *Policy { return &Policy{} }

// Choose implements placement.Policy. It asks nobody.
func (*Policy) Choose(_ context.Context, upstreams []placement.Upstream, _ placement.Request, _ placement.Prober) []placement.Choice {
	choices := make([]placement.Choice, len(upstreams))
	for i, upstream := range rand.Perm(len(upstreams)) {
		choices[i] = placement.Choice{Upstream: upstream}
	}
	return choices
}
