package app

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/greengagegate/greengagegate/internal/bootclock"
	"github.com/greengagegate/greengagegate/internal/catalog"
	"github.com/greengagegate/greengagegate/internal/mirror"
	"github.com/greengagegate/greengagegate/internal/pause"
	"github.com/greengagegate/greengagegate/store"
	"github.com/rs/zerolog"
)

const (
	// evidenceRefreshAge is the age of the evidence at which the gateway of rank 0
	// queries the store.
	evidenceRefreshAge = time.Second
	// evidenceRankDelay is added to evidenceRefreshAge for each rank, at most
	// maxEvidenceRankDelays times. A gateway usually receives the evidence of one with
	// a lower rank within this delay and need not query the store itself.
	evidenceRankDelay     = 300 * time.Millisecond
	maxEvidenceRankDelays = 3
	// evidenceCheckInterval is the pause between two checks of the age.
	evidenceCheckInterval = 100 * time.Millisecond
	// evidenceQueryTimeout bounds a query to the store.
	evidenceQueryTimeout = 700 * time.Millisecond
)

// gatewayRank is the index of this gateway among all gateways, sorted by name. It is
// safe for concurrent use.
type gatewayRank struct{ index atomic.Int64 }

// set computes the rank from the names of this gateway and its peers.
func (r *gatewayRank) set(own string, peers []string) {
	index := int64(0)
	for _, peer := range peers {
		if peer < own {
			index++
		}
	}
	r.index.Store(index)
}

// shortWaitGateways is the number of gateways, the first by rank, whose polls wait shortly after a
// change. The others learn from them that they are behind.
const shortWaitGateways = 2

// pollsShortly reports whether this gateway is one of shortWaitGateways.
func (r *gatewayRank) pollsShortly() bool { return r.index.Load() < shortWaitGateways }

// evidenceRefresher queries the store for the configuration when neither the store
// nor a peer has confirmed for some time that the current configuration is the newest.
// Gateways query in the order of their ranks, which keeps the load on the store low.
type evidenceRefresher struct {
	store   store.Store
	key     string
	sink    mirror.Sink
	catalog *catalog.Catalog
	rank    *gatewayRank
	log     zerolog.Logger
	failing bool
}

// run checks the age of the evidence periodically and refreshes it until ctx ends.
func (r *evidenceRefresher) run(ctx context.Context) {
	for pause.For(ctx, evidenceCheckInterval) == nil {
		refreshAge := evidenceRefreshAge + time.Duration(min(r.rank.index.Load(), maxEvidenceRankDelays))*evidenceRankDelay
		if r.catalog.Config() == nil || r.catalog.ConfigEvidenceAge(bootclock.Now()) < refreshAge {
			continue
		}
		r.refresh(ctx)
	}
}

// refresh reads the configuration from the store and passes it to the sink. The
// evidence counts from before the query. The change between failure and success is
// logged.
func (r *evidenceRefresher) refresh(ctx context.Context) {
	queriedAt := bootclock.Now()
	ctx, cancel := context.WithTimeout(ctx, evidenceQueryTimeout)
	defer cancel()
	object, err := r.store.Get(ctx, r.key)
	if (err != nil) != r.failing {
		r.failing = err != nil
		r.log.Warn().Err(err).Bool("lost", r.failing).Dur("evidence_ms", r.catalog.ConfigEvidenceAge(queriedAt)).Msg("app: reading the configuration from the store fails (lost is true) or succeeds again; while no gateway can read it, keys are refused once the evidence is too old")
	}
	if err != nil {
		r.sink.MarkUnreachable()
		_ = pause.For(ctx, evidenceCheckInterval)
		return
	}
	r.sink.Apply([]store.Object{object})
	r.sink.Confirm(queriedAt)
}
