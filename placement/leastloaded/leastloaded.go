// Package leastloaded probes every upstream and places the request on the one
// with the shortest queue delay. It ignores caches and is a baseline for other
// policies.
package leastloaded

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"

	"github.com/greengagegate/greengagegate/placement"
)

// Policy probes all upstreams for their load.
type Policy struct{}

// New returns the policy.
func New() *Policy { return &Policy{} }

// Choose implements placement.Policy. It orders upstreams by queue delay with
// penalty, then by running requests. Upstreams of equal load are probed in random
// order, so that no upstream is preferred.
func (*Policy) Choose(ctx context.Context, upstreams []placement.Upstream, request placement.Request, prober placement.Prober) []placement.Choice {
	order := rand.Perm(len(upstreams))
	results := prober.Probe(ctx, request, order, len(order))
	results = slices.DeleteFunc(results, func(r placement.ProbeResult) bool { return !r.Answered || r.Unavailable })
	slices.SortStableFunc(results, func(a, b placement.ProbeResult) int {
		if c := cmp.Compare(a.QueueDelay+a.Penalty, b.QueueDelay+b.Penalty); c != 0 {
			return c
		}
		return cmp.Compare(a.RunningRequests, b.RunningRequests)
	})
	choices := make([]placement.Choice, len(results))
	for i, result := range results {
		choices[i] = placement.Choice{
			UpstreamIndex: result.UpstreamIndex,
			Incarnation:   result.Incarnation,
			CachedTokens:  result.CachedTokens,
			// The prefill time is not estimated.
			ExpectedTTFT: result.QueueDelay,
		}
	}
	return choices
}
