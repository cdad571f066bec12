package app

import (
	"sync"
	"time"

	"github.com/greengagegate/greengagegate/internal/balancer"
	"github.com/greengagegate/greengagegate/internal/bootclock"
	"github.com/greengagegate/greengagegate/internal/catalog"
	"github.com/greengagegate/greengagegate/internal/poison"
	"github.com/greengagegate/greengagegate/internal/ratelimit"
	"github.com/greengagegate/greengagegate/internal/relay"
	"github.com/greengagegate/greengagegate/internal/rollout"
	"github.com/greengagegate/greengagegate/internal/share"
	"github.com/greengagegate/greengagegate/internal/weights"
	"github.com/greengagegate/greengagegate/internal/wire/wirepb"
)

// peerUpdates composes the updates that a gateway sends to its peers, and applies the
// updates that it receives.
type peerUpdates struct {
	name           string
	shares         *share.Manager
	weightsManager *weights.Manager
	catalog        *catalog.Catalog
	balancer       *balancer.Balancer
	poison         *poison.Tracker
	limits         *ratelimit.Tracker
	rollouts       *rollout.Manager
	relays         *relay.Manager

	mu sync.Mutex
	// nextCacheReport maps a peer to the number of the first cache report that was not
	// yet sent to it.
	nextCacheReport map[string]uint64
}

// compose returns the next update for a peer and counts its cache reports as sent.
// Cache reports that are lost in transit are not sent again, because they only improve
// the choice of an upstream.
func (u *peerUpdates) compose(peer string) *wirepb.GatewayNews {
	update := &wirepb.GatewayNews{Name: u.name}
	if config := u.catalog.Config(); config != nil {
		update.ConfigVersion = config.Version
		// Rounded up, so that the evidence never looks newer than it is.
		update.EvidenceMs = u.catalog.ConfigEvidenceAge(bootclock.Now()).Milliseconds() + 1
	}
	update.StoreAnswering = encodeAnswering(u.catalog.StoreAnswering(), bootclock.Now())
	for prefix, version := range u.relays.Newest() {
		update.Newest = append(update.Newest, &wirepb.NewestChange{Prefix: prefix, Version: version})
	}
	update.HoldsOrders = u.weightsManager.HoldsLease()
	for customer, rate := range u.shares.Demand() {
		update.Demands = append(update.Demands, &wirepb.CustomerDemand{Customer: customer, TokensPerSecond: rate})
	}
	now := bootclock.Now()
	for _, engine := range u.weightsManager.RolloutUpdates() {
		note := &wirepb.UpstreamNote{Id: engine.ID, Model: engine.Model, WeightsVersion: engine.Version}
		if engine.Held {
			note.HeldMs, note.TargetVersion = engine.ExpiresAt.Sub(now).Milliseconds(), engine.TargetVersion
		}
		update.Upstreams = append(update.Upstreams, note)
	}
	update.Wanted, update.WantedEarlier = encodeTargetVersions(u.catalog.TargetVersions(), now)
	update.Refused = encodeRefused(u.catalog.RefusedVersions(), now)
	for _, cacheReport := range u.cacheReportsFor(peer) {
		update.Readings = append(update.Readings, &wirepb.PromptReading{
			Upstream: cacheReport.Upstream, Salt: cacheReport.Salt, Parts: cacheReport.Parts,
		})
	}
	update.Poison = encodePoisonReport(u.poison.Report())
	update.Limits = encodeLimits(u.limits.Reports())
	update.RolloutSteps = encodeRolloutUpdates(u.rollouts.Updates())
	if peer == u.weightsManager.Holder() {
		update.RolloutEvidence = encodeRolloutReports(u.rollouts.Reports())
	}
	return update
}

// cacheReportsFor returns this gateway's cache reports that were not yet sent to a
// peer, and counts them as sent.
func (u *peerUpdates) cacheReportsFor(peer string) []balancer.CacheReport {
	u.mu.Lock()
	defer u.mu.Unlock()
	cacheReports, next := u.balancer.CacheReportsSince(u.nextCacheReport[peer])
	u.nextCacheReport[peer] = next
	return cacheReports
}

// apply applies an update of a peer. requestedAt is when this gateway requested it;
// 0 if the peer sent it without a request.
func (u *peerUpdates) apply(update *wirepb.GatewayNews, requestedAt bootclock.Instant) {
	demand := make(share.Demand, len(update.Demands))
	for _, d := range update.Demands {
		demand[d.Customer] = d.TokensPerSecond
	}
	u.shares.UpdatePeerDemand(update.Name, demand)
	u.weightsManager.RecordHolder(update.Name, update.HoldsOrders)
	u.applyEvidence(update, requestedAt)
	if requestedAt != 0 && update.StoreAnswering != nil {
		u.catalog.RecordPeerAnswering(update.Name, decodeAnswering(update.StoreAnswering, requestedAt, bootclock.Now()))
	}
	for _, newest := range update.Newest {
		u.relays.RecordNewest(update.Name, newest.Prefix, newest.Version)
	}
	if update.Poison != nil {
		u.poison.Apply(decodePoisonReport(update.Poison))
	}
	for _, limit := range update.Limits {
		u.limits.Apply(decodeLimit(limit))
	}
	u.applyRollouts(update)
	for _, cacheReport := range update.Readings {
		u.balancer.ApplyCacheReport(balancer.CacheReport{Upstream: cacheReport.Upstream, Salt: cacheReport.Salt, Parts: cacheReport.Parts})
	}
	now := bootclock.Now()
	for _, target := range update.Wanted {
		u.catalog.MergeVersionAge(target.Model, decodeDatedVersion(target, now, false))
	}
	for _, target := range update.WantedEarlier {
		u.catalog.MergeVersionAge(target.Model, decodeDatedVersion(target, now, true))
	}
	for _, refused := range update.Refused {
		u.catalog.RefuseVersion(refused.Model, refused.Version, now.Add(-time.Duration(refused.AgeMs)*time.Millisecond))
	}
	for _, note := range update.Upstreams {
		u.applyUpstreamNote(note, now)
	}
}

// applyRollouts applies a peer's decisions on rollouts of software versions, and what it has
// observed of them.
func (u *peerUpdates) applyRollouts(update *wirepb.GatewayNews) {
	for _, message := range update.RolloutSteps {
		if step, ok := decodeRolloutUpdate(message); ok {
			u.rollouts.ApplyUpdate(&step)
		}
	}
	for _, message := range update.RolloutEvidence {
		u.rollouts.ApplyReport(update.Name, decodeRolloutReport(message))
	}
}

// applyEvidence applies a peer's evidence that a configuration was the newest, if that
// configuration is also in force here. The evidence counts from the instant of the
// request, which lies before the peer's answer.
func (u *peerUpdates) applyEvidence(update *wirepb.GatewayNews, requestedAt bootclock.Instant) {
	config := u.catalog.Config()
	if requestedAt == 0 || config == nil || config.Version != update.ConfigVersion {
		return
	}
	u.catalog.ConfirmConfig(requestedAt.Add(-time.Duration(update.EvidenceMs) * time.Millisecond))
}

// applyUpstreamNote applies what the holder of the orders lease knows of an upstream. A
// hold keeps new requests away until the upstream has the target version. A hold for a
// version that the upstream is already known to have is ignored, since a note can arrive
// later than the report of that version. A note without a hold ends the hold.
func (u *peerUpdates) applyUpstreamNote(note *wirepb.UpstreamNote, now bootclock.Instant) {
	if note.WeightsVersion > 0 {
		u.balancer.RecordVersion(note.Id, note.Model, note.WeightsVersion)
	}
	until := bootclock.Instant(0)
	if note.HeldMs > 0 && u.balancer.Version(note.Id, note.Model) < note.TargetVersion {
		until = now.Add(time.Duration(note.HeldMs) * time.Millisecond)
	}
	u.balancer.HoldUntil(note.Id, until)
}

// encodeTargetVersions encodes the versions of the weights by model, apart for those whose ages are
// known and those whose ages are assumed.
func encodeTargetVersions(targets map[string]catalog.TargetVersion, now bootclock.Instant) (known, assumed []*wirepb.WantedWeights) {
	for model, target := range targets {
		for _, dated := range target.DatedVersions() {
			message := &wirepb.WantedWeights{Model: model, Version: dated.Version, AgeMs: now.Sub(dated.KnownSince).Milliseconds(), Named: !dated.Stated}
			if dated.AgeAssumed {
				assumed = append(assumed, message)
			} else {
				known = append(known, message)
			}
		}
	}
	return known, assumed
}

// decodeDatedVersion decodes a report that arrived at now.
func decodeDatedVersion(message *wirepb.WantedWeights, now bootclock.Instant, ageAssumed bool) catalog.DatedVersion {
	knownSince := now.Add(-time.Duration(message.AgeMs) * time.Millisecond)
	return catalog.DatedVersion{Version: message.Version, KnownSince: knownSince, AgeAssumed: ageAssumed, Stated: !message.Named}
}

// encodeRefused encodes the versions that engines refused to load.
func encodeRefused(refused map[string]map[int64]bootclock.Instant, now bootclock.Instant) []*wirepb.WantedWeights {
	var messages []*wirepb.WantedWeights
	for model, versions := range refused {
		for version, at := range versions {
			messages = append(messages, &wirepb.WantedWeights{Model: model, Version: version, AgeMs: now.Sub(at).Milliseconds()})
		}
	}
	return messages
}

// encodeAnswering encodes when the store answered this gateway; nil if it never did. Both ends
// are rounded so that the time never looks longer than it is.
func encodeAnswering(known catalog.Answering, now bootclock.Instant) *wirepb.StoreAnswering {
	if known.To == 0 {
		return nil
	}
	return &wirepb.StoreAnswering{FromMs: now.Sub(known.From).Milliseconds(), ToMs: now.Sub(known.To).Milliseconds() + 1}
}

// decodeAnswering decodes the report in a reply to a request that was sent at requestedAt and
// arrived at now. The reply was made in between, so the time begins no later than counted
// from now and ends no earlier than counted from requestedAt.
func decodeAnswering(reported *wirepb.StoreAnswering, requestedAt, now bootclock.Instant) catalog.Answering {
	return catalog.Answering{
		From: now.Add(-time.Duration(reported.FromMs) * time.Millisecond),
		To:   requestedAt.Add(-time.Duration(reported.ToMs) * time.Millisecond),
	}
}
