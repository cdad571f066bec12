// Package leastloaded places requests on the upstream with the shortest wait and
// takes no account of caches. It is a baseline.
package leastloaded

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"

	"github.com/greengagegate/greengagegate/placement"
)

// Policy asks all upstreams for their load.
type Policy struct{}

// New returns the policy.
func New() *Policy { return &Policy{} }

// Choose implements placement.Policy. Upstreams of equal load are taken at random.
func (*Policy) Choose(ctx context.Context, upstreams []placement.Upstream, request placement.Request, prober placement.Prober) []placement.Choice {
	order := rand.Perm(len(upstreams))
	answers := prober.Probe(ctx, request, order, len(order))
	answers = slices.DeleteFunc(answers, func(a placement.Answer) bool { return !a.Answered || a.Unavailable })
	slices.SortStableFunc(answers, func(a, b placement.Answer) int {
		if c := cmp.Compare(a.Wait+a.Penalty, b.Wait+b.Penalty); c != 0 {
			return c
		}
		return cmp.Compare(a.Running, b.Running)
	})
	choices := make([]placement.Choice, len(answers))
	for i, answer := range answers {
		choices[i] = placement.Choice{
			Upstream:     answer.Upstream,
			Incarnation:  answer.Incarnation,
			CachedTokens: answer.CachedTokens,
			Expected:     answer.Wait,
		}
	}
	return choices
}
