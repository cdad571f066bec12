package app

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"

	"github.com/greengagegate/greengagegate/internal/admin"
	"github.com/greengagegate/greengagegate/internal/configsync"
	"github.com/greengagegate/greengagegate/internal/contain"
	"github.com/greengagegate/greengagegate/internal/fault"
	"github.com/greengagegate/greengagegate/internal/intake"
	"github.com/greengagegate/greengagegate/internal/invariant"
	"github.com/greengagegate/greengagegate/internal/metrics"
	"github.com/greengagegate/greengagegate/internal/node"
	"github.com/greengagegate/greengagegate/internal/object"
	"github.com/greengagegate/greengagegate/internal/status"
	"github.com/greengagegate/greengagegate/internal/tlsconf"
	"github.com/greengagegate/greengagegate/internal/wire/wirepb"
	"github.com/greengagegate/greengagegate/membership"
	"github.com/greengagegate/greengagegate/store"
	"github.com/greengagegate/greengagegate/store/httpstore"
	"github.com/rs/zerolog"
	"go.uber.org/fx"
)

// common provides the parts that routers and agents share. It sets the role and a
// new incarnation in the settings, and the memory limit of the Go runtime.
func common(c *Common, role membership.Role) fx.Option {
	c.Identity.Role = role
	c.Identity.Incarnation = node.NewIncarnation()
	c.Memory.apply()
	return fx.Options(
		fx.Supply(c),
		fx.Provide(
			newNode,
			newStore,
			newMembership,
			newConfigSync,
			func(m *membership.Manager) membership.View { return m },
			func(m *configsync.Manager) object.Source { return m },
			func() *admin.Readiness { return new(admin.Readiness) },
		),
		fx.Invoke(func(log zerolog.Logger) { invariant.SetLogger(log) }, serveAdmin, startRevisionReports, registerStatusHandler),
	)
}

// appendHook calls start and stop when the application starts and stops.
func appendHook(lifecycle fx.Lifecycle, start, stop func(context.Context) error) {
	lifecycle.Append(fx.Hook{OnStart: start, OnStop: stop})
}

func newNode(lifecycle fx.Lifecycle, c *Common, log zerolog.Logger) (*node.Node, error) {
	n, err := node.New(c.Identity, c.Inner, c.InnerTLS, log)
	if err != nil {
		return nil, err
	}
	n.Server.SetLimits(c.Memory.peerLimits(c.Inner))
	appendHook(lifecycle, n.Start, n.Stop)
	return n, nil
}

// newStore returns one client for both the platform's store and its host list.
func newStore(c *Common) (store.Store, store.HostLister) {
	client := httpstore.New(c.Store.URL)
	return client, client
}

func newMembership(lifecycle fx.Lifecycle, c *Common, n *node.Node, log zerolog.Logger) (*membership.Manager, error) {
	transport, err := membership.ListenUDP(c.Membership.Listen)
	if err != nil {
		return nil, err
	}
	manager := membership.New(membership.Options{
		Self: membership.Member{
			Process:       c.Identity.Name,
			Address:       n.Address,
			GossipAddress: c.Membership.Listen,
			Role:          c.Identity.Role,
			Zone:          c.Identity.Zone,
			Region:        c.Identity.Region,
			Incarnation:   c.Identity.Incarnation,
		},
		Transport: transport,
		Key:       []byte(c.Membership.Key),
		Seeds:     func() []string { return c.Membership.Seeds },
		Log:       log,
	})
	appendHook(lifecycle, manager.Start, manager.Stop)
	return manager, nil
}

func newConfigSync(lifecycle fx.Lifecycle, s store.Store, n *node.Node, view membership.View, log zerolog.Logger) *configsync.Manager {
	manager := configsync.New(configsync.Options{Store: s, Pool: n.Pool, View: view, Log: log})
	manager.Register(n.Server)
	appendHook(lifecycle, manager.Start, manager.Stop)
	return manager
}

// serveAdmin serves health checks, metrics and profiles.
func serveAdmin(lifecycle fx.Lifecycle, c *Common, ready *admin.Readiness, log zerolog.Logger) {
	serveHTTP(lifecycle, newSmallServer(admin.NewRouter(ready), 0), httpDoor{name: "admin", address: c.Admin.Listen, limits: c.Memory.smallLimits()}, log)
}

// httpDoor is an HTTP listener of a process.
type httpDoor struct {
	// name stands for the listener in metrics and log lines.
	name, address string
	// certificates are nil if connections do not use TLS.
	certificates *tlsconf.Reloader
	limits       intake.Limits
}

// serveHTTP opens a door when the application starts and shuts the server down when it stops.
func serveHTTP(lifecycle fx.Lifecycle, server *http.Server, door httpDoor, log zerolog.Logger) {
	connections := intake.New(intake.Options{Door: door.name, Limits: door.limits, Log: log})
	var unregister func()
	start := func(context.Context) error {
		listener, err := net.Listen("tcp", door.address)
		if err != nil {
			return fault.Wrap(err, "listen", door.address)
		}
		if door.certificates != nil {
			listener = tls.NewListener(listener, door.certificates.Server())
		}
		unregister = metrics.RegisterCollector(func() { collectDoor(door.name, connections) })
		go func() {
			if err := connections.Serve(server, listener); err != nil && !errors.Is(err, http.ErrServerClosed) {
				log.Error().Err(err).Str("address", door.address).Msg("app: HTTP listener failed; it accepts no new connections until a restart")
			}
		}()
		return nil
	}
	stop := func(ctx context.Context) error {
		defer unregister()
		return fault.Wrap(server.Shutdown(ctx), "finish requests", door.address)
	}
	appendHook(lifecycle, start, stop)
}

// collectDoor sets the gauges of a listener.
func collectDoor(name string, connections *intake.Manager) {
	status := connections.Status()
	metrics.Gauge("intake.connections", "door", name).Update(int64(status.Connections))
	metrics.Gauge("intake.head_bytes", "door", name).Update(status.HeadBytes)
	metrics.Gauge("intake.body_bytes", "door", name).Update(status.BodyBytes)
}

// newReloader returns the reloader of certificate files, or nil when TLS is not
// configured.
func newReloader(files tlsconf.Files) (*tlsconf.Reloader, error) {
	if !files.Enabled() {
		return nil, nil
	}
	return tlsconf.NewReloader(files)
}

// registerStatusHandler registers the handler that returns this process's status
// to peers.
func registerStatusHandler(n *node.Node, source object.Source, view membership.View) {
	n.Server.Handle(wirepb.Kind_KIND_STATUS, status.Handler(source, view))
}

// startRevisionReports runs reportRevisions in the background.
func startRevisionReports(lifecycle fx.Lifecycle, source object.Source, members *membership.Manager, log zerolog.Logger) {
	appendBackground(lifecycle, log, "report revisions", func(ctx context.Context) { reportRevisions(ctx, source, members) })
}

// reportRevisions passes the revision of the configuration to membership on every
// change, until ctx ends. The next datagrams report it to other members.
func reportRevisions(ctx context.Context, source object.Source, members *membership.Manager) {
	for {
		changed := source.Changed()
		if objects := source.Current(); objects != nil {
			members.SetRevision(objects.Revision)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// appendBackground runs a task in a goroutine while the application runs, and again after
// a panic. The stop cancels its context and waits until it returns.
func appendBackground(lifecycle fx.Lifecycle, log zerolog.Logger, task string, run func(ctx context.Context)) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	start := func(context.Context) error {
		go func() {
			defer close(done)
			contain.Loop(ctx, log, "app", task, run)
		}()
		return nil
	}
	stop := func(context.Context) error {
		cancel()
		<-done
		return nil
	}
	appendHook(lifecycle, start, stop)
}
