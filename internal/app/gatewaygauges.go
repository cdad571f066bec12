package app

import (
	"context"
	"time"

	"github.com/greengagegate/greengagegate/internal/balancer"
	"github.com/greengagegate/greengagegate/internal/bootclock"
	"github.com/greengagegate/greengagegate/internal/catalog"
	"github.com/greengagegate/greengagegate/internal/exchange"
	"github.com/greengagegate/greengagegate/internal/gateway"
	"github.com/greengagegate/greengagegate/internal/metrics"
	"github.com/greengagegate/greengagegate/internal/retry"
	"github.com/greengagegate/greengagegate/internal/roster"
	"github.com/greengagegate/greengagegate/internal/share"
	"github.com/greengagegate/greengagegate/internal/weights"
	"go.uber.org/fx"
)

// gatewayState is what a gateway's gauges show. They are computed when the metrics
// are read.
type gatewayState struct {
	fx.In

	Known        *catalog.Catalog
	Gateway      *gateway.Gateway
	Pool         *exchange.Pool
	Balancer     *balancer.Balancer
	Shares       *share.Manager
	SharedBudget *retry.SharedBudget
	Orders       *weights.Manager
	Roster       *roster.Roster
}

// showGatewayState sets the gauges whenever the metrics are read.
func showGatewayState(lifecycle fx.Lifecycle, state gatewayState) {
	gauges := newGatewayGauges(&state)
	var withdraw func()
	appendHook(lifecycle, func(context.Context) error {
		withdraw = metrics.OnRead(gauges.collect)
		return nil
	}, func(context.Context) error {
		withdraw()
		return nil
	})
}

// gatewayGauges has the gauges whose members come and go.
type gatewayGauges struct {
	state *gatewayState

	versions, targetVersion        *metrics.Family
	running, failures              *metrics.Family
	tokens, demand, pooled, budget *metrics.Family
	silence                        *metrics.Family
}

func newGatewayGauges(state *gatewayState) *gatewayGauges {
	return &gatewayGauges{
		state:         state,
		versions:      metrics.NewFamily("weights.version"),
		targetVersion: metrics.NewFamily("weights.wanted"),
		running:       metrics.NewFamily("upstream.running"),
		failures:      metrics.NewFamily("upstream.failures_permille"),
		tokens:        metrics.NewFamily("share.tokens"),
		demand:        metrics.NewFamily("share.demand_per_s"),
		pooled:        metrics.NewFamily("share.pooled_tokens"),
		budget:        metrics.NewFamily("retry.balance_milli"),
		silence:       metrics.NewFamily("peering.silence_ms"),
	}
}

func (g *gatewayGauges) collect() {
	g.collectAges()
	g.collectLoad()
	g.collectUpstreams()
	g.collectLimits()
	g.collectPeers()
}

// collectAges shows how old what the gateway decides by is. What was never known
// has no gauge.
func (g *gatewayGauges) collectAges() {
	now := bootclock.Now()
	if config := g.state.Known.Config(); config != nil {
		metrics.Gauge("catalog.config_version").Update(config.Version)
		metrics.Gauge("catalog.config_age_ms").Update(g.state.Known.ConfigAge(now).Milliseconds())
		metrics.Gauge("catalog.evidence_age_ms").Update(g.state.Known.EvidenceAge(now).Milliseconds())
	}
	if upstreams := g.state.Known.Upstreams(); upstreams != nil {
		metrics.Gauge("catalog.upstreams").Update(int64(len(upstreams.ByID)))
		metrics.Gauge("catalog.upstreams_age_ms").Update(g.state.Known.UpstreamsAge(now).Milliseconds())
	}
	metrics.Gauge("weights.lease_left_ms").Update(g.state.Orders.LeaseRemaining().Milliseconds())
}

func (g *gatewayGauges) collectLoad() {
	metrics.Gauge("gateway.active").Update(g.state.Gateway.Active())
	metrics.Gauge("gateway.waiting").Update(g.state.Gateway.Waiting())
	metrics.Gauge("gateway.buffered_bytes").Update(g.state.Gateway.Buffered())
	open, idle := g.state.Pool.Connections()
	metrics.Gauge("exchange.connections_open").Update(int64(open))
	metrics.Gauge("exchange.connections_idle").Update(int64(idle))
}

func (g *gatewayGauges) collectUpstreams() {
	g.versions.Begin()
	g.running.Begin()
	g.failures.Begin()
	for _, upstream := range g.state.Balancer.UpstreamStatuses() {
		g.running.Set(int64(upstream.Running), "upstream", upstream.ID)
		g.failures.Set(int64(1000*upstream.FailureRate), "upstream", upstream.ID)
		for model, version := range upstream.Versions {
			g.versions.Set(version, "upstream", upstream.ID, "model", model)
		}
	}
	g.versions.End()
	g.running.End()
	g.failures.End()
	g.targetVersion.Begin()
	for model, target := range g.state.Known.TargetVersions() {
		g.targetVersion.Set(target.Version, "model", model)
	}
	g.targetVersion.End()
}

func (g *gatewayGauges) collectLimits() {
	g.tokens.Begin()
	g.demand.Begin()
	g.pooled.Begin()
	for _, customer := range g.state.Shares.CustomerStatuses() {
		g.tokens.Set(int64(customer.Tokens), "customer", customer.Customer)
		g.demand.Set(int64(customer.Demand), "customer", customer.Customer)
		g.pooled.Set(int64(customer.Pooled), "customer", customer.Customer)
	}
	g.tokens.End()
	g.demand.End()
	g.pooled.End()
	g.budget.Begin()
	for pool, balance := range g.state.SharedBudget.Balances() {
		g.budget.Set(int64(1000*balance), "pool", pool)
	}
	g.budget.End()
}

func (g *gatewayGauges) collectPeers() {
	g.silence.Begin()
	for name, silence := range g.state.Roster.TimeSinceContact() {
		g.silence.Set(int64(silence/time.Millisecond), "peer", name)
	}
	g.silence.End()
}
