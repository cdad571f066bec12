package app

import (
	"context"
	"errors"
	"math"
	"net"
	"net/http"
	"time"

	"github.com/greengagegate/greengagegate/internal/admin"
	"github.com/greengagegate/greengagegate/internal/bootclock"
	"github.com/greengagegate/greengagegate/internal/catalog"
	"github.com/greengagegate/greengagegate/internal/fault"
	"github.com/greengagegate/greengagegate/internal/gateway"
	"github.com/greengagegate/greengagegate/internal/intake"
	"github.com/greengagegate/greengagegate/internal/pause"
	"github.com/greengagegate/greengagegate/internal/roster"
	"github.com/greengagegate/greengagegate/internal/weights"
	"github.com/rs/zerolog"
	"go.uber.org/fx"
)

const (
	// callerIdleTimeout is how long an idle connection of a caller is kept open.
	callerIdleTimeout = 60 * time.Second
	// maxHeaderBytes bounds the header of a request.
	maxHeaderBytes = 64 << 10
	// idleCloseDelay is the time that idle connections get to close after their reads
	// were made to time out.
	idleCloseDelay = 300 * time.Millisecond
	// answerMargin is how long before the end of a stop requests that still run are answered, so
	// that their callers get the answers before the process ends.
	answerMargin = 300 * time.Millisecond
)

// serveGatewayCallers starts the callers' listener after all other parts and stops it
// first. A stop reports the gateway as not ready, waits for the drain delay and for
// requests in flight, then gives up the orders lease.
func serveGatewayCallers(lifecycle fx.Lifecycle, s *GatewaySettings, g *gateway.Gateway, connections *intake.Manager, weightsManager *weights.Manager, platformCatalog *catalog.Catalog, r *roster.Roster, ready *admin.Readiness, log zerolog.Logger) {
	idleConnections := newIdleTracker()
	server := &http.Server{
		Handler:           g,
		ConnState:         idleConnections.connState,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       callerIdleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	ctx, cancel := context.WithCancel(context.Background())
	start := func(context.Context) error {
		listener, err := net.Listen("tcp", s.Callers.Listen)
		if err != nil {
			return fault.Wrap(err, "listen for callers", s.Callers.Listen)
		}
		go func() {
			if err := connections.Serve(server, listener); err != nil && !errors.Is(err, http.ErrServerClosed) {
				log.Error().Err(err).Msg("app: callers' listener failed; it accepts no new connections until a restart")
			}
		}()
		go setGatewayReady(ctx, s, platformCatalog, r, ready, log)
		return nil
	}
	stop := func(ctx context.Context) error {
		cancel()
		ready.Set(false)
		g.Drain(lastAnswerAt(ctx))
		log.Info().Int64("active", g.Active()).Msg("app: gateway no longer ready; finishing requests in flight")
		_ = pause.For(ctx, s.Stop.DrainDelay)
		g.Close()
		idleConnections.expire()
		_ = pause.For(ctx, idleCloseDelay)
		err := server.Shutdown(ctx)
		// Each change of the holder is followed by a pause without orders, so the
		// lease is kept as long as possible.
		weightsManager.StepDown(context.WithoutCancel(ctx))
		return fault.Wrap(err, "finish requests", s.Callers.Listen)
	}
	appendHook(lifecycle, start, stop)
}

// lastAnswerAt returns when the last answers must be given in a stop that ctx bounds.
func lastAnswerAt(ctx context.Context) bootclock.Instant {
	deadline, ok := ctx.Deadline()
	if !ok {
		return bootclock.Instant(math.MaxInt64)
	}
	return bootclock.Now().Add(time.Until(deadline) - answerMargin)
}

// setGatewayReady sets ready once the configuration, the upstreams, the target versions, the
// orders to roll out software versions, if they are followed, and the other gateways are known:
// a gateway that knows of no others would take all that they share. It gives up when ctx ends.
func setGatewayReady(ctx context.Context, s *GatewaySettings, platformCatalog *catalog.Catalog, r *roster.Roster, ready *admin.Readiness, log zerolog.Logger) {
	isComplete := func() bool {
		return platformCatalog.IsComplete() && (!s.Rollout.Enabled() || platformCatalog.Rollouts() != nil)
	}
	for changed := platformCatalog.Changed(); !isComplete(); changed = platformCatalog.Changed() {
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
	select {
	case <-r.Read():
	case <-ctx.Done():
		return
	}
	ready.Set(true)
	log.Info().Int64("config", platformCatalog.Config().Version).Msg("app: gateway is ready")
}
