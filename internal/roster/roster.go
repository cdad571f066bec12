// Package roster lets gateways find each other through the platform's store: each
// writes one small object about itself and follows those of the others.
package roster

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/greengagegate/greengagegate/internal/bootclock"
	"github.com/greengagegate/greengagegate/internal/fault"
	"github.com/greengagegate/greengagegate/internal/peering"
	"github.com/greengagegate/greengagegate/store"
	"github.com/rs/zerolog"
)

const (
	// Prefix is where the entries lie in the store.
	Prefix = "gateways/"
	// firstPause and lastPause bound the pause after a write that failed.
	firstPause = 100 * time.Millisecond
	lastPause  = 2 * time.Second
	// writeTimeout bounds one write.
	writeTimeout = 2 * time.Second
)

// entry is a gateway's object.
type entry struct {
	Address string `json:"address"`
	Zone    string `json:"zone"`
}

// Options configures a Roster. All fields are required.
type Options struct {
	Store   store.Store
	Name    string
	Address string
	Zone    string
	// Changed takes the other gateways after each change.
	Changed func([]peering.Peer)
	Log     zerolog.Logger
}

// Roster is the list of gateways. It implements mirror.Sink.
type Roster struct {
	options Options

	mu      sync.Mutex
	entries map[string]entry
	own     int64
}

// New returns an empty roster.
func New(options Options) *Roster {
	return &Roster{options: options, entries: make(map[string]entry)}
}

// Join writes this gateway's entry and repeats that until it succeeds or ctx ends.
func (r *Roster) Join(ctx context.Context) {
	value, err := json.Marshal(entry{Address: r.options.Address, Zone: r.options.Zone})
	if err != nil {
		r.options.Log.Error().Err(err).Msg("roster: entry can't be encoded")
		return
	}
	for pause := firstPause; ; pause = min(2*pause, lastPause) {
		err := r.write(ctx, value)
		if err == nil || ctx.Err() != nil {
			return
		}
		r.options.Log.Warn().Err(err).Msg("roster: entry not written")
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return
		}
	}
}

// write creates the entry, or replaces the one of a former life.
func (r *Roster) write(ctx context.Context, value []byte) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	key := Prefix + r.options.Name
	version, err := r.options.Store.Put(ctx, key, value, store.VersionAbsent)
	if errors.Is(err, store.ErrConflict) {
		var current store.Object
		if current, err = r.options.Store.Get(ctx, key); err != nil {
			return fault.Wrap(err, "read own entry", key)
		}
		version, err = r.options.Store.Put(ctx, key, value, current.Version)
	}
	if err != nil {
		return fault.Wrap(err, "write own entry", key)
	}
	r.mu.Lock()
	r.own = version
	r.mu.Unlock()
	r.options.Log.Info().Str("address", r.options.Address).Int64("version", version).Msg("roster: joined")
	return nil
}

// Leave removes this gateway's entry.
func (r *Roster) Leave(ctx context.Context) {
	r.mu.Lock()
	own := r.own
	r.mu.Unlock()
	if own == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	if err := r.options.Store.Delete(ctx, Prefix+r.options.Name, own); err != nil {
		r.options.Log.Warn().Err(err).Msg("roster: entry not removed")
		return
	}
	r.options.Log.Info().Msg("roster: left")
}

// Replace implements mirror.Sink.
func (r *Roster) Replace(objects []store.Object) {
	r.mu.Lock()
	r.entries = make(map[string]entry, len(objects))
	r.mu.Unlock()
	r.Apply(objects)
}

// Apply implements mirror.Sink.
func (r *Roster) Apply(objects []store.Object) {
	r.mu.Lock()
	for _, object := range objects {
		r.apply(object)
	}
	peers := r.peers()
	r.mu.Unlock()
	r.options.Changed(peers)
}

func (r *Roster) apply(object store.Object) {
	name := object.Key[len(Prefix):]
	if object.Deleted {
		delete(r.entries, name)
		return
	}
	var e entry
	if err := json.Unmarshal(object.Value, &e); err != nil || e.Address == "" {
		r.options.Log.Warn().Err(err).Str("name", name).Msg("roster: entry can't be read")
		return
	}
	r.entries[name] = e
}

// peers returns the other gateways; r.mu is held.
func (r *Roster) peers() []peering.Peer {
	peers := make([]peering.Peer, 0, len(r.entries))
	for name, e := range r.entries {
		if name != r.options.Name && e.Address != r.options.Address {
			peers = append(peers, peering.Peer{Name: name, Address: e.Address})
		}
	}
	return peers
}

// Confirm implements mirror.Sink.
func (r *Roster) Confirm(bootclock.Instant) {}

// Interrupted implements mirror.Sink.
func (r *Roster) Interrupted() {}
