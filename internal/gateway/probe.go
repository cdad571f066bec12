package gateway

import (
	"context"
	"time"

	"github.com/greengagegate/greengagegate/internal/balancer"
	"github.com/greengagegate/greengagegate/internal/bootclock"
	"github.com/greengagegate/greengagegate/internal/catalog"
	"github.com/greengagegate/greengagegate/internal/pause"
)

const (
	// firstProbe and lastProbe bound the pause before a connection is tried to an
	// upstream that could not be reached.
	firstProbe = 150 * time.Millisecond
	lastProbe  = time.Second
)

// unreachable keeps requests from an upstream until a connection to it succeeds,
// so that no request waits for a host that does not answer.
func (g *Gateway) unreachable(upstream *catalog.Upstream, attempt *balancer.Attempt, cause error) {
	g.Pool.CloseIdle(upstream.Address)
	if !attempt.MarkUnreachable() {
		return
	}
	g.Log.Warn().Err(cause).Str("upstream", upstream.ID).Str("address", upstream.Address).Msg("gateway: upstream lost")
	go g.probe(upstream)
}

// ended keeps requests from an upstream whose address answers for another life.
// The list may hold the former one for some seconds.
func (g *Gateway) ended(upstream *catalog.Upstream, attempt *balancer.Attempt, life string) {
	if attempt.MarkReplaced() {
		g.Log.Info().Str("upstream", upstream.ID).Str("address", upstream.Address).Str("life", life).Msg("gateway: upstream ended")
	}
}

// probe tries connections until one succeeds or the upstream is no longer listed.
func (g *Gateway) probe(upstream *catalog.Upstream) {
	lost := bootclock.Now()
	for wait := firstProbe; pause.For(context.Background(), wait) == nil; wait = min(2*wait, lastProbe) {
		listed := g.Catalog.Upstreams().ByID[upstream.ID]
		if listed == nil || listed.StartedMillis != upstream.StartedMillis {
			return
		}
		if g.Pool.Probe(context.Background(), upstream.Address) != nil {
			continue
		}
		g.Balancer.MarkReachable(upstream.ID)
		g.Log.Info().Str("upstream", upstream.ID).Dur("after_ms", bootclock.Since(lost)).Msg("gateway: upstream regained")
		return
	}
}
