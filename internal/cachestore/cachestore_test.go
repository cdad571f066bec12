package cachestore

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/greengagegate/greengagegate/internal/catalog"
	"github.com/rs/zerolog"
)

// scriptedEvents returns the results of the functions in answers, in order. After the
// last one, each call waits for the whole wait time and returns no changes.
type scriptedEvents struct {
	mu      sync.Mutex
	answers []func() (Batch, error)
}

func (e *scriptedEvents) Changes(ctx context.Context, _ string, since int64, wait time.Duration) (Batch, error) {
	e.mu.Lock()
	var next func() (Batch, error)
	if len(e.answers) > 0 {
		next, e.answers = e.answers[0], e.answers[1:]
	}
	e.mu.Unlock()
	if next != nil {
		return next()
	}
	select {
	case <-time.After(wait):
		return Batch{Epoch: 2, Next: since}, nil
	case <-ctx.Done():
		return Batch{}, ctx.Err()
	}
}

// recordingSink records its calls as text: "use" for EnableStore, "lost" for
// DisableStore, "empty" for ClearStore, "+" and "-" for RecordStoredPart.
type recordingSink struct {
	mu    sync.Mutex
	calls []string
}

func (s *recordingSink) record(call string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls = append(s.calls, call)
}

// recorded returns a copy of the calls recorded so far.
func (s *recordingSink) recorded() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.calls)
}

func (s *recordingSink) EnableStore(store catalog.CacheStore) { s.record("use " + store.Address) }

func (s *recordingSink) DisableStore(string) { s.record("lost") }

func (s *recordingSink) RecordStoredPart(_, salt, part string, stored bool) {
	if stored {
		s.record("+" + salt + part)
		return
	}
	s.record("-" + salt + part)
}

func (s *recordingSink) ClearStore(string) { s.record("empty") }

// A store fails and comes back as a new, empty incarnation. It must be disabled once for
// consecutive failures, must stay enabled when it refuses a request, and its recorded
// parts must be cleared.
func TestFollowerReportsFailureAndRestartOfStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		events := &scriptedEvents{answers: []func() (Batch, error){
			func() (Batch, error) { return Batch{Epoch: 1, Changes: []Change{{true, "w1", "a"}}}, nil },
			func() (Batch, error) { return Batch{Epoch: 1, Changes: []Change{{false, "w1", "a"}}}, nil },
			func() (Batch, error) { return Batch{}, errors.New("connection refused") },
			func() (Batch, error) { return Batch{}, errors.New("connection refused") },
			func() (Batch, error) { return Batch{Refused: true}, nil },
			func() (Batch, error) { return Batch{Epoch: 2}, nil },
		}}
		cat := catalog.New()
		cat.SetConfig(&catalog.Config{Version: 1, CacheStores: []catalog.CacheStore{{Address: "s"}}})
		sink := &recordingSink{}
		ctx, cancel := context.WithCancel(t.Context())
		go New(Options{Catalog: cat, Events: events, Sink: sink, GatewayCount: func() int { return 5 }, Log: zerolog.Nop()}).Run(ctx)
		time.Sleep(10 * time.Second)
		cancel()
		synctest.Wait()
		want := "use s, empty, +w1a, -w1a, lost, use s, empty"
		if got := strings.Join(sink.calls, ", "); got != want {
			t.Errorf("sink calls %q, want %q", got, want)
		}
	})
}

// Every configured store is enabled, and a store that is removed from the configuration
// is disabled.
func TestConfiguredStoresAreFollowedUntilRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cat := catalog.New()
		stores := []catalog.CacheStore{{Address: "s1"}, {Address: "s2"}, {Address: "s3"}}
		cat.SetConfig(&catalog.Config{Version: 1, CacheStores: stores})
		sink := &recordingSink{}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go New(Options{Catalog: cat, Events: &scriptedEvents{}, Sink: sink, GatewayCount: func() int { return 5 }, Log: zerolog.Nop()}).Run(ctx)
		time.Sleep(10 * time.Second)
		for _, store := range stores {
			if !slices.Contains(sink.recorded(), "use "+store.Address) {
				t.Errorf("%s was not enabled; sink calls: %v", store.Address, sink.recorded())
			}
		}
		cat.SetConfig(&catalog.Config{Version: 2, CacheStores: stores[:2]})
		time.Sleep(10 * time.Second)
		cancel()
		synctest.Wait()
		calls := sink.recorded()
		if got := calls[len(calls)-1]; got != "lost" {
			t.Errorf("last sink call is %q after a store was removed, want %q", got, "lost")
		}
	})
}

// limitedStore is a store that keeps up to 12 requests waiting and refuses the others.
type limitedStore struct {
	mu      sync.Mutex
	pending int
	refused int
	// answers counts the answered requests by gateway.
	answers map[int]int
}

// limitedEvents is the client of one gateway for a limitedStore.
type limitedEvents struct {
	*limitedStore
	gateway int
}

func (e limitedEvents) Changes(ctx context.Context, _ string, since int64, wait time.Duration) (Batch, error) {
	e.mu.Lock()
	if e.pending >= 12 {
		e.refused++
		e.mu.Unlock()
		return Batch{Refused: true}, nil
	}
	e.pending++
	e.mu.Unlock()
	err := sleep(ctx, wait)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.pending--
	e.answers[e.gateway]++
	return Batch{Epoch: 1, Next: since}, err
}

// sleep blocks for d or until ctx ends, and returns the error of ctx in the second case.
func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Each of 26 gateways must get answers from a store that keeps at most 12 requests
// waiting and refuses the others. Without the pause after an answer, the same 12 gateways
// would occupy the store.
func TestAllGatewaysGetAnswersFromCrowdedStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const gateways = 26
		cat := catalog.New()
		cat.SetConfig(&catalog.Config{Version: 1, CacheStores: []catalog.CacheStore{{Address: "s"}}})
		store := &limitedStore{answers: make(map[int]int)}
		ctx, cancel := context.WithCancel(t.Context())
		for i := range gateways {
			manager := New(Options{
				Catalog: cat, Events: limitedEvents{store, i}, Sink: &recordingSink{}, Log: zerolog.Nop(),
				GatewayCount: func() int { return gateways },
			})
			go manager.Run(ctx)
		}
		time.Sleep(30 * time.Second)
		cancel()
		synctest.Wait()
		for i := range gateways {
			if store.answers[i] < 5 {
				t.Errorf("gateway %d got %d answers in 30 s, want at least 5", i, store.answers[i])
			}
		}
	})
}
