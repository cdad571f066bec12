package outage

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/greengagegate/greengagegate/internal/bootclock"
	"github.com/greengagegate/greengagegate/store"
	"github.com/rs/zerolog"
)

// openStore leaves polls open, and answers other calls with err.
type openStore struct {
	Store
	err error
}

func (s *openStore) Poll(ctx context.Context, _ string, _ int64, _ time.Duration) (store.Changes, error) {
	<-ctx.Done()
	return store.Changes{}, errors.Join(store.ErrUnavailable, store.ErrNoResponse, ctx.Err())
}

func (s *openStore) Get(context.Context, string) (store.Object, error) { return store.Object{}, s.err }

// Guards against polls that stay open without a response after an outage (DRAIN, VERSION), and
// against polls that are given up so soon that a late response is missed.
func TestPollEndsAfterOutageWithinTheMargin(t *testing.T) {
	next := &openStore{}
	guard := NewGuard(next, zerolog.Nop())
	sentAt := bootclock.Now()
	polled := make(chan error, 1)
	go func() {
		_, err := guard.Poll(t.Context(), "k/", 1, time.Minute)
		polled <- err
	}()
	time.Sleep(100 * time.Millisecond)
	for _, next.err = range []error{errors.Join(store.ErrUnavailable, store.ErrNoResponse), nil} {
		_, _ = guard.Get(t.Context(), "k/a")
	}
	select {
	case err := <-polled:
		if took := bootclock.Since(sentAt); !errors.Is(err, store.ErrPollLost) || took < store.ResponseMargin {
			t.Errorf("poll ended after %v with %v, want store.ErrPollLost after %v", took, err, store.ResponseMargin)
		}
	case <-time.After(2 * store.ResponseMargin):
		t.Error("poll is still open")
	}
}

// Only a missing response is a failure: refusals show that the path to the store works, and calls
// that the caller gave up, or that were not sent, show nothing.
func TestOutcomesOfCalls(t *testing.T) {
	canceled, cancel := context.WithCancel(t.Context())
	cancel()
	for name, test := range map[string]struct {
		ctx              context.Context
		err              error
		answered, failed bool
	}{
		"success":      {ctx: t.Context(), answered: true},
		"not found":    {ctx: t.Context(), err: store.ErrNotFound, answered: true},
		"refused":      {ctx: t.Context(), err: store.ErrUnavailable, answered: true},
		"no response":  {ctx: t.Context(), err: errors.Join(store.ErrUnavailable, store.ErrNoResponse), failed: true},
		"given up":     {ctx: canceled, err: errors.Join(store.ErrUnavailable, store.ErrNoResponse)},
		"ended era":    {ctx: t.Context(), err: errors.Join(store.ErrConflict, store.ErrEraEnded)},
		"unknown kind": {ctx: t.Context(), err: errors.New("status 400"), answered: true},
	} {
		t.Run(name, func(t *testing.T) {
			guard := NewGuard(&openStore{err: test.err}, zerolog.Nop())
			_, _ = guard.Get(test.ctx, "k/a")
			if calls := guard.tracker.Calls(); calls.AnsweredAt != 0 != test.answered || calls.FailedAt != 0 != test.failed {
				t.Errorf("recorded %+v, want answered %v, failed %v", calls, test.answered, test.failed)
			}
		})
	}
}
