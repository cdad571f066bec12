// Package cachestore follows the stores of cached prompt parts: which parts each
// holds, and whether it answers at all. Engines copy parts from it that no other
// engine is known to hold.
//
// Load pattern: new weights make all cached parts void, and the engines that
// serve then hold fewer parts than are in use. Parts that engines evict within
// seconds stay in the store; but the store may go, and come back empty, and a
// copy from a store that is gone costs more than reading a part again.
package cachestore

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/greengagegate/greengagegate/internal/catalog"
	"github.com/greengagegate/greengagegate/internal/pause"
	"github.com/rs/zerolog"
)

const (
	// wait is how long the store may hold a question.
	wait = time.Second
	// callTimeout bounds a question; a store that does not answer in time counts as gone.
	callTimeout = 1500 * time.Millisecond
	// failurePause is the pause after a question that failed.
	failurePause = 300 * time.Millisecond
	// crowdedPause is the pause after the store refused a question because too
	// many others were waiting.
	crowdedPause = time.Second
	// gatherPause is the pause after an answer for each gateway of the fleet. The
	// store holds few questions at once, and each gateway is to have its turn.
	gatherPause = 60 * time.Millisecond
	// lookEvery is the pause between two looks for a store in the configuration.
	lookEvery = 200 * time.Millisecond
)

// Change says that the store took or dropped a part.
type Change struct {
	Held bool
	Salt string
	Part string
}

// Batch is the answer to a question.
type Batch struct {
	// Epoch tells lives of the store apart.
	Epoch int64
	// Next is where the next question goes on.
	Next    int64
	Changes []Change
	// Crowded says that the store refused the question, but lives.
	Crowded bool
}

// Events asks stores for their changes.
type Events interface {
	// Changes returns what changed after since. It waits for a change, but not
	// longer than wait.
	Changes(ctx context.Context, address string, since int64, wait time.Duration) (Batch, error)
}

// Sink takes what is learned of stores.
type Sink interface {
	// EnableStore names a store that engines may copy from.
	EnableStore(store catalog.CacheStore)
	// DisableStore says that a store can't be used.
	DisableStore(address string)
	// RecordStoredPart says that a store holds a part, or dropped it.
	RecordStoredPart(address, salt, part string, held bool)
	// ClearStore says that a store is empty.
	ClearStore(address string)
}

// Options configures a Manager. All fields are required.
type Options struct {
	Catalog *catalog.Catalog
	Events  Events
	Sink    Sink
	// Gateways returns the number of gateways that follow the store.
	Gateways func() int
	Log      zerolog.Logger
}

// Manager follows the stores that the configuration names.
type Manager struct {
	options Options
	stops   map[catalog.CacheStore]context.CancelFunc
	done    sync.WaitGroup
}

// New returns a manager that follows no store.
func New(options Options) *Manager {
	return &Manager{options: options, stops: make(map[catalog.CacheStore]context.CancelFunc)}
}

// Run follows the stores until ctx ends, with a goroutine for each.
func (m *Manager) Run(ctx context.Context) {
	for ok := true; ok; ok = pause.For(ctx, lookEvery) == nil {
		m.adjust(ctx)
	}
	for _, stop := range m.stops {
		stop()
	}
	m.done.Wait()
}

// adjust starts and stops followers after a change of the configuration.
func (m *Manager) adjust(ctx context.Context) {
	config := m.options.Catalog.Config()
	if config == nil {
		return
	}
	for store, stop := range m.stops {
		if !slices.Contains(config.CacheStores, store) {
			stop()
			delete(m.stops, store)
			m.options.Log.Info().Str("address", store.Address).Msg("cachestore: store no longer configured")
			m.options.Sink.DisableStore(store.Address)
		}
	}
	for _, store := range config.CacheStores {
		if m.stops[store] != nil {
			continue
		}
		followCtx, stop := context.WithCancel(ctx)
		m.stops[store] = stop
		f := &follower{options: m.options, store: store}
		m.done.Go(func() { f.run(followCtx) })
	}
}

// follower follows one store.
type follower struct {
	options Options
	store   catalog.CacheStore
	epoch   int64
	next    int64
	usable  bool
}

func (f *follower) run(ctx context.Context) {
	for ctx.Err() == nil {
		f.ask(ctx)
	}
}

func (f *follower) ask(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	batch, err := f.options.Events.Changes(callCtx, f.store.Address, f.next, wait)
	cancel()
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		f.setUsable(false, err)
		_ = pause.For(ctx, failurePause)
		return
	}
	f.setUsable(true, nil)
	if batch.Crowded {
		_ = pause.For(ctx, crowdedPause)
		return
	}
	if batch.Epoch != f.epoch {
		f.options.Log.Info().Str("address", f.store.Address).Int64("epoch", batch.Epoch).Msg("cachestore: new life of the store")
		f.options.Sink.ClearStore(f.store.Address)
		f.epoch = batch.Epoch
	}
	f.next = batch.Next
	for _, change := range batch.Changes {
		f.options.Sink.RecordStoredPart(f.store.Address, change.Salt, change.Part, change.Held)
	}
	_ = pause.For(ctx, time.Duration(f.options.Gateways())*gatherPause)
}

func (f *follower) setUsable(usable bool, err error) {
	if usable == f.usable {
		return
	}
	f.usable = usable
	if usable {
		f.options.Log.Info().Str("address", f.store.Address).Msg("cachestore: store answers")
		f.options.Sink.EnableStore(f.store)
		return
	}
	f.options.Log.Warn().Err(err).Str("address", f.store.Address).Msg("cachestore: store lost")
	f.options.Sink.DisableStore(f.store.Address)
}
