package mirror

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/greengagegate/greengagegate/internal/bootclock"
	"github.com/greengagegate/greengagegate/store"
	"github.com/rs/zerolog"
)

// script answers calls in turn; the last answer is repeated.
type script struct {
	mu    sync.Mutex
	calls []string
	polls []func() (store.Changes, error)
	lists int
}

func (s *script) List(context.Context, string) ([]store.Object, int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls = append(s.calls, "list")
	s.lists++
	return []store.Object{{Key: "k/a", Version: 5}}, int64(10 * s.lists), nil
}

func (s *script) Poll(ctx context.Context, _ string, after int64, wait time.Duration) (store.Changes, error) {
	s.mu.Lock()
	s.calls = append(s.calls, "poll")
	var next func() (store.Changes, error)
	if len(s.polls) > 0 {
		next, s.polls = s.polls[0], s.polls[1:]
	}
	s.mu.Unlock()
	if next != nil {
		return next()
	}
	select {
	case <-time.After(wait):
	case <-ctx.Done():
		return store.Changes{}, ctx.Err()
	}
	return store.Changes{Version: after}, nil
}

// recorder is a sink that writes down what it is told.
type recorder struct {
	mu    sync.Mutex
	notes []string
}

func (r *recorder) note(text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.notes = append(r.notes, text)
}

func (r *recorder) Replace(objects []store.Object) { r.note("replace " + objects[0].Key) }
func (r *recorder) Apply(objects []store.Object)   { r.note("apply " + objects[0].Key) }
func (r *recorder) Confirm(bootclock.Instant)      { r.note("confirm") }
func (r *recorder) Interrupted()                   { r.note("interrupted") }

func TestMirrorFollowsThroughFailuresAndLostHistory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		backend := &script{polls: []func() (store.Changes, error){
			func() (store.Changes, error) {
				return store.Changes{Objects: []store.Object{{Key: "k/b"}}, Version: 12}, nil
			},
			func() (store.Changes, error) { return store.Changes{}, store.ErrUnavailable },
			func() (store.Changes, error) { return store.Changes{}, errors.Join(store.ErrCompacted) },
		}}
		sink := &recorder{}
		ctx, cancel := context.WithCancel(t.Context())
		m := New(Options{Store: backend, Prefix: "k/", Sink: sink, Wait: time.Second, Log: zerolog.Nop()})
		go m.Run(ctx)
		time.Sleep(5 * time.Second)
		cancel()
		synctest.Wait()
		want := []string{"replace k/a", "confirm", "apply k/b", "confirm", "interrupted", "replace k/a", "confirm", "confirm"}
		if len(sink.notes) < len(want) {
			t.Fatalf("told %v", sink.notes)
		}
		for i, note := range want {
			if sink.notes[i] != note {
				t.Fatalf("told %v, want %v", sink.notes, want)
			}
		}
		if backend.lists != 2 {
			t.Errorf("%d lists, want 2", backend.lists)
		}
	})
}

func TestMirrorPausesBetweenFailures(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		backend := &script{}
		for range 1000 {
			backend.polls = append(backend.polls, func() (store.Changes, error) { return store.Changes{}, store.ErrUnavailable })
		}
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		New(Options{Store: backend, Prefix: "k/", Sink: &recorder{}, Wait: time.Second, Log: zerolog.Nop()}).Run(ctx)
		if calls := len(backend.calls); calls < 20 || calls > 80 {
			t.Errorf("%d calls in 10 s of outage", calls)
		}
	})
}
