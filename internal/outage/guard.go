package outage

import (
	"context"
	"errors"
	"time"

	"github.com/greengagegate/greengagegate/internal/bootclock"
	"github.com/greengagegate/greengagegate/internal/contain"
	"github.com/greengagegate/greengagegate/internal/fault"
	"github.com/greengagegate/greengagegate/internal/metrics"
	"github.com/greengagegate/greengagegate/internal/pause"
	"github.com/greengagegate/greengagegate/store"
	"github.com/rs/zerolog"
)

// Store is a platform's store that also reports changes by long polls.
type Store interface {
	store.Store
	store.Poller
	store.StatusWriter
	// Probe makes a cheap call to test the path to the store. The response may be stale.
	Probe(ctx context.Context) error
}

// Guard passes calls on to a store and records which are answered. It ends a poll with
// store.ErrPollLost when an outage may have lost it. Watch is passed on unchanged. It implements
// Store and store.EraSource.
type Guard struct {
	Store
	tracker Tracker
	log     zerolog.Logger
}

var (
	_ Store           = (*Guard)(nil)
	_ store.EraSource = (*Guard)(nil)
)

// NewGuard returns a Guard of a store whose errors wrap store.ErrNoResponse as the package store
// specifies.
func NewGuard(next Store, log zerolog.Logger) *Guard { return &Guard{Store: next, log: log} }

// record records the outcome of a call that was sent at an instant. A call that the caller gave up
// shows nothing, nor does one of an era that has ended, which drivers may fail without sending it.
func (g *Guard) record(ctx context.Context, sentAt bootclock.Instant, err error) {
	ended := false
	switch {
	case errors.Is(ctx.Err(), context.Canceled), errors.Is(err, store.ErrEraEnded):
		return
	case errors.Is(err, store.ErrNoResponse):
		ended = g.tracker.RecordFailure(sentAt)
	default:
		ended = g.tracker.RecordAnswer(sentAt)
	}
	if ended {
		calls, now := g.tracker.Calls(), bootclock.Now()
		g.log.Info().Dur("failed_ms", now.Sub(calls.FailedAt)).Dur("answered_ms", now.Sub(calls.AnsweredAt)).
			Msg("outage: the store answers again; open polls that were sent before may be lost and are sent again")
	}
}

// Era implements store.EraSource.
func (g *Guard) Era() int64 { return store.CurrentEra(g.Store) }

// Get implements store.Store.
func (g *Guard) Get(ctx context.Context, key string) (store.Object, error) {
	sentAt := bootclock.Now()
	object, err := g.Store.Get(ctx, key)
	g.record(ctx, sentAt, err)
	return object, err
}

// List implements store.Store.
func (g *Guard) List(ctx context.Context, prefix string) ([]store.Object, int64, error) {
	sentAt := bootclock.Now()
	objects, version, err := g.Store.List(ctx, prefix)
	g.record(ctx, sentAt, err)
	return objects, version, err
}

// Put implements store.Store.
func (g *Guard) Put(ctx context.Context, key string, value []byte, expected int64) (int64, error) {
	sentAt := bootclock.Now()
	version, err := g.Store.Put(ctx, key, value, expected)
	g.record(ctx, sentAt, err)
	return version, err
}

// PutStatus implements store.StatusWriter.
func (g *Guard) PutStatus(ctx context.Context, key string, status []byte, expected int64) (int64, error) {
	sentAt := bootclock.Now()
	version, err := g.Store.PutStatus(ctx, key, status, expected)
	g.record(ctx, sentAt, err)
	return version, err
}

// Delete implements store.Store.
func (g *Guard) Delete(ctx context.Context, key string, expected int64) error {
	sentAt := bootclock.Now()
	err := g.Store.Delete(ctx, key, expected)
	g.record(ctx, sentAt, err)
	return err
}

// Probe implements Store.
func (g *Guard) Probe(ctx context.Context) error {
	sentAt := bootclock.Now()
	err := g.Store.Probe(ctx)
	g.record(ctx, sentAt, err)
	return err
}

// Poll implements store.Poller. It returns store.ErrPollLost when an outage may have lost the poll,
// but not before store.ResponseMargin has passed, within which a response may still arrive.
func (g *Guard) Poll(ctx context.Context, prefix string, after int64, wait time.Duration) (store.Changes, error) {
	sentAt := bootclock.Now()
	pollCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go func() {
		defer contain.Panics(g.log, "outage", prefix)
		if g.awaitLoss(pollCtx, sentAt) == nil {
			cancel(store.ErrPollLost)
		}
	}()
	changes, err := g.Store.Poll(pollCtx, prefix, after, wait)
	if err != nil && errors.Is(context.Cause(pollCtx), store.ErrPollLost) {
		g.noteLoss(prefix, sentAt)
		return store.Changes{}, fault.Wrap(store.ErrPollLost, "poll", prefix)
	}
	g.record(ctx, sentAt, err)
	return changes, err
}

// awaitLoss blocks until a poll that was sent at an instant has to be given up, or ctx ends, and
// returns the error of ctx then.
func (g *Guard) awaitLoss(ctx context.Context, sentAt bootclock.Instant) error {
	for {
		lost, ended := g.tracker.MayBeLost(sentAt)
		if lost {
			return pause.For(ctx, store.ResponseMargin-bootclock.Since(sentAt))
		}
		select {
		case <-ended:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// noteLoss logs and counts a poll that was given up.
func (g *Guard) noteLoss(prefix string, sentAt bootclock.Instant) {
	metrics.Counter("store.polls_lost", "prefix", prefix).Inc(1)
	calls, now := g.tracker.Calls(), bootclock.Now()
	g.log.Info().Str("prefix", prefix).Dur("poll_ms", now.Sub(sentAt)).
		Dur("failed_ms", now.Sub(calls.FailedAt)).Dur("answered_ms", now.Sub(calls.AnsweredAt)).
		Msg("outage: a poll has been open since before the store answered again; sending it again")
}
