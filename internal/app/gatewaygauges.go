package app

import (
	"context"
	"math"
	"time"

	"github.com/greengagegate/greengagegate/internal/balancer"
	"github.com/greengagegate/greengagegate/internal/bootclock"
	"github.com/greengagegate/greengagegate/internal/catalog"
	"github.com/greengagegate/greengagegate/internal/exchange"
	"github.com/greengagegate/greengagegate/internal/gateway"
	"github.com/greengagegate/greengagegate/internal/intake"
	"github.com/greengagegate/greengagegate/internal/metrics"
	"github.com/greengagegate/greengagegate/internal/poison"
	"github.com/greengagegate/greengagegate/internal/ratelimit"
	"github.com/greengagegate/greengagegate/internal/relay"
	"github.com/greengagegate/greengagegate/internal/retry"
	"github.com/greengagegate/greengagegate/internal/rollout"
	"github.com/greengagegate/greengagegate/internal/roster"
	"github.com/greengagegate/greengagegate/internal/share"
	"github.com/greengagegate/greengagegate/internal/sizesplit"
	"github.com/greengagegate/greengagegate/internal/weights"
	"go.uber.org/fx"
)

// gatewayGaugeSources holds the parts of a gateway whose state its gauges show.
type gatewayGaugeSources struct {
	fx.In

	Catalog        *catalog.Catalog
	Gateway        *gateway.Gateway
	Connections    *intake.Manager
	Pool           *exchange.Pool
	Balancer       *balancer.Balancer
	Shares         *share.Manager
	SharedBudget   *retry.SharedBudget
	WeightsManager *weights.Manager
	Poison         *poison.Tracker
	Limits         *ratelimit.Tracker
	Roster         *roster.Roster
	Rollouts       *rollout.Manager
	Relays         *relay.Manager
}

// registerGatewayGauges computes the gauges whenever the metrics are read, while the
// application runs.
func registerGatewayGauges(lifecycle fx.Lifecycle, sources gatewayGaugeSources) {
	registerCollector(lifecycle, newGatewayGauges(&sources).collect)
}

// registerCollector calls collect whenever the metrics are read, while the application runs.
func registerCollector(lifecycle fx.Lifecycle, collect func()) {
	var unregister func()
	appendHook(lifecycle, func(context.Context) error {
		unregister = metrics.RegisterCollector(collect)
		return nil
	}, func(context.Context) error {
		unregister()
		return nil
	})
}

// gatewayGauges holds the families of gauges whose label values appear and disappear.
type gatewayGauges struct {
	sources *gatewayGaugeSources

	versions, targetVersion                              *metrics.Family
	runningRequests, failureRates                        *metrics.Family
	prefillRates, prefillAges                            *metrics.Family
	shareTokens, shareDemand, pooledTokens, retryBalance *metrics.Family
	peerSilence, queued                                  *metrics.Family
	rolloutShare, rolloutResponses, rolloutFailures      *metrics.Family
	splitEngines, splitWork, splitLimit                  *metrics.Family
}

func newGatewayGauges(sources *gatewayGaugeSources) *gatewayGauges {
	return &gatewayGauges{
		sources:         sources,
		versions:        metrics.NewFamily("weights.version"),
		targetVersion:   metrics.NewFamily("weights.wanted"),
		runningRequests: metrics.NewFamily("upstream.running"),
		failureRates:    metrics.NewFamily("upstream.failures_permille"),
		prefillRates:    metrics.NewFamily("upstream.prefill_tokens_per_s"),
		prefillAges:     metrics.NewFamily("upstream.prefill_age_ms"),
		shareTokens:     metrics.NewFamily("share.tokens"),
		shareDemand:     metrics.NewFamily("share.demand_per_s"),
		pooledTokens:    metrics.NewFamily("share.pooled_tokens"),
		retryBalance:    metrics.NewFamily("retry.balance_milli"),
		peerSilence:     metrics.NewFamily("peering.silence_ms"),
		queued:          metrics.NewFamily("gateway.queued"),

		rolloutShare:     metrics.NewFamily("rollout.share_permille"),
		rolloutResponses: metrics.NewFamily("rollout.responses"),
		rolloutFailures:  metrics.NewFamily("rollout.failures"),
		splitEngines:     metrics.NewFamily("split.engines"),
		splitWork:        metrics.NewFamily("split.work_ms_per_s"),
		splitLimit:       metrics.NewFamily("split.limit_tokens"),
	}
}

// collect sets all gauges. It is called when the metrics are read.
func (g *gatewayGauges) collect() {
	g.collectAges()
	g.collectLoad()
	g.collectUpstreams()
	g.collectLimits()
	g.collectPeers()
	g.collectRollouts()
	g.collectSplits()
}

// collectAges sets the ages of the configuration, the evidence and the list of
// upstreams, the sizes of the copies of the store, and the time left of the orders lease. What was
// never known has no gauge.
func (g *gatewayGauges) collectAges() {
	now := bootclock.Now()
	if config := g.sources.Catalog.Config(); config != nil {
		metrics.Gauge("catalog.config_version").Update(config.Version)
		metrics.Gauge("catalog.config_age_ms").Update(g.sources.Catalog.ConfigAge(now).Milliseconds())
		metrics.Gauge("catalog.evidence_age_ms").Update(g.sources.Catalog.ConfigEvidenceAge(now).Milliseconds())
	}
	if upstreams := g.sources.Catalog.Upstreams(); upstreams != nil {
		metrics.Gauge("catalog.upstreams").Update(int64(len(upstreams.ByID)))
		metrics.Gauge("catalog.upstreams_age_ms").Update(g.sources.Catalog.UpstreamsEvidenceAge(now).Milliseconds())
	}
	for prefix, bytes := range g.sources.Relays.Bytes() {
		metrics.Gauge("relay.copy_bytes", "prefix", prefix).Update(bytes)
	}
	metrics.Gauge("weights.lease_left_ms").Update(g.sources.WeightsManager.LeaseRemaining().Milliseconds())
}

func (g *gatewayGauges) collectLoad() {
	metrics.Gauge("gateway.active").Update(g.sources.Gateway.Active())
	metrics.Gauge("gateway.waiting").Update(g.sources.Gateway.Waiting())
	metrics.Gauge("gateway.buffered_bytes").Update(g.sources.Gateway.Buffered())
	metrics.Gauge("ratelimit.limited").Update(int64(g.sources.Limits.Limited()))
	metrics.Gauge("poison.suspects").Update(int64(g.sources.Poison.Suspects()))
	metrics.Gauge("poison.convicted").Update(int64(g.sources.Poison.Convictions()))
	collectDoor("callers", g.sources.Connections)
	g.queued.Begin()
	for _, queue := range g.sources.Gateway.QueueStatuses() {
		g.queued.Set(int64(queue.Waiting), "customer", queue.Customer, "route", queue.Route)
	}
	g.queued.End()
	open, idle := g.sources.Pool.Connections()
	metrics.Gauge("exchange.connections_open").Update(int64(open))
	metrics.Gauge("exchange.connections_idle").Update(int64(idle))
}

func (g *gatewayGauges) collectUpstreams() {
	g.versions.Begin()
	g.runningRequests.Begin()
	g.failureRates.Begin()
	g.prefillRates.Begin()
	g.prefillAges.Begin()
	for _, upstream := range g.sources.Balancer.UpstreamStatuses() {
		g.runningRequests.Set(int64(upstream.Running), "upstream", upstream.ID)
		g.failureRates.Set(int64(1000*upstream.FailureRate), "upstream", upstream.ID)
		for model, version := range upstream.Versions {
			g.versions.Set(version, "upstream", upstream.ID, "model", model)
		}
		if upstream.Prefill == nil {
			continue
		}
		g.prefillRates.Set(int64(1000*upstream.Prefill.TokensPerMS), "upstream", upstream.ID)
		if upstream.Prefill.HasSample {
			g.prefillAges.Set(upstream.Prefill.Age.Milliseconds(), "upstream", upstream.ID)
		}
	}
	g.versions.End()
	g.runningRequests.End()
	g.failureRates.End()
	g.prefillRates.End()
	g.prefillAges.End()
	g.targetVersion.Begin()
	for model, target := range g.sources.Catalog.TargetVersions() {
		g.targetVersion.Set(target.Version, "model", model)
	}
	g.targetVersion.End()
}

func (g *gatewayGauges) collectLimits() {
	g.shareTokens.Begin()
	g.shareDemand.Begin()
	g.pooledTokens.Begin()
	for _, customer := range g.sources.Shares.CustomerStatuses() {
		g.shareTokens.Set(int64(customer.Tokens), "customer", customer.Customer)
		g.shareDemand.Set(int64(customer.Demand), "customer", customer.Customer)
		g.pooledTokens.Set(int64(customer.Pooled), "customer", customer.Customer)
	}
	g.shareTokens.End()
	g.shareDemand.End()
	g.pooledTokens.End()
	g.retryBalance.Begin()
	for pool, balance := range g.sources.SharedBudget.Balances() {
		g.retryBalance.Set(int64(1000*balance), "pool", pool)
	}
	g.retryBalance.End()
}

func (g *gatewayGauges) collectPeers() {
	g.peerSilence.Begin()
	for name, silence := range g.sources.Roster.TimeSinceContact() {
		g.peerSilence.Set(int64(silence/time.Millisecond), "peer", name)
	}
	g.peerSilence.End()
}

func (g *gatewayGauges) collectRollouts() {
	g.rolloutShare.Begin()
	g.rolloutResponses.Begin()
	g.rolloutFailures.Begin()
	for _, status := range g.sources.Rollouts.Statuses() {
		g.rolloutShare.Set(int64(1000*status.Share), "pool", status.Pool, "version", status.Target)
		for _, counts := range status.Counts {
			g.rolloutResponses.Set(counts.Total, "pool", status.Pool, "route", counts.Route, "versions", counts.Group)
			g.rolloutFailures.Set(counts.Failed, "pool", status.Pool, "route", counts.Route, "versions", counts.Group)
		}
	}
	g.rolloutShare.End()
	g.rolloutResponses.End()
	g.rolloutFailures.End()
}

// collectSplits sets the gauges of the pools that are divided by prompt size.
func (g *gatewayGauges) collectSplits() {
	g.splitEngines.Begin()
	g.splitWork.Begin()
	g.splitLimit.Begin()
	for _, split := range g.sources.Balancer.SplitStatuses() {
		for part, engines := range split.Counts {
			g.splitEngines.Set(int64(engines), "pool", split.Pool, "part", sizesplit.Part(part).String())
		}
		for class := range split.Work {
			g.splitWork.Set(int64(1000*split.Work[class].Engines), "pool", split.Pool, "class", sizesplit.Class(class).String())
		}
		if split.LimitTokens < math.MaxInt64 {
			g.splitLimit.Set(split.LimitTokens, "pool", split.Pool)
		}
	}
	g.splitEngines.End()
	g.splitWork.End()
	g.splitLimit.End()
}
