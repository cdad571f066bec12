package app

import (
	"sync"
	"time"

	"github.com/greengagegate/greengagegate/internal/balancer"
	"github.com/greengagegate/greengagegate/internal/bootclock"
	"github.com/greengagegate/greengagegate/internal/catalog"
	"github.com/greengagegate/greengagegate/internal/share"
	"github.com/greengagegate/greengagegate/internal/weights"
	"github.com/greengagegate/greengagegate/internal/wire/wirepb"
)

// gatewayNews composes what a gateway tells its peers, and takes what they tell.
type gatewayNews struct {
	name     string
	shares   *share.Manager
	orders   *weights.Manager
	known    *catalog.Catalog
	balancer *balancer.Balancer

	mu sync.Mutex
	// told holds the number of the first reading that a peer was not told.
	told map[string]uint64
}

// compose returns the news for a peer. News that are lost on the way are not
// told again; they only make choices better.
func (n *gatewayNews) compose(peer string) *wirepb.GatewayNews {
	news := &wirepb.GatewayNews{Name: n.name}
	if config := n.known.Config(); config != nil {
		news.ConfigVersion = config.Version
		news.EvidenceMs = n.known.EvidenceAge(bootclock.Now()).Milliseconds() + 1
	}
	news.HoldsOrders = n.orders.HoldsLease()
	for customer, rate := range n.shares.Demand() {
		news.Demands = append(news.Demands, &wirepb.CustomerDemand{Customer: customer, TokensPerSecond: rate})
	}
	now := bootclock.Now()
	for _, update := range n.orders.RolloutUpdates() {
		told := &wirepb.UpstreamNote{Id: update.ID, Model: update.Model, WeightsVersion: update.Version}
		if update.Held {
			told.HeldMs, told.TargetVersion = update.Until.Sub(now).Milliseconds(), update.Target
		}
		news.Upstreams = append(news.Upstreams, told)
	}
	for model, target := range n.known.TargetVersions() {
		for _, dated := range target.DatedVersions() {
			news.Wanted = append(news.Wanted, &wirepb.WantedWeights{
				Model: model, Version: dated.Version, AgeMs: now.Sub(dated.KnownSince).Milliseconds(),
			})
		}
	}
	for _, cacheReport := range n.cacheReportsFor(peer) {
		news.Readings = append(news.Readings, &wirepb.PromptReading{
			Upstream: cacheReport.Upstream, Salt: cacheReport.Salt, Parts: cacheReport.Parts,
		})
	}
	return news
}

func (n *gatewayNews) cacheReportsFor(peer string) []balancer.CacheReport {
	n.mu.Lock()
	defer n.mu.Unlock()
	cacheReports, next := n.balancer.CacheReportsSince(n.told[peer])
	n.told[peer] = next
	return cacheReports
}

func (n *gatewayNews) onUpdate(news *wirepb.GatewayNews, asked bootclock.Instant) {
	demand := make(share.Demand, len(news.Demands))
	for _, d := range news.Demands {
		demand[d.Customer] = d.TokensPerSecond
	}
	n.shares.UpdatePeerDemand(news.Name, demand)
	n.orders.RecordHolder(news.Name, news.HoldsOrders)
	n.hearEvidence(news, asked)
	for _, reading := range news.Readings {
		n.balancer.ApplyCacheReport(balancer.CacheReport{Upstream: reading.Upstream, Salt: reading.Salt, Parts: reading.Parts})
	}
	now := bootclock.Now()
	for _, wanted := range news.Wanted {
		known := now.Add(-time.Duration(wanted.AgeMs) * time.Millisecond)
		n.known.MergeVersionAge(wanted.Model, catalog.DatedVersion{Version: wanted.Version, KnownSince: known})
	}
	for _, note := range news.Upstreams {
		n.hearUpstream(note, now)
	}
}

// hearEvidence takes a peer's evidence that a configuration was the newest, when
// that configuration is in force here. It counts from when the peer was asked.
func (n *gatewayNews) hearEvidence(news *wirepb.GatewayNews, asked bootclock.Instant) {
	config := n.known.Config()
	if asked == 0 || config == nil || config.Version != news.ConfigVersion {
		return
	}
	n.known.ConfirmConfig(asked.Add(-time.Duration(news.EvidenceMs) * time.Millisecond))
}

// hearUpstream takes what the holder of the orders lease knows of an upstream. A
// hold may be told after the version that ends it was learned in another way.
func (n *gatewayNews) hearUpstream(note *wirepb.UpstreamNote, now bootclock.Instant) {
	if note.WeightsVersion > 0 {
		n.balancer.RecordVersion(note.Id, note.Model, note.WeightsVersion)
	}
	until := bootclock.Instant(0)
	if note.HeldMs > 0 && n.balancer.Version(note.Id, note.Model) < note.TargetVersion {
		until = now.Add(time.Duration(note.HeldMs) * time.Millisecond)
	}
	n.balancer.HoldUntil(note.Id, until)
}
