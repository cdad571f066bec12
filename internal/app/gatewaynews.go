package app

import (
	"time"

	"github.com/greengagegate/greengagegate/internal/bootclock"
	"github.com/greengagegate/greengagegate/internal/catalog"
	"github.com/greengagegate/greengagegate/internal/share"
	"github.com/greengagegate/greengagegate/internal/steer"
	"github.com/greengagegate/greengagegate/internal/weights"
	"github.com/greengagegate/greengagegate/internal/wire/wirepb"
)

// gatewayNews composes what a gateway tells its peers, and takes what they tell.
type gatewayNews struct {
	name    string
	shares  *share.Manager
	orders  *weights.Manager
	known   *catalog.Catalog
	chooser *steer.Chooser
}

func (n *gatewayNews) compose() *wirepb.GatewayNews {
	news := &wirepb.GatewayNews{Name: n.name}
	if config := n.known.Config(); config != nil {
		news.ConfigVersion = config.Version
	}
	for customer, rate := range n.shares.Demand() {
		news.Demands = append(news.Demands, &wirepb.CustomerDemand{Customer: customer, TokensPerSecond: rate})
	}
	now := bootclock.Now()
	for _, note := range n.orders.Notes() {
		held := int64(0)
		if note.Version == 0 {
			held = note.Until.Sub(now).Milliseconds()
		}
		news.Upstreams = append(news.Upstreams, &wirepb.UpstreamNote{
			Id: note.ID, Model: note.Model, WeightsVersion: note.Version, HeldMs: held,
		})
	}
	return news
}

func (n *gatewayNews) hear(news *wirepb.GatewayNews) {
	demand := make(share.Demand, len(news.Demands))
	for _, d := range news.Demands {
		demand[d.Customer] = d.TokensPerSecond
	}
	n.shares.Hear(news.Name, demand)
	now := bootclock.Now()
	for _, note := range news.Upstreams {
		if note.WeightsVersion > 0 {
			n.chooser.NoteVersion(note.Id, note.Model, note.WeightsVersion)
		}
		if note.HeldMs > 0 {
			n.chooser.Hold(note.Id, now.Add(time.Duration(note.HeldMs)*time.Millisecond))
		}
	}
}
