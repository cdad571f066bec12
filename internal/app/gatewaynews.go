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
	name    string
	shares  *share.Manager
	orders  *weights.Manager
	known   *catalog.Catalog
	chooser *balancer.Chooser

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
	news.HoldsOrders = n.orders.Holds()
	for customer, rate := range n.shares.Demand() {
		news.Demands = append(news.Demands, &wirepb.CustomerDemand{Customer: customer, TokensPerSecond: rate})
	}
	now := bootclock.Now()
	for _, note := range n.orders.Notes() {
		told := &wirepb.UpstreamNote{Id: note.ID, Model: note.Model, WeightsVersion: note.Version}
		if note.Held {
			told.HeldMs, told.TargetVersion = note.Until.Sub(now).Milliseconds(), note.Target
		}
		news.Upstreams = append(news.Upstreams, told)
	}
	for model, wanted := range n.known.Models() {
		for _, named := range wanted.Ages() {
			news.Wanted = append(news.Wanted, &wirepb.WantedWeights{
				Model: model, Version: named.Version, AgeMs: now.Sub(named.Known).Milliseconds(),
			})
		}
	}
	for _, reading := range n.readingsFor(peer) {
		news.Readings = append(news.Readings, &wirepb.PromptReading{
			Upstream: reading.Upstream, Salt: reading.Salt, Parts: reading.Parts,
		})
	}
	return news
}

func (n *gatewayNews) readingsFor(peer string) []balancer.Reading {
	n.mu.Lock()
	defer n.mu.Unlock()
	readings, next := n.chooser.Readings(n.told[peer])
	n.told[peer] = next
	return readings
}

func (n *gatewayNews) hear(news *wirepb.GatewayNews, asked bootclock.Instant) {
	demand := make(share.Demand, len(news.Demands))
	for _, d := range news.Demands {
		demand[d.Customer] = d.TokensPerSecond
	}
	n.shares.Hear(news.Name, demand)
	n.orders.HearHolder(news.Name, news.HoldsOrders)
	n.hearEvidence(news, asked)
	for _, reading := range news.Readings {
		n.chooser.Hear(balancer.Reading{Upstream: reading.Upstream, Salt: reading.Salt, Parts: reading.Parts})
	}
	now := bootclock.Now()
	for _, wanted := range news.Wanted {
		known := now.Add(-time.Duration(wanted.AgeMs) * time.Millisecond)
		n.known.Age(wanted.Model, catalog.Named{Version: wanted.Version, Known: known})
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
	n.known.Confirm(asked.Add(-time.Duration(news.EvidenceMs) * time.Millisecond))
}

// hearUpstream takes what the holder of the orders lease knows of an upstream. A
// hold may be told after the version that ends it was learned in another way.
func (n *gatewayNews) hearUpstream(note *wirepb.UpstreamNote, now bootclock.Instant) {
	if note.WeightsVersion > 0 {
		n.chooser.NoteVersion(note.Id, note.Model, note.WeightsVersion)
	}
	until := bootclock.Instant(0)
	if note.HeldMs > 0 && n.chooser.Version(note.Id, note.Model) < note.TargetVersion {
		until = now.Add(time.Duration(note.HeldMs) * time.Millisecond)
	}
	n.chooser.Hold(note.Id, until)
}
