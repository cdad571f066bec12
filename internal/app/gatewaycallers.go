package app

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/greengagegate/greengagegate/internal/admin"
	"github.com/greengagegate/greengagegate/internal/catalog"
	"github.com/greengagegate/greengagegate/internal/fault"
	"github.com/greengagegate/greengagegate/internal/framing"
	"github.com/greengagegate/greengagegate/internal/gateway"
	"github.com/greengagegate/greengagegate/internal/pause"
	"github.com/greengagegate/greengagegate/internal/weights"
	"github.com/rs/zerolog"
	"go.uber.org/fx"
)

const (
	// callerIdle is how long an idle connection of a caller is kept.
	callerIdle = 60 * time.Second
	// maxHeaderBytes bounds a request's head.
	maxHeaderBytes = 64 << 10
	// closeDelay is the time in which idle connections close after they were told to.
	closeDelay = 300 * time.Millisecond
)

// serveGatewayCallers serves callers last of all, and stops first.
func serveGatewayCallers(lifecycle fx.Lifecycle, s *GatewaySettings, g *gateway.Gateway, orders *weights.Manager, known *catalog.Catalog, ready *admin.Readiness, log zerolog.Logger) {
	idle := newIdleTracker()
	server := &http.Server{
		Handler:           g,
		ConnState:         idle.connState,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       callerIdle,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	ctx, cancel := context.WithCancel(context.Background())
	start := func(context.Context) error {
		listener, err := net.Listen("tcp", s.Callers.Listen)
		if err != nil {
			return fault.Wrap(err, "listen for callers", s.Callers.Listen)
		}
		go func() {
			if err := server.Serve(framing.Listener{Listener: listener}); err != nil && !errors.Is(err, http.ErrServerClosed) {
				log.Error().Err(err).Msg("app: callers' listener failed")
			}
		}()
		go gatewayReady(ctx, known, ready, log)
		return nil
	}
	stop := func(ctx context.Context) error {
		cancel()
		ready.Set(false)
		g.Drain()
		log.Info().Int64("active", g.Active()).Msg("app: not ready any more, finishing requests")
		_ = pause.For(ctx, s.Stop.DrainDelay)
		g.Close()
		idle.expire()
		_ = pause.For(ctx, closeDelay)
		err := server.Shutdown(ctx)
		// Each change of the holder costs a pause without orders, so that the lease
		// is kept as long as possible.
		orders.StepDown(context.WithoutCancel(ctx))
		return fault.Wrap(err, "finish requests", s.Callers.Listen)
	}
	appendHook(lifecycle, start, stop)
}

// gatewayReady waits until the configuration and the lists are known.
func gatewayReady(ctx context.Context, known *catalog.Catalog, ready *admin.Readiness, log zerolog.Logger) {
	for changed := known.Changed(); !known.IsComplete(); changed = known.Changed() {
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
	ready.Set(true)
	log.Info().Int64("config", known.Config().Version).Msg("app: ready")
}
