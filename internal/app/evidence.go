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
	// evidenceAge is the age of evidence at which the first gateway asks the store.
	evidenceAge = time.Second
	// evidenceStep is how much older it gets until the next one asks, up to
	// evidenceSteps. Usually the first one's evidence reaches the others before.
	evidenceStep  = 300 * time.Millisecond
	evidenceSteps = 3
	// evidenceLook is the pause between two looks at the age.
	evidenceLook = 100 * time.Millisecond
	// evidenceTimeout bounds a question.
	evidenceTimeout = 700 * time.Millisecond
)

// rank is this gateway's place among all by name.
type rank struct{ place atomic.Int64 }

func (r *rank) set(own string, others []string) {
	place := int64(0)
	for _, other := range others {
		if other < own {
			place++
		}
	}
	r.place.Store(place)
}

// evidenceKeeper asks the store for the configuration when nothing else, neither
// an answer of the store nor of a peer, has shown for a while that the one in
// force is the newest.
type evidenceKeeper struct {
	store store.Store
	key   string
	sink  mirror.Sink
	known *catalog.Catalog
	rank  *rank
	log   zerolog.Logger
	lost  bool
}

// run keeps the evidence until ctx ends.
func (k *evidenceKeeper) run(ctx context.Context) {
	for pause.For(ctx, evidenceLook) == nil {
		patience := evidenceAge + time.Duration(min(k.rank.place.Load(), evidenceSteps))*evidenceStep
		if k.known.Config() == nil || k.known.EvidenceAge(bootclock.Now()) < patience {
			continue
		}
		k.ask(ctx)
	}
}

func (k *evidenceKeeper) ask(ctx context.Context) {
	asked := bootclock.Now()
	ctx, cancel := context.WithTimeout(ctx, evidenceTimeout)
	defer cancel()
	object, err := k.store.Get(ctx, k.key)
	if (err != nil) != k.lost {
		k.lost = err != nil
		k.log.Warn().Err(err).Bool("lost", k.lost).Dur("evidence_ms", k.known.EvidenceAge(asked)).Msg("app: evidence for withdrawn keys")
	}
	if err != nil {
		k.sink.Interrupted()
		_ = pause.For(ctx, evidenceLook)
		return
	}
	k.sink.Apply([]store.Object{object})
	k.sink.Confirm(asked)
}
