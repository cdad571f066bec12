package app

import (
	"context"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/greengagegate/greengagegate/internal/admin"
	"github.com/greengagegate/greengagegate/internal/admission"
	"github.com/greengagegate/greengagegate/internal/configsync"
	"github.com/greengagegate/greengagegate/internal/dispatch"
	"github.com/greengagegate/greengagegate/internal/node"
	"github.com/greengagegate/greengagegate/internal/object"
	"github.com/greengagegate/greengagegate/internal/pause"
	"github.com/greengagegate/greengagegate/internal/picker"
	"github.com/greengagegate/greengagegate/internal/publish"
	"github.com/greengagegate/greengagegate/internal/quarantine"
	"github.com/greengagegate/greengagegate/internal/router"
	"github.com/greengagegate/greengagegate/internal/status"
	"github.com/greengagegate/greengagegate/internal/wire/wirepb"
	"github.com/greengagegate/greengagegate/membership"
	"github.com/greengagegate/greengagegate/store"
	"github.com/rs/zerolog"
	"go.uber.org/fx"
)

// readyPollInterval is the pause between two checks of a starting router for its
// first configuration.
const readyPollInterval = 20 * time.Millisecond

// Router returns the application of a router of the agent-based fleet.
func Router(s *RouterSettings) fx.Option {
	return fx.Options(
		common(&s.Common, membership.RoleRouter),
		fx.Supply(s),
		fx.Provide(newAdmission, newPicker, newQuarantine, newPrompter, newCaller, newServer),
		fx.Invoke(serveOperators, serveCallers),
	)
}

func newAdmission(
	lifecycle fx.Lifecycle,
	s *RouterSettings,
	st store.Store,
	hosts store.HostLister,
	n *node.Node,
	view membership.View,
	source object.Source,
	log zerolog.Logger,
) admission.Controller {
	manager := admission.New(admission.Options{
		Store:   st,
		Lister:  hosts,
		Pool:    n.Pool,
		View:    view,
		Source:  source,
		Address: n.Address,
		Zone:    s.Identity.Zone,
		Region:  s.Identity.Region,
		Log:     log,
	})
	manager.Register(n.Server)
	appendHook(lifecycle, manager.Start, manager.Stop)
	return manager
}

func newPicker(s *RouterSettings, n *node.Node, view membership.View) (picker.Picker, error) {
	return picker.New(picker.Options{
		Policy:        s.Placement.Policy,
		Import:        s.Placement.Import,
		HomeBlocks:    s.Placement.HomeBlocks,
		Pool:          n.Pool,
		Zone:          s.Identity.Zone,
		ZoneRoundTrip: s.Placement.ZoneDelay,
		View:          view,
	})
}

func newPrompter(n *node.Node, p picker.Picker, quarantineManager *quarantine.Manager, log zerolog.Logger) *dispatch.Prompter {
	return dispatch.NewPrompter(dispatch.PrompterOptions{Pool: n.Pool, Report: p.Report, Quarantine: quarantineManager, Log: log})
}

// newQuarantine returns the manager that keeps requests which crash upstreams away
// from them. Routers and engine agents each run one.
func newQuarantine(
	lifecycle fx.Lifecycle,
	n *node.Node,
	view membership.View,
	source object.Source,
	st store.Store,
	log zerolog.Logger,
) *quarantine.Manager {
	manager := quarantine.New(quarantine.Options{Pool: n.Pool, View: view, Source: source, Store: st, Log: log})
	n.Server.Handle(wirepb.Kind_KIND_QUARANTINE, manager.Handle)
	appendHook(lifecycle, manager.Start, manager.Stop)
	return manager
}

func newCaller(n *node.Node, view membership.View, quarantineManager *quarantine.Manager, log zerolog.Logger) *dispatch.Caller {
	return dispatch.NewCaller(dispatch.CallerOptions{Pool: n.Pool, View: view, Quarantine: quarantineManager, Log: log})
}

func newServer(
	s *RouterSettings,
	source object.Source,
	admissionController admission.Controller,
	p picker.Picker,
	prompter *dispatch.Prompter,
	caller *dispatch.Caller,
	log zerolog.Logger,
) *router.Server {
	return router.New(router.Options{
		Source:    source,
		Admission: admissionController,
		Picker:    p,
		Prompter:  prompter,
		Caller:    caller,
		Limits:    s.Limits,

		MaxBufferedBytes: s.Memory.maxBufferedBytes(),
		Log:              log,
	})
}

// serveOperators serves the operators' API on a separate listener.
func serveOperators(
	lifecycle fx.Lifecycle,
	s *RouterSettings,
	n *node.Node,
	configSync *configsync.Manager,
	view membership.View,
	log zerolog.Logger,
) error {
	certificates, err := newReloader(s.OperatorsTLS)
	if err != nil {
		return err
	}
	gin.SetMode(gin.ReleaseMode)
	engine := gin.New()
	engine.Use(gin.Recovery())
	publish.NewHandler(publish.NewPublisher(configSync), configSync, view, status.NewClient(n.Pool)).Register(engine)
	door := httpDoor{name: "operators", address: s.Operators.Listen, certificates: certificates, limits: s.Memory.smallLimits()}
	serveHTTP(lifecycle, newSmallServer(engine, operatorBodyTimeout), door, log)
	return nil
}

// serveCallers starts the callers' listener after all other parts and stops it first.
// A stop reports the router as not ready to the load balancer, leaves membership,
// makes connected callers reconnect elsewhere, refuses what has not been forwarded by the end of
// the drain delay, and waits for requests in flight.
func serveCallers(
	lifecycle fx.Lifecycle,
	s *RouterSettings,
	server *router.Server,
	source object.Source,
	members *membership.Manager,
	ready *admin.Readiness,
	log zerolog.Logger,
) error {
	certificates, err := newReloader(s.CallersTLS)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	door := httpDoor{name: "callers", address: s.CallersListen.Listen, certificates: certificates, limits: s.Memory.callerLimits()}
	serveHTTP(lifecycle, server.HTTPServer(), door, log)
	start := func(context.Context) error {
		go setRouterReady(ctx, source, ready)
		return nil
	}
	stop := func(ctx context.Context) error {
		cancel()
		ready.Set(false)
		members.Leave()
		server.Drain()
		_ = pause.For(ctx, s.Stop.DrainDelay)
		server.Refuse()
		return nil
	}
	appendHook(lifecycle, start, stop)
	return nil
}

// setRouterReady sets ready once the first configuration is known. It gives up when
// ctx ends.
func setRouterReady(ctx context.Context, source object.Source, ready *admin.Readiness) {
	for source.Current() == nil {
		if pause.For(ctx, readyPollInterval) != nil {
			return
		}
	}
	ready.Set(true)
}
