package app

import (
	"context"

	"github.com/greengagegate/greengagegate/internal/balancer"
	"github.com/greengagegate/greengagegate/internal/catalog"
	"github.com/greengagegate/greengagegate/internal/node"
	"github.com/greengagegate/greengagegate/internal/origin"
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
	"github.com/greengagegate/greengagegate/internal/weights"
	"github.com/rs/zerolog"
	"go.uber.org/fx"
)

// This file constructs what a gateway has in common with the other gateways.

func newPeering(
	s *GatewaySettings,
	n *node.Node,
	shares *share.Manager,
	weightsManager *weights.Manager,
	platformCatalog *catalog.Catalog,
	upstreamBalancer *balancer.Balancer,
	poisonTracker *poison.Tracker,
	limits *ratelimit.Tracker,
	rollouts *rollout.Manager,
	relays *relay.Manager,
	log zerolog.Logger,
) *peering.Manager {
	updates := &peerUpdates{
		name: s.Identity.Name, shares: shares, weightsManager: weightsManager, catalog: platformCatalog, balancer: upstreamBalancer,
		poison: poisonTracker, limits: limits, rollouts: rollouts, relays: relays, nextCacheReport: make(map[string]uint64),
	}
	manager := peering.New(peering.Options{Name: s.Identity.Name, Pool: n.Pool, Update: updates.compose, OnUpdate: updates.apply, Log: log})
	weightsManager.OnUpdate(manager.SendNow)
	limits.OnChange(manager.SendNow)
	rollouts.OnUpdate(manager.SendNow)
	return manager
}

func newShareLink(n *node.Node, platformCatalog *catalog.Catalog, shares *share.Manager, peerManager *peering.Manager, log zerolog.Logger) *sharelink.Link {
	link := sharelink.New(sharelink.Options{Gateways: peerManager, Catalog: platformCatalog, Shares: shares, Log: log})
	link.Register(n.Server)
	return link
}

func newRoster(
	s *GatewaySettings,
	st PolledStore,
	n *node.Node,
	peerManager *peering.Manager,
	shares *share.Manager,
	upstreamBalancer *balancer.Balancer,
	sharedBudget *retry.SharedBudget,
	ownRank *gatewayRank,
	relayManager *relay.Manager,
	log zerolog.Logger,
) *roster.Roster {
	onChange := func(peers []peering.Peer) {
		peerManager.SetPeers(peers)
		relayManager.SetPeers(peers)
		peerNames := make([]string, len(peers))
		for i, peer := range peers {
			peerNames[i] = peer.Name
		}
		ownRank.set(s.Identity.Name, peerNames)
		shares.SetPeers(peerNames)
		upstreamBalancer.SetGatewayCount(1 + len(peers))
		sharedBudget.SetSlack(s.Bounds.RetrySlack * slackFraction / float64(1+len(peers)))
	}
	r := roster.New(roster.Options{
		Store: st, Name: s.Identity.Name, Address: n.Address, Zone: s.Identity.Zone, OnChange: onChange, Log: log,
	})
	peerManager.OnContact(r.RecordContact)
	relayManager.SetContacts(r.TimeSinceContact)
	return r
}

func newRelay(s *GatewaySettings, st PolledStore, n *node.Node, log zerolog.Logger) *relay.Manager {
	manager := relay.New(relay.Options{
		Name: s.Identity.Name, Zone: s.Identity.Zone, Store: st, Probe: st.Probe, Pool: n.Pool, Log: log,
	})
	manager.Register(n.Server)
	return manager
}

func newPermits(s *GatewaySettings, n *node.Node, peerManager *peering.Manager, r *roster.Roster, log zerolog.Logger) *permit.Manager {
	manager := permit.New(permit.Options{Name: s.Identity.Name, Gateways: peerManager, Silences: r.TimeSinceContact, Log: log})
	manager.Register(n.Server)
	return manager
}

func newOrigins(lifecycle fx.Lifecycle, s *GatewaySettings, n *node.Node, platformCatalog *catalog.Catalog, versions *versionsReader, peerManager *peering.Manager, r *roster.Roster, log zerolog.Logger) *origin.Manager {
	manager := origin.New(origin.Options{
		Gateways: peerManager, Catalog: platformCatalog, Versions: versions, Silences: r.TimeSinceContact, FirstStart: s.Start.First, Log: log,
	})
	manager.Register(n.Server)
	appendHook(lifecycle, func(context.Context) error { return nil }, func(context.Context) error {
		manager.Close()
		return nil
	})
	return manager
}
