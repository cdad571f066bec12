package gateway

import (
	"context"
	"time"

	"github.com/greengagegate/greengagegate/internal/balancer"
	"github.com/greengagegate/greengagegate/internal/bootclock"
	"github.com/greengagegate/greengagegate/internal/catalog"
	"github.com/greengagegate/greengagegate/internal/contain"
	"github.com/greengagegate/greengagegate/internal/pause"
)

const (
	// minProbeDelay and maxProbeDelay bound the delay before each probe of an unreachable
	// upstream. The delay doubles from one probe to the next.
	minProbeDelay = 150 * time.Millisecond
	maxProbeDelay = time.Second
)

// markUnreachable excludes an upstream from new attempts until a probe or a running
// attempt succeeds or a new incarnation is listed, so that no request waits for a Host
// that does not answer.
func (g *Gateway) markUnreachable(upstream *catalog.Upstream, attempt *balancer.Attempt, cause error) {
	g.Pool.CloseIdle(upstream.Address)
	if !attempt.MarkUnreachable() {
		return
	}
	g.Log.Warn().Err(cause).Str("upstream", upstream.ID).Str("address", upstream.Address).Msg("gateway: upstream is unreachable; it gets no requests until a connection succeeds")
	go g.probe(upstream)
}

// markReplaced excludes an upstream at whose address another incarnation answered, until
// the catalog lists a new start time or address for it. The catalog may list the replaced
// incarnation for some seconds.
func (g *Gateway) markReplaced(upstream *catalog.Upstream, attempt *balancer.Attempt, incarnation string) {
	if attempt.MarkReplaced() {
		g.Log.Info().Str("upstream", upstream.ID).Str("address", upstream.Address).Str("life", incarnation).Msg("gateway: another incarnation answers at the upstream's address; the upstream gets no requests until the catalog lists its new incarnation")
	}
}

// probe tries to connect to the upstream until a connection succeeds or the catalog no
// longer lists this incarnation.
func (g *Gateway) probe(upstream *catalog.Upstream) {
	defer contain.Panics(g.Log, "gateway", upstream.ID)
	unreachableSince := bootclock.Now()
	for delay := minProbeDelay; pause.For(context.Background(), delay) == nil; delay = min(2*delay, maxProbeDelay) {
		listed := g.Catalog.Upstreams().ByID[upstream.ID]
		if listed == nil || listed.StartedMillis != upstream.StartedMillis {
			return
		}
		if g.Pool.Probe(context.Background(), upstream.Address) != nil {
			continue
		}
		if g.isReplaced(upstream) {
			return
		}
		g.Balancer.MarkReachable(upstream.ID)
		g.Log.Info().Str("upstream", upstream.ID).Dur("after_ms", bootclock.Since(unreachableSince)).Msg("gateway: upstream is reachable again and gets requests")
		return
	}
}
