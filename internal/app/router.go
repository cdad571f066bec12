package app

import (
	"context"
	"net/http"
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

// readyInterval is how often a starting router looks for its first configuration.
const readyInterval = 20 * time.Millisecond

// Router returns the application of a router.
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
		Policy:     s.Placement.Policy,
		Import:     s.Placement.Import,
		HomeBlocks: s.Placement.HomeBlocks,
		Pool:       n.Pool,
		Zone:       s.Identity.Zone,
		ZoneDelay:  s.Placement.ZoneDelay,
		View:       view,
	})
}

func newPrompter(n *node.Node, p picker.Picker, known *quarantine.Manager, log zerolog.Logger) *dispatch.Prompter {
	return dispatch.NewPrompter(dispatch.Options{Pool: n.Pool, Report: p.Report, Quarantine: known, Log: log})
}

// newQuarantine keeps the requests that crash upstreams away from them.
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

func newCaller(n *node.Node, view membership.View, known *quarantine.Manager, log zerolog.Logger) *dispatch.Caller {
	return dispatch.NewCaller(dispatch.CallerOptions{Pool: n.Pool, View: view, Quarantine: known, Log: log})
}

func newServer(
	s *RouterSettings,
	source object.Source,
	limits admission.Controller,
	p picker.Picker,
	prompter *dispatch.Prompter,
	caller *dispatch.Caller,
	log zerolog.Logger,
) *router.Server {
	return router.New(router.Options{
		Source:    source,
		Admission: limits,
		Picker:    p,
		Prompter:  prompter,
		Caller:    caller,
		Limits:    s.Limits,
		Log:       log,
	})
}

// serveOperators serves the operators' API on its own listener.
func serveOperators(
	lifecycle fx.Lifecycle,
	s *RouterSettings,
	n *node.Node,
	sync *configsync.Manager,
	view membership.View,
	log zerolog.Logger,
) error {
	security, err := reloader(s.OperatorsTLS)
	if err != nil {
		return err
	}
	gin.SetMode(gin.ReleaseMode)
	engine := gin.New()
	engine.Use(gin.Recovery())
	publish.NewHandler(publish.NewPublisher(sync), sync, view, status.NewClient(n.Pool)).Register(engine)
	server := &http.Server{Handler: engine, ReadHeaderTimeout: 5 * time.Second}
	serveHTTP(lifecycle, server, s.Operators.Listen, security, log)
	return nil
}

// serveCallers serves callers last of all, and stops first: the balancer and
// the peers are told, connected callers are moved, then requests in flight finish.
func serveCallers(
	lifecycle fx.Lifecycle,
	s *RouterSettings,
	server *router.Server,
	source object.Source,
	members *membership.Manager,
	ready *admin.Readiness,
	log zerolog.Logger,
) error {
	security, err := reloader(s.CallersTLS)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	serveHTTP(lifecycle, server.HTTPServer(), s.CallersListen.Listen, security, log)
	start := func(context.Context) error {
		go becomeReady(ctx, source, ready)
		return nil
	}
	stop := func(ctx context.Context) error {
		cancel()
		ready.Set(false)
		members.Leave()
		server.Drain()
		_ = pause.For(ctx, s.Stop.DrainDelay)
		return nil
	}
	appendHook(lifecycle, start, stop)
	return nil
}

// becomeReady waits for the first configuration.
func becomeReady(ctx context.Context, source object.Source, ready *admin.Readiness) {
	for source.Current() == nil {
		if pause.For(ctx, readyInterval) != nil {
			return
		}
	}
	ready.Set(true)
}
