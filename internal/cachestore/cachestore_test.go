package cachestore

import (
	"context"
	"errors"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/greengagegate/greengagegate/internal/catalog"
	"github.com/rs/zerolog"
)

// answers gives batches in turn, then waits.
type answers struct {
	mu   sync.Mutex
	next []func() (Batch, error)
}

func (a *answers) Changes(ctx context.Context, _ string, since int64, wait time.Duration) (Batch, error) {
	a.mu.Lock()
	var next func() (Batch, error)
	if len(a.next) > 0 {
		next, a.next = a.next[0], a.next[1:]
	}
	a.mu.Unlock()
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

type notes struct {
	mu   sync.Mutex
	list []string
}

func (n *notes) add(text string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.list = append(n.list, text)
}

func (n *notes) UseStore(store *catalog.CacheStore) {
	if store == nil {
		n.add("lost")
		return
	}
	n.add("use " + store.Address)
}

func (n *notes) NoteStored(salt, part string, held bool) {
	if held {
		n.add("+" + salt + part)
		return
	}
	n.add("-" + salt + part)
}

func (n *notes) ForgetStored() { n.add("empty") }

func TestFollowerNoticesLossAndNewLife(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &answers{next: []func() (Batch, error){
			func() (Batch, error) { return Batch{Epoch: 1, Changes: []Change{{true, "w1", "a"}}}, nil },
			func() (Batch, error) { return Batch{Epoch: 1, Changes: []Change{{false, "w1", "a"}}}, nil },
			func() (Batch, error) { return Batch{}, errors.New("connection refused") },
			func() (Batch, error) { return Batch{}, errors.New("connection refused") },
			func() (Batch, error) { return Batch{Crowded: true}, nil },
			func() (Batch, error) { return Batch{Epoch: 2}, nil },
		}}
		known := catalog.New()
		known.SetConfig(&catalog.Config{Version: 1, CacheStores: []catalog.CacheStore{{Address: "s"}}})
		sink := &notes{}
		ctx, cancel := context.WithCancel(t.Context())
		go New(Options{Catalog: known, Events: source, Sink: sink, Log: zerolog.Nop()}).Run(ctx)
		time.Sleep(10 * time.Second)
		cancel()
		synctest.Wait()
		want := "empty, +w1a, use s, -w1a, lost, use s, empty"
		if got := strings.Join(sink.list, ", "); got != want {
			t.Errorf("told %q, want %q", got, want)
		}
	})
}
