// Package prefix probes a few upstreams that are likely to hold a prompt's prefix
// in their cache, and places the request on the one with the lowest cost. Prompts
// with the same leading blocks are probed at the same home upstreams, so that
// their common prefix stays cached there. A further upstream is probed in place of
// one that is unavailable or does not answer in time. Otherwise further upstreams
// are probed only if no probed upstream can serve the request, or if the best one
// has a queue delay above BusyThreshold, its penalty included.
package prefix

import (
	"context"
	"time"

	"github.com/greengagegate/greengagegate/placement"
)

// Options configures the policy.
type Options struct {
	CostModel placement.CostModel
	// HomeBlocks is the number of leading blocks whose hash selects the home upstreams.
	HomeBlocks int
	// HomeCount is the number of home upstreams, which are probed first.
	HomeCount int
	// MaxProbes limits the upstreams that are probed for one request. If upstreams
	// are unavailable or do not answer in time, the prober may probe more, up to
	// 2*MaxProbes upstreams.
	MaxProbes int
	// BusyThreshold is the queue delay, including the penalty, above which further
	// upstreams are probed.
	BusyThreshold time.Duration
}

// DefaultOptions returns the options that apply unless settings override them.
func DefaultOptions() Options {
	return Options{
		CostModel:     placement.CostModel{RecomputeFactor: 2, AllowImport: true},
		HomeBlocks:    8,
		HomeCount:     3,
		MaxProbes:     4,
		BusyThreshold: 20 * time.Millisecond,
	}
}

// Policy chooses among candidates that rendezvous hashing selects.
type Policy struct {
	options Options
}

// New returns a policy with options.
func New(options Options) *Policy { return &Policy{options: options} }

// Choose implements placement.Policy. The candidates are the home upstreams of
// the leading blocks, followed by upstreams selected by the hash of the whole
// prompt. The latter differ between prompts with the same prefix, which spreads
// the load of a prefix that many prompts share.
func (p *Policy) Choose(ctx context.Context, upstreams []placement.Upstream, request placement.Request, prober placement.Prober) []placement.Choice {
	o := p.options
	order := make([]int, 0, 2*o.MaxProbes)
	order = placement.Rank(upstreams, placement.PrefixKey(request, o.HomeBlocks), o.HomeCount, order)
	order = placement.Rank(upstreams, placement.PrefixKey(request, len(request.Hashes)), 2*o.MaxProbes-o.HomeCount, order)
	results := prober.Probe(ctx, request, order, o.HomeCount)
	choices := o.CostModel.RankResults(upstreams, request, results)
	if len(choices) > 0 && !p.isBestBusy(results, choices[0]) {
		return choices
	}
	resultCount := len(results)
	if resultCount >= o.MaxProbes || resultCount >= len(order) {
		return choices
	}
	results = append(results, prober.Probe(ctx, request, order[resultCount:], o.MaxProbes-resultCount)...)
	return o.CostModel.RankResults(upstreams, request, results)
}

// isBestBusy reports whether the request would wait longer than BusyThreshold at the
// best choice. results must contain the result of the best choice.
func (p *Policy) isBestBusy(results []placement.ProbeResult, best placement.Choice) bool {
	for _, result := range results {
		if result.UpstreamIndex == best.UpstreamIndex {
			return result.QueueDelay+result.Penalty > p.options.BusyThreshold
		}
	}
	return true
}
