package app

import (
	"context"
	"net/http"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/greengagegate/greengagegate/internal/admin"
	"github.com/greengagegate/greengagegate/internal/balancer"
	"github.com/greengagegate/greengagegate/internal/bootclock"
	"github.com/greengagegate/greengagegate/internal/cachestore"
	"github.com/greengagegate/greengagegate/internal/catalog"
	"github.com/greengagegate/greengagegate/internal/exchange"
	"github.com/greengagegate/greengagegate/internal/gateway"
	"github.com/greengagegate/greengagegate/internal/intake"
	"github.com/greengagegate/greengagegate/internal/metrics"
	"github.com/greengagegate/greengagegate/internal/mirror"
	"github.com/greengagegate/greengagegate/internal/node"
	"github.com/greengagegate/greengagegate/internal/origin"
	"github.com/greengagegate/greengagegate/internal/outage"
	"github.com/greengagegate/greengagegate/internal/pause"
	"github.com/greengagegate/greengagegate/internal/peering"
	"github.com/greengagegate/greengagegate/internal/permit"
	"github.com/greengagegate/greengagegate/internal/poison"
	"github.com/greengagegate/greengagegate/internal/ratelimit"
	"github.com/greengagegate/greengagegate/internal/relay"
	"github.com/greengagegate/greengagegate/internal/retry"
	"github.com/greengagegate/greengagegate/internal/rollout"
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
	// stalenessFraction is the fraction of Bounds.Revoke after which the evidence is too
	// old to accept a key. The rest covers the time until a request reaches an upstream.
	stalenessFraction = 0.75
	// pollWait is how long the store may hold a poll open while nothing changes.
	pollWait = 10 * time.Second
	// changeBatchDelay is the pause after a change of a list, so that changes which
	// follow shortly take one poll.
	changeBatchDelay = 400 * time.Millisecond
	// weightsGrace is the time after a new target version becomes known during which
	// upstreams with older weights are picked like others.
	weightsGrace = 1200 * time.Millisecond
	// slackFraction is the fraction of the configured slacks that is used. It keeps
	// retries and tokens below their bounds while gateways start and stop.
	slackFraction = 0.7
	// retryRatioFraction is the fraction of Bounds.RetryRatio that is used. It keeps
	// retries below their bound in each window.
	retryRatioFraction = 0.9
	// sweepInterval is the pause between two checks for idle connections.
	sweepInterval = 200 * time.Millisecond
	// readHeaderTimeout bounds the time to read the header of a request.
	readHeaderTimeout = 10 * time.Second
	// takeoverMargin is added to Bounds.Lease, the least time between the last order of one
	// holder of the orders lease and the first order of the next.
	takeoverMargin = 200 * time.Millisecond
)

// PolledStore is a platform's store that also reports changes by long polls.
type PolledStore = outage.Store

// MirroredPrefix is a prefix of the store and the sink that receives its content.
type MirroredPrefix struct {
	Prefix string
	Sink   mirror.Sink
	// EvidenceKey is the key of the configuration object, which is queried when no recent
	// evidence shows that its known version is the newest. Empty means that nothing is
	// queried; otherwise Sink must be safe for concurrent use.
	EvidenceKey string
	// Direct is true if each gateway reads the prefix from the store itself, because its
	// changes must be known within a tight bound.
	Direct bool
	// BatchChanges is true if changes may be delayed, so that changes which follow each other
	// shortly take one poll.
	BatchChanges bool
	// Software returns the pool and the software version of the upstream in an object; ok is
	// false if the object names none. It is nil unless the prefix has the upstreams.
	Software func(object store.Object) (pool, software string, ok bool)
}

// Platform connects a gateway to the platform that it runs on.
type Platform interface {
	Store(address string, log zerolog.Logger) PolledStore
	Codec() gateway.Codec
	Engines(notices *gateway.Notices) weights.Engines
	CacheEvents() cachestore.Events
	// RolloutPrefix is the prefix of the orders to roll out software versions.
	RolloutPrefix() string
	// Features returns the functions that the policies of the deployment ask for.
	Features(policies []string) Features
	// MirroredPrefixes returns the prefixes that fill the catalog.
	MirroredPrefixes(c *catalog.Catalog, options MirrorOptions, log zerolog.Logger) []MirroredPrefix
	// RolloutStatus returns the status that states the state of a rollout order for a target,
	// for store.StatusWriter. It returns an error for catalog.RolloutNew.
	RolloutStatus(state catalog.RolloutState, target string) ([]byte, error)
}

// MirrorOptions configures the prefixes that fill the catalog.
type MirrorOptions struct {
	// UnlistedRetention is how long an upstream that vanishes from the store in an outage is
	// still used.
	UnlistedRetention time.Duration
	// Rollouts is true if rollout orders are read.
	Rollouts bool
}

// Gateway returns the application of a gateway on a platform. It sets the role
// RoleRouter, which gateways share with routers, and a new incarnation in s, and the
// memory limit of the Go runtime.
func Gateway(s *GatewaySettings, p Platform) fx.Option {
	s.Identity.Role = membership.RoleRouter
	s.Identity.Incarnation = node.NewIncarnation()
	s.Memory.apply()
	return fx.Options(
		fx.Supply(s),
		fx.Provide(
			func() Platform { return p },
			func(log zerolog.Logger) PolledStore { return outage.NewGuard(p.Store(s.Store.URL, log), log) },
			newCatalog,
			exchange.NewPool,
			func() *admin.Readiness { return new(admin.Readiness) },
			func() *gatewayRank { return new(gatewayRank) },
			func(st PolledStore) *versionsReader { return &versionsReader{store: st} },
			newShares,
			newBalancer,
			func(log zerolog.Logger) *ratelimit.Tracker { return ratelimit.New(ratelimit.Options{Log: log}) },
			func(b *balancer.Balancer, limits *ratelimit.Tracker, log zerolog.Logger) *gateway.Notices {
				return &gateway.Notices{Balancer: b, Limits: limits, Log: log}
			},
			func(log zerolog.Logger) *poison.Tracker { return poison.New(poison.Options{Log: log}) },
			newCallerConnections, newSharedBudget, newGatewayNode, newGateway, newWeightsManager, newPeering, newRelay, newRoster, newShareLink, newPermits, newOrigins, newRollouts,
		),
		fx.Invoke(
			serveGatewayAdmin, serveReadiness, startPeering, runRelay, followCatalog, followPlatform, followRoster,
			closeIdleConnections, startWeightsManager, startRollouts, followCacheStore, registerGatewayGauges, serveGatewayCallers,
		),
	)
}

func newCatalog(s *GatewaySettings, log zerolog.Logger) *catalog.Catalog {
	platformCatalog := catalog.New()
	platformCatalog.SetLog(log)
	platformCatalog.SetStalenessLimit(s.Bounds.Weights)
	return platformCatalog
}

func newShares(s *GatewaySettings) *share.Manager {
	shares := share.New(s.Identity.Name, s.Bounds.QuotaSlack*slackFraction, nil)
	if !s.Start.First {
		shares.StartEmpty()
	}
	return shares
}

func newBalancer(s *GatewaySettings, p Platform) *balancer.Balancer {
	upstreamBalancer := balancer.New(s.Identity.Zone, nil)
	features := s.features(p)
	if features.LearnRates {
		upstreamBalancer.EnableLearnedRates()
	}
	if features.SplitSizes {
		upstreamBalancer.EnableSizeSplit()
	}
	return upstreamBalancer
}

func newCallerConnections(s *GatewaySettings, log zerolog.Logger) *intake.Manager {
	return intake.New(intake.Options{Door: "callers", Limits: s.Memory.callerLimits(), Log: log})
}

func newSharedBudget(s *GatewaySettings) *retry.SharedBudget {
	return retry.NewSharedBudget(s.Bounds.RetryRatio*retryRatioFraction, s.Bounds.RetrySlack*slackFraction)
}

func newGatewayNode(s *GatewaySettings, log zerolog.Logger) (*node.Node, error) {
	n, err := node.New(s.Identity, s.Inner, tlsconf.Files{}, log)
	if err != nil {
		return nil, err
	}
	n.Server.SetLimits(s.Memory.peerLimits(s.Inner))
	return n, nil
}

func newGateway(
	s *GatewaySettings,
	p Platform,
	platformCatalog *catalog.Catalog,
	pool *exchange.Pool,
	upstreamBalancer *balancer.Balancer,
	notices *gateway.Notices,
	shares *share.Manager,
	shareLink *sharelink.Link,
	sharedBudget *retry.SharedBudget,
	poisonTracker *poison.Tracker,
	permits *permit.Manager,
	origins *origin.Manager,
	rollouts *rollout.Manager,
	peerManager *peering.Manager,
	log zerolog.Logger,
) *gateway.Gateway {
	return gateway.New(gateway.Options{
		Catalog:      platformCatalog,
		Codec:        p.Codec(),
		Pool:         pool,
		Balancer:     upstreamBalancer,
		Notices:      notices,
		Shares:       shares,
		Owners:       shareLink,
		SharedBudget: sharedBudget,
		Poison:       poisonTracker,
		Permits:      permits,
		Origins:      origins,
		Rollouts:     rollouts,
		Engines:      p.Engines(notices),
		Announce:     peerManager.SendNow,
		Bounds: gateway.Bounds{
			MaxKeyEvidenceAge: time.Duration(stalenessFraction * float64(s.Bounds.Revoke)),
			WeightsGrace:      weightsGrace,
			StalenessLimit:    s.Bounds.Weights,
			MaxBufferedBytes:  s.Memory.maxBufferedBytes(),
			Queue:             s.features(p).Queue,
		},
		Log: log,
	})
}

func newWeightsManager(s *GatewaySettings, p Platform, st PolledStore, platformCatalog *catalog.Catalog, upstreamBalancer *balancer.Balancer, notices *gateway.Notices, log zerolog.Logger) *weights.Manager {
	return weights.New(weights.Options{
		Name:    s.Identity.Name,
		Lease:   weights.NewLease(st, s.Identity.Name, s.Bounds.Lease+takeoverMargin, platformCatalog, log),
		Catalog: platformCatalog,
		Engines: p.Engines(notices),
		Fleet:   upstreamBalancer,

		StalenessLimit: s.Bounds.Weights,
		Schedule:       s.features(p).weightsSchedule(),
		Log:            log,
	})
}

func newRollouts(s *GatewaySettings, p Platform, st PolledStore, platformCatalog *catalog.Catalog, weightsManager *weights.Manager, upstreamBalancer *balancer.Balancer, log zerolog.Logger) *rollout.Manager {
	return rollout.New(rollout.Options{
		Name: s.Identity.Name,
		Bounds: rollout.Bounds{
			ExposureShare: s.Rollout.ExposureShare, ExposureSlack: int64(s.Rollout.ExposureSlack), RollbackWithin: s.Rollout.Rollback,
		},
		Catalog:      platformCatalog,
		Store:        st,
		OrderPrefix:  p.RolloutPrefix(),
		EncodeStatus: p.RolloutStatus,
		Lease:        weightsManager,
		Balancer:     upstreamBalancer,
		Log:          log,
	})
}

func startRollouts(lifecycle fx.Lifecycle, rollouts *rollout.Manager, log zerolog.Logger) {
	appendBackground(lifecycle, log, "rollouts", rollouts.Run)
}

// runRelay depends on the roster, which tells the relay of the other gateways.
func runRelay(lifecycle fx.Lifecycle, relayManager *relay.Manager, _ *roster.Roster, log zerolog.Logger) {
	appendBackground(lifecycle, log, "relay", relayManager.Run)
}

func serveGatewayAdmin(lifecycle fx.Lifecycle, s *GatewaySettings, ready *admin.Readiness, rollouts *rollout.Manager, log zerolog.Logger) {
	router := admin.NewRouter(ready)
	router.GET(rollout.StatusesPath, func(c *gin.Context) { c.JSON(http.StatusOK, rollouts.Statuses()) })
	serveHTTP(lifecycle, newSmallServer(router, 0), httpDoor{name: "admin", address: s.Admin.Listen, limits: s.Memory.smallLimits()}, log)
}

func serveReadiness(lifecycle fx.Lifecycle, s *GatewaySettings, ready *admin.Readiness, log zerolog.Logger) {
	gin.SetMode(gin.ReleaseMode)
	engine := gin.New()
	engine.GET(s.Readiness.Path, ready.Handle)
	serveHTTP(lifecycle, newSmallServer(engine, 0), httpDoor{name: "readiness", address: s.Readiness.Listen, limits: s.Memory.smallLimits()}, log)
}

// startPeering serves requests of peers. It depends on the roster because the roster
// must be constructed before the first contact with a peer, which it records.
func startPeering(lifecycle fx.Lifecycle, n *node.Node, peerManager *peering.Manager, _ *roster.Roster) {
	peerManager.Register(n.Server)
	stop := func(ctx context.Context) error {
		peerManager.Stop()
		return n.Stop(ctx)
	}
	appendHook(lifecycle, n.Start, stop)
}

// followCatalog passes changes of the list of upstreams to the balancer, the origins of
// streams and the connection pool.
func followCatalog(lifecycle fx.Lifecycle, platformCatalog *catalog.Catalog, upstreamBalancer *balancer.Balancer, origins *origin.Manager, pool *exchange.Pool, log zerolog.Logger) {
	appendBackground(lifecycle, log, "catalog", func(ctx context.Context) {
		var previous *catalog.Upstreams
		for {
			changed := platformCatalog.Changed()
			if upstreams := platformCatalog.Upstreams(); upstreams != nil && upstreams != previous {
				upstreamBalancer.SyncUpstreams(upstreams)
				origins.Observe(upstreams)
				closeUnlistedConnections(pool, previous, upstreams)
				previous = upstreams
			}
			select {
			case <-changed:
			case <-ctx.Done():
				return
			}
		}
	})
}

// closeUnlistedConnections closes the idle connections to addresses of upstreams that
// are no longer listed there. previous may be nil.
func closeUnlistedConnections(pool *exchange.Pool, previous, current *catalog.Upstreams) {
	if previous == nil {
		return
	}
	for id, upstream := range previous.ByID {
		if listed := current.ByID[id]; listed == nil || listed.Address != upstream.Address {
			pool.CloseIdle(upstream.Address)
		}
	}
}

// followPlatform mirrors the platform's prefixes into the catalog and refreshes the
// evidence that the configuration is the newest.
func followPlatform(lifecycle fx.Lifecycle, s *GatewaySettings, p Platform, st PolledStore, source *relay.Manager, platformCatalog *catalog.Catalog, versions *versionsReader, ownRank *gatewayRank, log zerolog.Logger) {
	options := MirrorOptions{UnlistedRetention: s.Bounds.unlistedRetention(), Rollouts: s.Rollout.Enabled()}
	for _, mirrored := range p.MirroredPrefixes(platformCatalog, options, log) {
		batchDelay := time.Duration(0)
		if mirrored.BatchChanges {
			batchDelay = changeBatchDelay
		}
		var prefixSource mirror.Source = source
		if mirrored.Direct {
			prefixSource = relay.DirectSource{Manager: source}
		}
		mirrorOptions := mirror.Options{Source: prefixSource, Prefix: mirrored.Prefix, Sink: mirrored.Sink, ChangeDelay: batchDelay, Log: log}
		if mirrored.EvidenceKey == "" {
			// Reads for the evidence would find changes as well.
			mirrorOptions.ShortWaits = ownRank.pollsShortly
		}
		storeMirror := followPrefix(lifecycle, mirrorOptions)
		if mirrored.Software != nil {
			versions.mirror, versions.software = storeMirror, mirrored.Software
		}
		if mirrored.EvidenceKey != "" {
			refresher := &evidenceRefresher{store: st, key: mirrored.EvidenceKey, sink: mirrored.Sink, catalog: platformCatalog, rank: ownRank, log: log}
			appendBackground(lifecycle, log, "evidence", refresher.run)
		}
	}
}

// followPrefix mirrors a prefix of the store into a sink, with polls of pollWait.
func followPrefix(lifecycle fx.Lifecycle, options mirror.Options) *mirror.Mirror {
	options.PollWait = pollWait
	storeMirror := mirror.New(options)
	appendBackground(lifecycle, options.Log, "mirror "+options.Prefix, storeMirror.Run)
	registerMirrorGauges(lifecycle, options.Prefix, storeMirror)
	return storeMirror
}

// registerMirrorGauges computes the ages of a mirror whenever the metrics are read, while the
// application runs.
func registerMirrorGauges(lifecycle fx.Lifecycle, prefix string, storeMirror *mirror.Mirror) {
	registerCollector(lifecycle, func() {
		ages := storeMirror.Ages(bootclock.Now())
		metrics.Gauge("mirror.copy_age_ms", "prefix", prefix).Update(ages.Copy.Milliseconds())
		metrics.Gauge("mirror.call_age_ms", "prefix", prefix).Update(ages.Call.Milliseconds())
	})
}

// followRoster joins the list of gateways, follows it, and leaves it when the
// application stops.
func followRoster(lifecycle fx.Lifecycle, source *relay.Manager, r *roster.Roster, log zerolog.Logger) {
	appendHook(lifecycle, func(context.Context) error { return nil }, func(ctx context.Context) error {
		r.Leave(ctx)
		return nil
	})
	followPrefix(lifecycle, mirror.Options{Source: source, Prefix: roster.Prefix, Sink: r, ChangeDelay: changeBatchDelay, Log: log})
	appendBackground(lifecycle, log, "roster join", r.Join)
	appendBackground(lifecycle, log, "roster", r.Maintain)
}

func closeIdleConnections(lifecycle fx.Lifecycle, pool *exchange.Pool, log zerolog.Logger) {
	appendBackground(lifecycle, log, "idle connections", func(ctx context.Context) {
		for pause.For(ctx, sweepInterval) == nil {
			pool.Sweep()
		}
	})
}

func startWeightsManager(lifecycle fx.Lifecycle, weightsManager *weights.Manager, log zerolog.Logger) {
	appendBackground(lifecycle, log, "weights", weightsManager.Run)
}

// followCacheStore passes the events of the cache store to the balancer.
func followCacheStore(lifecycle fx.Lifecycle, p Platform, platformCatalog *catalog.Catalog, upstreamBalancer *balancer.Balancer, log zerolog.Logger) {
	follower := cachestore.New(cachestore.Options{Catalog: platformCatalog, Events: p.CacheEvents(), Sink: upstreamBalancer, GatewayCount: upstreamBalancer.GatewayCount, Log: log})
	appendBackground(lifecycle, log, "cache store", follower.Run)
}
