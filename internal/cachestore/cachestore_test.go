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

// told returns what was told so far.
func (n *notes) told() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Clone(n.list)
}

func (n *notes) EnableStore(store catalog.CacheStore) { n.add("use " + store.Address) }

func (n *notes) DisableStore(string) { n.add("lost") }

func (n *notes) RecordStoredPart(_, salt, part string, held bool) {
	if held {
		n.add("+" + salt + part)
		return
	}
	n.add("-" + salt + part)
}

func (n *notes) ClearStore(string) { n.add("empty") }

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
		go New(Options{Catalog: known, Events: source, Sink: sink, Gateways: func() int { return 5 }, Log: zerolog.Nop()}).Run(ctx)
		time.Sleep(10 * time.Second)
		cancel()
		synctest.Wait()
		want := "use s, empty, +w1a, -w1a, lost, use s, empty"
		if got := strings.Join(sink.list, ", "); got != want {
			t.Errorf("told %q, want %q", got, want)
		}
	})
}

// Each store of the configuration is followed, and left when it is no longer there.
func TestAllConfiguredStoresAreFollowed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		known := catalog.New()
		stores := []catalog.CacheStore{{Address: "s1"}, {Address: "s2"}, {Address: "s3"}}
		known.SetConfig(&catalog.Config{Version: 1, CacheStores: stores})
		sink := &notes{}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go New(Options{Catalog: known, Events: &answers{}, Sink: sink, Gateways: func() int { return 5 }, Log: zerolog.Nop()}).Run(ctx)
		time.Sleep(10 * time.Second)
		for _, store := range stores {
			if !slices.Contains(sink.told(), "use "+store.Address) {
				t.Errorf("%s is not used: %v", store.Address, sink.told())
			}
		}
		known.SetConfig(&catalog.Config{Version: 2, CacheStores: stores[:2]})
		time.Sleep(10 * time.Second)
		cancel()
		synctest.Wait()
		told := sink.told()
		if got := told[len(told)-1]; got != "lost" {
			t.Errorf("told %q after a store was taken away, want %q", got, "lost")
		}
	})
}

// crowd is a store that holds few questions at once and refuses the others.
type crowd struct {
	mu      sync.Mutex
	waiting int
	refused int
	heard   map[int]int
}

// asker is one gateway's view of a crowd.
type asker struct {
	*crowd
	number int
}

func (a asker) Changes(ctx context.Context, _ string, since int64, wait time.Duration) (Batch, error) {
	a.mu.Lock()
	if a.waiting >= 12 {
		a.refused++
		a.mu.Unlock()
		return Batch{Crowded: true}, nil
	}
	a.waiting++
	a.mu.Unlock()
	err := pauseIn(ctx, wait)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.waiting--
	a.heard[a.number]++
	return Batch{Epoch: 1, Next: since}, err
}

func pauseIn(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Many gateways before a store that holds 12 questions: each has its turn.
func TestEachGatewayOfManyHearsTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const gateways = 26
		known := catalog.New()
		known.SetConfig(&catalog.Config{Version: 1, CacheStores: []catalog.CacheStore{{Address: "s"}}})
		c := &crowd{heard: make(map[int]int)}
		ctx, cancel := context.WithCancel(t.Context())
		for i := range gateways {
			f := New(Options{
				Catalog: known, Events: asker{c, i}, Sink: &notes{}, Log: zerolog.Nop(),
				Gateways: func() int { return gateways },
			})
			go f.Run(ctx)
		}
		time.Sleep(30 * time.Second)
		cancel()
		synctest.Wait()
		for i := range gateways {
			if c.heard[i] < 5 {
				t.Errorf("gateway %d heard the store %d times in 30 s", i, c.heard[i])
			}
		}
	})
}
