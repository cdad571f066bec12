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
	"github.com/greengagegate/greengagegate/internal/pause"
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

// Options configures a Roster. All fields but Now are required.
type Options struct {
	Store   store.Store
	Name    string
	Address string
	Zone    string
	// OnChange takes the other gateways after each change.
	OnChange func([]peering.Peer)
	Log      zerolog.Logger
	// Now reads the clock; nil stands for bootclock.Now.
	Now func() bootclock.Instant
}

// listed is another gateway's entry, or the own one, as this process knows it.
type listed struct {
	entry
	version int64
	// since is when this version of the entry was seen first.
	since bootclock.Instant
}

// Roster is the list of gateways. It implements mirror.Sink.
type Roster struct {
	options Options

	mu      sync.Mutex
	entries map[string]listed
	// lastContact is when each gateway was heard last.
	lastContact map[string]bootclock.Instant
	// own is the version of the own entry; 0 before it was written.
	own int64
	// left says that this gateway has removed its entry.
	left bool
}

// New returns an empty roster.
func New(options Options) *Roster {
	if options.Now == nil {
		options.Now = bootclock.Now
	}
	return &Roster{options: options, entries: make(map[string]listed), lastContact: make(map[string]bootclock.Instant)}
}

// Join writes this gateway's entry and repeats that until it succeeds or ctx ends.
func (r *Roster) Join(ctx context.Context) {
	for wait := firstPause; ; wait = min(2*wait, lastPause) {
		err := r.write(ctx)
		if err == nil || ctx.Err() != nil {
			return
		}
		r.options.Log.Warn().Err(err).Msg("roster: entry not written")
		if pause.For(ctx, wait) != nil {
			return
		}
	}
}

// write creates the entry, or replaces the one of a former life.
func (r *Roster) write(ctx context.Context) error {
	value, err := json.Marshal(entry{Address: r.options.Address, Zone: r.options.Zone})
	if err != nil {
		return fault.Wrap(err, "encode own entry", r.options.Name)
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	key := Prefix + r.options.Name
	r.mu.Lock()
	expected := r.own
	r.mu.Unlock()
	version, err := r.options.Store.Put(ctx, key, value, expected)
	if errors.Is(err, store.ErrConflict) {
		if expected, err = r.current(ctx, key); err != nil {
			return err
		}
		version, err = r.options.Store.Put(ctx, key, value, expected)
	}
	if err != nil {
		return fault.Wrap(err, "write own entry", key)
	}
	r.mu.Lock()
	message := "roster: joined"
	if r.own != 0 {
		message = "roster: entry renewed"
	}
	r.own = version
	r.mu.Unlock()
	r.options.Log.Info().Str("address", r.options.Address).Int64("version", version).Msg(message)
	return nil
}

// current returns the version of the own entry in the store.
func (r *Roster) current(ctx context.Context, key string) (int64, error) {
	r.mu.Lock()
	left := r.left
	r.mu.Unlock()
	if left {
		return 0, errLeft
	}
	object, err := r.options.Store.Get(ctx, key)
	if errors.Is(err, store.ErrNotFound) {
		return store.VersionAbsent, nil
	}
	return object.Version, fault.Wrap(err, "read own entry", key)
}

// errLeft ends the writing of an entry that is not wanted any more.
var errLeft = errors.New("roster: this gateway has left")

// Leave removes this gateway's entry.
func (r *Roster) Leave(ctx context.Context) {
	r.mu.Lock()
	own := r.own
	r.left = true
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
	former := r.entries
	r.entries = make(map[string]listed, len(objects))
	for _, object := range objects {
		name := object.Key[len(Prefix):]
		if known, ok := former[name]; ok && known.version == object.Version {
			r.entries[name] = known
		}
	}
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
	r.options.OnChange(peers)
}

func (r *Roster) apply(object store.Object) {
	name := object.Key[len(Prefix):]
	if object.Deleted {
		delete(r.entries, name)
		delete(r.lastContact, name)
		return
	}
	var e entry
	if err := json.Unmarshal(object.Value, &e); err != nil || e.Address == "" {
		r.options.Log.Warn().Err(err).Str("name", name).Msg("roster: entry can't be read")
		return
	}
	if r.entries[name].version == object.Version {
		return
	}
	r.entries[name] = listed{entry: e, version: object.Version, since: r.options.Now()}
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
