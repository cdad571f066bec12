package app

import (
	"context"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/greengagegate/greengagegate/internal/admin"
	"github.com/greengagegate/greengagegate/internal/balancer"
	"github.com/greengagegate/greengagegate/internal/cachestore"
	"github.com/greengagegate/greengagegate/internal/catalog"
	"github.com/greengagegate/greengagegate/internal/exchange"
	"github.com/greengagegate/greengagegate/internal/gateway"
	"github.com/greengagegate/greengagegate/internal/mirror"
	"github.com/greengagegate/greengagegate/internal/node"
	"github.com/greengagegate/greengagegate/internal/pause"
	"github.com/greengagegate/greengagegate/internal/peering"
	"github.com/greengagegate/greengagegate/internal/retry"
	"github.com/greengagegate/greengagegate/internal/roster"
	"github.com/greengagegate/greengagegate/internal/share"
	"github.com/greengagegate/greengagegate/internal/sharelink"
	"github.com/greengagegate/greengagegate/internal/tlsconf"
	"github.com/greengagegate/greengagegate/internal/weights"
	"github.com/greengagegate/greengagegate/membership"
	"github.com/greengagegate/greengagegate/store"
	"github.com/rs/zerolog"
	"go.uber.org/fx"
)

const (
	// stalenessPart is the part of the time that a withdrawn key may work after
	// which evidence is too old. The rest covers a request's way to an upstream.
	stalenessPart = 0.75
	// listWait is how long the store may hold a poll.
	listWait = 10 * time.Second
	// gatherPause is the pause after changes of the lists.
	gatherPause = 400 * time.Millisecond
	// weightsGrace is how long older weights serve without harm.
	weightsGrace = 1200 * time.Millisecond
	// weightsMargin is how long before their limit older weights are given up.
	weightsMargin = time.Second
	// slackPart keeps repeats below their bound while gateways come and go.
	slackPart = 0.7
	// ratioPart keeps repeats below their bound in each window.
	ratioPart = 0.9
	// sweepEvery is the pause between two looks for idle connections.
	sweepEvery = 200 * time.Millisecond
	// headerTimeout bounds the reading of a request's head.
	headerTimeout = 10 * time.Second
	// takeOverMargin is added to the time between the orders of two holders.
	takeOverMargin = 200 * time.Millisecond
)

// FollowedStore is a platform's store that tells changes by calls that wait.
type FollowedStore interface {
	store.Store
	store.Poller
}

// Followed is a prefix of the store, and what takes its content.
type Followed struct {
	Prefix string
	Sink   mirror.Sink
	// Evidence is the object that tells withdrawn keys, whose age matters; empty for
	// none. Its sink is then safe for concurrent use.
	Evidence string
	// Gather says that changes which come close together may wait for each other.
	Gather bool
}

// Platform is what a gateway needs of the platform that it runs on.
type Platform interface {
	Store(address string) FollowedStore
	Codec() gateway.Codec
	Engines() weights.Engines
	CacheEvents() cachestore.Events
	// Followed returns the prefixes that fill the catalog. An upstream that
	// vanishes from the store in an outage is still used for lapseHold.
	Followed(c *catalog.Catalog, lapseHold time.Duration, log zerolog.Logger) []Followed
}

// Gateway returns the application of a gateway on a platform.
func Gateway(s *GatewaySettings, p Platform) fx.Option {
	s.Identity.Role = membership.RoleRouter
	s.Identity.Incarnation = node.NewIncarnation()
	if s.Memory.LimitMB > 0 {
		debug.SetMemoryLimit(int64(float64(s.Memory.LimitMB*megabyte) * heapPart))
	}
	return fx.Options(
		fx.Supply(s),
		fx.Provide(
			func() Platform { return p },
			func() FollowedStore { return p.Store(s.Store.URL) },
			catalog.New,
			exchange.NewPool,
			func() *admin.Readiness { return new(admin.Readiness) },
			func() *rank { return new(rank) },
			func() *share.Manager { return share.New(s.Identity.Name, s.Bounds.QuotaSlack*slackPart, nil) },
			func() *balancer.Balancer { return balancer.New(s.Identity.Zone, nil) },
			newSharedBudget, newGatewayNode, newGateway, newOrders, newPeering, newRoster, newShareLink,
		),
		fx.Invoke(
			serveGatewayAdmin, serveReadiness, startPeering, followCatalog, followPlatform, followRoster,
			sweepConnections, startOrders, followCacheStore, showGatewayState, serveGatewayCallers,
		),
	)
}

func newSharedBudget(s *GatewaySettings) *retry.SharedBudget {
	return retry.NewSharedBudget(s.Bounds.RetryRatio*ratioPart, s.Bounds.RetrySlack*slackPart)
}

func newGatewayNode(s *GatewaySettings, log zerolog.Logger) (*node.Node, error) {
	return node.New(s.Identity, s.Inner, tlsconf.Files{}, log)
}

func newGateway(
	s *GatewaySettings,
	p Platform,
	known *catalog.Catalog,
	pool *exchange.Pool,
	upstreamBalancer *balancer.Balancer,
	shares *share.Manager,
	owners *sharelink.Link,
	sharedBudget *retry.SharedBudget,
	log zerolog.Logger,
) *gateway.Gateway {
	return gateway.New(gateway.Options{
		Catalog:      known,
		Codec:        p.Codec(),
		Pool:         pool,
		Balancer:     upstreamBalancer,
		Shares:       shares,
		Owners:       owners,
		SharedBudget: sharedBudget,
		Bounds: gateway.Bounds{
			KeyStaleness: time.Duration(stalenessPart * float64(s.Bounds.Revoke)),
			WeightsGrace: weightsGrace,
			WeightsLimit: s.Bounds.Weights - weightsMargin,
			MaxBuffered:  s.Memory.bodies(),
		},
		Log: log,
	})
}

func newOrders(s *GatewaySettings, p Platform, st FollowedStore, known *catalog.Catalog, upstreamBalancer *balancer.Balancer, log zerolog.Logger) *weights.Manager {
	return weights.New(weights.Options{
		Name:     s.Identity.Name,
		Lease:    weights.NewLease(st, s.Identity.Name),
		Catalog:  known,
		Engines:  p.Engines(),
		Fleet:    upstreamBalancer,
		TakeOver: s.Bounds.Lease + takeOverMargin,

		WeightsLimit: s.Bounds.Weights,
		Log:          log,
	})
}

func newPeering(
	s *GatewaySettings,
	n *node.Node,
	shares *share.Manager,
	orders *weights.Manager,
	known *catalog.Catalog,
	upstreamBalancer *balancer.Balancer,
	log zerolog.Logger,
) *peering.Manager {
	news := &gatewayNews{name: s.Identity.Name, shares: shares, orders: orders, known: known, balancer: upstreamBalancer, told: make(map[string]uint64)}
	manager := peering.New(peering.Options{Name: s.Identity.Name, Pool: n.Pool, Update: news.compose, OnUpdate: news.onUpdate, Log: log})
	orders.OnUpdate(manager.SendNow)
	return manager
}

func newShareLink(n *node.Node, known *catalog.Catalog, shares *share.Manager, peers *peering.Manager, log zerolog.Logger) *sharelink.Link {
	link := sharelink.New(sharelink.Options{Pool: n.Pool, Catalog: known, Shares: shares, Address: peers.Address, Log: log})
	link.Register(n.Server)
	return link
}

func newRoster(
	s *GatewaySettings,
	st FollowedStore,
	n *node.Node,
	peers *peering.Manager,
	shares *share.Manager,
	upstreamBalancer *balancer.Balancer,
	sharedBudget *retry.SharedBudget,
	rank *rank,
	log zerolog.Logger,
) *roster.Roster {
	changed := func(others []peering.Peer) {
		peers.SetPeers(others)
		names := make([]string, len(others))
		for i, other := range others {
			names[i] = other.Name
		}
		rank.set(s.Identity.Name, names)
		shares.SetPeers(names)
		upstreamBalancer.SetGatewayCount(1 + len(others))
		sharedBudget.SetSlack(s.Bounds.RetrySlack * slackPart / float64(1+len(others)))
	}
	r := roster.New(roster.Options{
		Store: st, Name: s.Identity.Name, Address: n.Address, Zone: s.Identity.Zone, OnChange: changed, Log: log,
	})
	peers.OnContact(r.RecordContact)
	return r
}

func serveGatewayAdmin(lifecycle fx.Lifecycle, s *GatewaySettings, ready *admin.Readiness, log zerolog.Logger) {
	server := &http.Server{Handler: admin.NewRouter(ready), ReadHeaderTimeout: headerTimeout}
	serveHTTP(lifecycle, server, s.Admin.Listen, nil, log)
}

func serveReadiness(lifecycle fx.Lifecycle, s *GatewaySettings, ready *admin.Readiness, log zerolog.Logger) {
	gin.SetMode(gin.ReleaseMode)
	engine := gin.New()
	engine.GET(s.Readiness.Path, ready.Handle)
	server := &http.Server{Handler: engine, ReadHeaderTimeout: headerTimeout}
	serveHTTP(lifecycle, server, s.Readiness.Listen, nil, log)
}

// startPeering answers peers from now on. The roster is made before, as it notes
// which of them are heard.
func startPeering(lifecycle fx.Lifecycle, n *node.Node, peers *peering.Manager, _ *roster.Roster) {
	peers.Register(n.Server)
	stop := func(ctx context.Context) error {
		peers.Stop()
		return n.Stop(ctx)
	}
	appendHook(lifecycle, n.Start, stop)
}

// followCatalog passes changes of the list of upstreams on.
func followCatalog(lifecycle fx.Lifecycle, known *catalog.Catalog, upstreamBalancer *balancer.Balancer, pool *exchange.Pool) {
	appendBackground(lifecycle, func(ctx context.Context) {
		var former *catalog.Upstreams
		for {
			changed := known.Changed()
			if upstreams := known.Upstreams(); upstreams != nil && upstreams != former {
				upstreamBalancer.Retain(upstreams)
				forgetGone(pool, former, upstreams)
				former = upstreams
			}
			select {
			case <-changed:
			case <-ctx.Done():
				return
			}
		}
	})
}

// forgetGone closes the idle connections to upstreams that are no longer listed.
func forgetGone(pool *exchange.Pool, former, current *catalog.Upstreams) {
	if former == nil {
		return
	}
	for id, upstream := range former.ByID {
		if now := current.ByID[id]; now == nil || now.Address != upstream.Address {
			pool.CloseIdle(upstream.Address)
		}
	}
}

func followPlatform(lifecycle fx.Lifecycle, s *GatewaySettings, p Platform, st FollowedStore, known *catalog.Catalog, rank *rank, log zerolog.Logger) {
	for _, followed := range p.Followed(known, s.Bounds.lapseHold(), log) {
		gather := time.Duration(0)
		if followed.Gather {
			gather = gatherPause
		}
		follow(lifecycle, st, followed.Prefix, followed.Sink, gather, log)
		if followed.Evidence != "" {
			keeper := &evidenceKeeper{store: st, key: followed.Evidence, sink: followed.Sink, known: known, rank: rank, log: log}
			appendBackground(lifecycle, keeper.run)
		}
	}
}

func follow(lifecycle fx.Lifecycle, st FollowedStore, prefix string, sink mirror.Sink, gather time.Duration, log zerolog.Logger) {
	m := mirror.New(mirror.Options{Store: st, Prefix: prefix, Sink: sink, Wait: listWait, Gather: gather, Log: log})
	appendBackground(lifecycle, m.Run)
}

// followRoster joins the list of gateways, follows it, and leaves it at the end.
func followRoster(lifecycle fx.Lifecycle, st FollowedStore, r *roster.Roster, log zerolog.Logger) {
	appendHook(lifecycle, func(context.Context) error { return nil }, func(ctx context.Context) error {
		r.Leave(ctx)
		return nil
	})
	follow(lifecycle, st, roster.Prefix, r, gatherPause, log)
	appendBackground(lifecycle, r.Join)
	appendBackground(lifecycle, r.Maintain)
}

func sweepConnections(lifecycle fx.Lifecycle, pool *exchange.Pool) {
	appendBackground(lifecycle, func(ctx context.Context) {
		for pause.For(ctx, sweepEvery) == nil {
			pool.Sweep()
		}
	})
}

func startOrders(lifecycle fx.Lifecycle, orders *weights.Manager) {
	appendBackground(lifecycle, orders.Run)
}

func followCacheStore(lifecycle fx.Lifecycle, p Platform, known *catalog.Catalog, upstreamBalancer *balancer.Balancer, log zerolog.Logger) {
	follower := cachestore.New(cachestore.Options{Catalog: known, Events: p.CacheEvents(), Sink: upstreamBalancer, Gateways: upstreamBalancer.GatewayCount, Log: log})
	appendBackground(lifecycle, follower.Run)
}
