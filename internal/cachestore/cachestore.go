// Package cachestore follows the stores of cached prompt parts: it tracks which parts
// each store holds and whether the store answers. Engines copy parts from a store when it
// is known to hold more of a prompt than the other engines do.
//
// Load pattern: loading new weights invalidates all cached parts, and the engines that
// serve afterwards hold fewer parts than are in use. An engine evicts parts within
// seconds; a store keeps them. A store may also fail and come back empty, and a copy from
// a store that does not answer costs more than a prefill of the part.
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
	// longPollWait is how long a store may hold a request open while nothing changes.
	longPollWait = time.Second
	// requestTimeout bounds a request for changes. A store that does not answer in time
	// is disabled.
	requestTimeout = 1500 * time.Millisecond
	// retryPause is the pause after a failed request.
	retryPause = 300 * time.Millisecond
	// refusalPause is the pause after a store refused a request because too many other
	// requests were waiting at it.
	refusalPause = time.Second
	// pausePerGateway, multiplied by the number of gateways, is the pause after an
	// answer. A store holds few requests open at once, and the pause lets every gateway
	// get answers.
	pausePerGateway = 60 * time.Millisecond
	// configCheckInterval is the pause between two checks of the configuration for added
	// and removed stores.
	configCheckInterval = 200 * time.Millisecond
)

// Change is the addition or removal of a part at a store.
type Change struct {
	// Stored is true when the store added the part and false when it removed the part.
	Stored bool
	// Salt is the prefix of the part's cache key. It separates parts of the same prompt
	// text that must not be shared, such as those of different weights.
	Salt string
	// Part is the id of the part.
	Part string
}

// Batch is the answer to a request for changes.
type Batch struct {
	// Epoch identifies the incarnation of the store.
	Epoch int64
	// Next is to be passed as since in the next request.
	Next    int64
	Changes []Change
	// Refused is true when the store answers but refused the request because too many
	// others were waiting. The other fields are not used then.
	Refused bool
}

// Events requests changes from stores.
type Events interface {
	// Changes returns the changes of the store at address that came after since, which is
	// the Batch.Next of an earlier call, or 0 for all changes. A Batch.Epoch other than
	// that of the earlier call means that since belongs to an earlier incarnation of the
	// store. Changes blocks until there is a change, but no longer than wait.
	Changes(ctx context.Context, address string, since int64, wait time.Duration) (Batch, error)
}

// Sink receives the state of the stores. Its methods are called concurrently for
// different stores.
type Sink interface {
	// EnableStore is called when a request to a store succeeds or is refused while the
	// store is not enabled; engines may copy from it from then on.
	EnableStore(store catalog.CacheStore)
	// DisableStore is called when a request to an enabled store fails, and when a store
	// is no longer configured.
	DisableStore(address string)
	// RecordStoredPart is called when a store has added a part (stored is true) or
	// removed it.
	RecordStoredPart(address, salt, part string, stored bool)
	// ClearStore is called at the first answer of an incarnation of a store, before its
	// changes are recorded.
	ClearStore(address string)
}

// Options configures a Manager. All fields are required.
type Options struct {
	Catalog *catalog.Catalog
	Events  Events
	Sink    Sink
	// GatewayCount returns the number of gateways that follow the stores, this one included.
	GatewayCount func() int
	Log          zerolog.Logger
}

// Manager follows the configured stores. Run must be called at most once.
type Manager struct {
	options     Options
	stopByStore map[catalog.CacheStore]context.CancelFunc
	followers   sync.WaitGroup
}

// New returns a manager that follows no store until Run is called.
func New(options Options) *Manager {
	return &Manager{options: options, stopByStore: make(map[catalog.CacheStore]context.CancelFunc)}
}

// Run follows each configured store in its own goroutine. It blocks until ctx ends and
// these goroutines have returned.
func (m *Manager) Run(ctx context.Context) {
	for ok := true; ok; ok = pause.For(ctx, configCheckInterval) == nil {
		m.reconcile(ctx)
	}
	for _, stop := range m.stopByStore {
		stop()
	}
	m.followers.Wait()
}

// reconcile stops the followers of stores that are no longer configured and starts
// followers for new ones. A store whose zone or rate changed counts as a new store.
func (m *Manager) reconcile(ctx context.Context) {
	config := m.options.Catalog.Config()
	if config == nil {
		return
	}
	for store, stop := range m.stopByStore {
		if !slices.Contains(config.CacheStores, store) {
			stop()
			delete(m.stopByStore, store)
			m.options.Log.Info().Str("address", store.Address).Msg("cachestore: store is no longer configured; engines do not copy from it")
			m.options.Sink.DisableStore(store.Address)
		}
	}
	for _, store := range config.CacheStores {
		if m.stopByStore[store] != nil {
			continue
		}
		followCtx, stop := context.WithCancel(ctx)
		m.stopByStore[store] = stop
		f := &follower{options: m.options, store: store}
		m.followers.Go(func() { f.run(followCtx) })
	}
}

// follower follows one store.
type follower struct {
	options Options
	store   catalog.CacheStore
	epoch   int64
	since   int64
	enabled bool
}

// run polls the store until ctx ends.
func (f *follower) run(ctx context.Context) {
	for ctx.Err() == nil {
		f.poll(ctx)
	}
}

// poll sends one request for the changes since the last answer, records them, and pauses
// before it returns.
func (f *follower) poll(ctx context.Context) {
	pollCtx, cancel := context.WithTimeout(ctx, requestTimeout)
	batch, err := f.options.Events.Changes(pollCtx, f.store.Address, f.since, longPollWait)
	cancel()
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		f.setEnabled(false, err)
		_ = pause.For(ctx, retryPause)
		return
	}
	f.setEnabled(true, nil)
	if batch.Refused {
		_ = pause.For(ctx, refusalPause)
		return
	}
	if batch.Epoch != f.epoch {
		f.options.Log.Info().Str("address", f.store.Address).Int64("epoch", batch.Epoch).Msg("cachestore: store answered as an incarnation not seen before; parts recorded for it earlier are cleared")
		f.options.Sink.ClearStore(f.store.Address)
		f.epoch = batch.Epoch
	}
	f.since = batch.Next
	for _, change := range batch.Changes {
		f.options.Sink.RecordStoredPart(f.store.Address, change.Salt, change.Part, change.Stored)
	}
	_ = pause.For(ctx, time.Duration(f.options.GatewayCount())*pausePerGateway)
}

// setEnabled enables or disables the store unless it already is in that state. err is the
// reason for disabling it.
func (f *follower) setEnabled(enabled bool, err error) {
	if enabled == f.enabled {
		return
	}
	f.enabled = enabled
	if enabled {
		f.options.Log.Info().Str("address", f.store.Address).Msg("cachestore: store is reachable; engines may copy from it")
		f.options.Sink.EnableStore(f.store)
		return
	}
	f.options.Log.Warn().Err(err).Str("address", f.store.Address).Msg("cachestore: request to the store failed; engines do not copy from it until a request succeeds")
	f.options.Sink.DisableStore(f.store.Address)
}
