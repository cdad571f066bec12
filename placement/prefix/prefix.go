// Package prefix asks a few upstreams that are likely to hold a prompt's prefix
// and takes the least cost.
package prefix

import (
	"context"
	"time"

	"github.com/greengagegate/greengagegate/placement"
)

// Options tunes the policy.
type Options struct {
	Costs placement.Costs
	// Depth is the number of leading blocks that the home upstreams are hashed by.
	Depth int
	// Homes is how many upstreams are asked for the leading blocks.
	Homes int
	// MaxAsked is the most upstreams that are asked for one request.
	MaxAsked int
	// BusyAfter is the expected wait above which further upstreams are asked.
	BusyAfter time.Duration
}

// DefaultOptions returns the options that are used unless settings say otherwise.
func DefaultOptions() Options {
	return Options{
		Costs:     placement.Costs{Recompute: 2, Import: true},
		Depth:     8,
		Homes:     3,
		MaxAsked:  4,
		BusyAfter: 20 * time.Millisecond,
	}
}

// Policy chooses among candidates by rendezvous hashing.
type Policy struct {
	options Options
}

// New returns the policy.
func New(options Options) *Policy { return &Policy{options: options} }

// Choose implements placement.Policy. Candidates are the homes of the leading
// blocks, then those of the whole prompt, which spread a busy prefix.
func (p *Policy) Choose(ctx context.Context, upstreams []placement.Upstream, request placement.Request, prober placement.Prober) []placement.Choice {
	o := p.options
	order := make([]int, 0, 2*o.MaxAsked)
	order = placement.Rank(upstreams, placement.Key(request, o.Depth), o.Homes, order)
	order = placement.Rank(upstreams, placement.Key(request, len(request.Hashes)), 2*o.MaxAsked-o.Homes, order)
	answers := prober.Probe(ctx, request, order, o.Homes)
	choices := o.Costs.Order(upstreams, request, answers)
	if len(choices) > 0 && !p.busy(answers, choices[0]) {
		return choices
	}
	asked := len(answers)
	if asked >= o.MaxAsked || asked >= len(order) {
		return choices
	}
	answers = append(answers, prober.Probe(ctx, request, order[asked:], o.MaxAsked-asked)...)
	return o.Costs.Order(upstreams, request, answers)
}

// busy reports whether the best choice makes the request wait.
func (p *Policy) busy(answers []placement.Answer, best placement.Choice) bool {
	for _, answer := range answers {
		if answer.Upstream == best.Upstream {
			return answer.Wait+answer.Penalty > p.options.BusyAfter
		}
	}
	return true
}
