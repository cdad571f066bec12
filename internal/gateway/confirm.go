package gateway

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/greengagegate/greengagegate/internal/balancer"
	"github.com/greengagegate/greengagegate/internal/bootclock"
	"github.com/greengagegate/greengagegate/internal/catalog"
	"github.com/greengagegate/greengagegate/internal/contain"
	"github.com/greengagegate/greengagegate/internal/weights"
)

// An upstream can come back at another software version under its ID and address, and serve
// before the list of upstreams says so. Requests name the ID only. The gateway therefore asks
// engines which incarnation they are: before a stream goes on there and when they are reachable
// again, and while several versions serve also after a stream has begun on a new connection. That
// no second version is known does not show that there is none, since the first engine of the next
// version comes back just so.

// confirmTimeout bounds the question to an upstream which incarnation it is.
const confirmTimeout = 150 * time.Millisecond

// confirmations remembers up to when upstreams were confirmed to be the listed incarnations.
// That holds for all connections that were open by then, since a connection ends with the
// process. The zero value is ready for use. It is safe for concurrent use.
type confirmations struct {
	mu sync.Mutex
	of map[incarnation]*confirmation
}

// confirmation is what is known of one listed incarnation.
type confirmation struct {
	// at is when the last question was sent that the incarnation answered.
	at bootclock.Instant
	// askedAt is when the question was sent that is still open; 0 if there is none.
	askedAt bootclock.Instant
	// uncertainSince is when the first connection was opened of which nothing is known yet; 0 if
	// there is none.
	uncertainSince bootclock.Instant
}

// maxConfirmations bounds confirmations. Beyond it, all are forgotten and asked for again.
const maxConfirmations = 4096

// begin reports whether a question must be sent at now, because a connection was opened after
// the last one.
func (c *confirmations) begin(which incarnation, connectedAt, now bootclock.Instant) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.of == nil || len(c.of) >= maxConfirmations {
		c.of = make(map[incarnation]*confirmation)
	}
	known := c.of[which]
	if known == nil {
		known = &confirmation{}
		c.of[which] = known
	}
	if connectedAt <= max(known.at, known.askedAt) {
		return false
	}
	known.askedAt = now
	if known.uncertainSince == 0 {
		known.uncertainSince = connectedAt
	}
	return true
}

// end records the answer to the question that was sent at askedAt. It returns since when
// connections may have been to another incarnation.
func (c *confirmations) end(which incarnation, askedAt bootclock.Instant, confirmed bool) (uncertainSince bootclock.Instant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.of[which]
	if known == nil {
		return askedAt
	}
	uncertainSince = known.uncertainSince
	isLast := known.askedAt == askedAt
	if isLast {
		known.askedAt = 0
	}
	if confirmed {
		known.at = max(known.at, askedAt)
		if isLast {
			known.uncertainSince = 0
		}
	}
	return uncertainSince
}

// askIncarnation asks an engine whether it is the listed incarnation. The error is
// weights.ErrIncarnationChanged if it is another one, which then gets no requests until it is
// listed.
func (g *Gateway) askIncarnation(ctx context.Context, upstream *catalog.Upstream) error {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	_, err := g.Engines.Report(ctx, upstream)
	if errors.Is(err, weights.ErrIncarnationChanged) {
		g.Balancer.MarkReplaced(upstream.ID, upstream.StartedMillis)
		g.Log.Info().Str("upstream", upstream.ID).Int64("born", upstream.StartedMillis).Str("software", upstream.Software).
			Msg("gateway: another incarnation answers than the one that is listed; it gets no requests until the catalog lists it")
	}
	return err
}

// confirmBegun finds out, without blocking, whether a stream began at the listed incarnation
// of its upstream, unless that is known for its connection. If it did not, the streams that
// began on connections like it are of no certain version.
func (j *job) confirmBegun(s *send) {
	if j.pool.Engine == nil || j.gateway.Origins.IsSingle(j.pool.Name) {
		return
	}
	g, upstream, askedAt := j.gateway, s.choice.Upstream, bootclock.Now()
	which := incarnation{id: upstream.ID, startedMillis: upstream.StartedMillis}
	if !g.confirmations.begin(which, s.response.ConnectedAt, askedAt) {
		return
	}
	go func() {
		defer contain.Panics(g.Log, "gateway", upstream.ID)
		err := g.askIncarnation(context.Background(), upstream)
		uncertainSince := g.confirmations.end(which, askedAt, err == nil)
		if errors.Is(err, weights.ErrIncarnationChanged) {
			g.Origins.MarkUncertain(upstream.ID, uncertainSince)
		}
	}()
}

// confirmVersion reports whether the chosen upstream has the pinned software version, if there
// is one. An upstream that does not answer, or is another incarnation, is not chosen again.
func (j *job) confirmVersion(ctx context.Context, choice *balancer.Choice) bool {
	if !j.pickRequest.SoftwarePinned || j.pool.Engine == nil {
		return true
	}
	upstream := choice.Upstream
	err := j.gateway.askIncarnation(ctx, upstream)
	if err == nil {
		return true
	}
	if ctx.Err() != nil {
		// The request has ended, which says nothing of the upstream.
		return false
	}
	j.outcome.err = err
	j.pickRequest.TriedUpstreams = append(j.pickRequest.TriedUpstreams, upstream.ID)
	j.gateway.Log.Info().Err(err).Str("request", j.call.ID).Str("upstream", upstream.ID).Str("software", upstream.Software).
		Msg("gateway: an upstream did not confirm its software version; the stream does not go on there")
	return false
}

// isReplaced reports whether an engine that was unreachable is another incarnation now. One
// that does not answer counts as the same.
func (g *Gateway) isReplaced(upstream *catalog.Upstream) bool {
	config := g.Catalog.Config()
	if config == nil {
		return false
	}
	if pool := config.Pools[upstream.Pool]; pool == nil || pool.Engine == nil {
		return false
	}
	return errors.Is(g.askIncarnation(context.Background(), upstream), weights.ErrIncarnationChanged)
}
