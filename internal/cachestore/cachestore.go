// Package cachestore follows the store of cached prompt parts: which parts it
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

// Sink takes what is learned of the store. A nil store means that none can be used.
type Sink interface {
	// UseStore names the store that engines may copy from.
	UseStore(store *catalog.CacheStore)
	// NoteStored says that the store holds a part, or dropped it.
	NoteStored(salt, part string, held bool)
	// ForgetStored says that the store is empty.
	ForgetStored()
}

// Options configures a Follower. All fields are required.
type Options struct {
	Catalog *catalog.Catalog
	Events  Events
	Sink    Sink
	// Gateways returns the number of gateways that follow the store.
	Gateways func() int
	Log      zerolog.Logger
}

// Follower follows the store that the configuration names.
type Follower struct {
	options Options
	store   *catalog.CacheStore
	epoch   int64
	next    int64
	usable  bool
}

// New returns a follower of no store.
func New(options Options) *Follower { return &Follower{options: options} }

// Run follows the store until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		store := f.configured()
		if store == nil {
			f.setUsable(false, nil)
			_ = pause.For(ctx, lookEvery)
			continue
		}
		if f.store == nil || *f.store != *store {
			f.store, f.epoch, f.next = store, 0, 0
			f.setUsable(false, nil)
		}
		f.ask(ctx)
	}
}

func (f *Follower) configured() *catalog.CacheStore {
	config := f.options.Catalog.Config()
	if config == nil || len(config.CacheStores) == 0 {
		return nil
	}
	return &config.CacheStores[0]
}

func (f *Follower) ask(ctx context.Context) {
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
	if batch.Crowded {
		f.setUsable(true, nil)
		_ = pause.For(ctx, crowdedPause)
		return
	}
	if batch.Epoch != f.epoch {
		f.options.Log.Info().Str("address", f.store.Address).Int64("epoch", batch.Epoch).Msg("cachestore: new life of the store")
		f.options.Sink.ForgetStored()
		f.epoch = batch.Epoch
	}
	f.next = batch.Next
	for _, change := range batch.Changes {
		f.options.Sink.NoteStored(change.Salt, change.Part, change.Held)
	}
	f.setUsable(true, nil)
	_ = pause.For(ctx, time.Duration(f.options.Gateways())*gatherPause)
}

func (f *Follower) setUsable(usable bool, err error) {
	if usable == f.usable {
		return
	}
	f.usable = usable
	if usable {
		f.options.Log.Info().Str("address", f.store.Address).Msg("cachestore: store answers")
		f.options.Sink.UseStore(f.store)
		return
	}
	f.options.Log.Warn().Err(err).Msg("cachestore: store lost")
	f.options.Sink.UseStore(nil)
}
