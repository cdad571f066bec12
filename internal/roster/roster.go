// Package roster lets gateways discover each other through the platform store: each
// gateway writes one small entry about itself and follows the entries of the others.
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
	// Prefix is the prefix of the entries' keys in the store; a gateway's name follows it.
	Prefix = "gateways/"
	// minBackoff and maxBackoff bound the exponential delay after a failed write.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 2 * time.Second
	// writeTimeout bounds the write or removal of an entry.
	writeTimeout = 2 * time.Second
)

// entry is what a gateway writes about itself to the store.
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
	// OnChange is called with all other gateways after each call of Replace or Apply,
	// also when the gateways are the same as before. It is called without locks held, on
	// the goroutine of that call.
	OnChange func([]peering.Peer)
	Log      zerolog.Logger
	// Now returns the current time; nil means bootclock.Now.
	Now func() bootclock.Instant
}

// knownEntry is the entry of a gateway, which may be this one, as last received.
type knownEntry struct {
	entry
	version int64
	// receivedAt is when this version of the entry was received.
	receivedAt bootclock.Instant
	// lost is true if the entry is missing in a restored store. A gateway that runs writes
	// its entry again.
	lost bool
}

// Roster is the list of gateways. It implements mirror.Sink. It is safe for concurrent
// use.
type Roster struct {
	options Options

	mu sync.Mutex
	// entries holds the entries by gateway name.
	entries map[string]knownEntry
	// lastContact is when the last update from each gateway was received.
	lastContact map[string]bootclock.Instant
	// ownVersion is the version of this gateway's entry in the store; 0 before it was
	// written.
	ownVersion int64
	// hasLeft is true once Leave was called.
	hasLeft bool
	// beganEra is true from BeginEra to the next Replace.
	beganEra bool
	// checkNow wakes Maintain.
	checkNow chan struct{}
	// read is closed by the first Replace.
	read     chan struct{}
	readOnce sync.Once
}

// New returns an empty roster.
func New(options Options) *Roster {
	if options.Now == nil {
		options.Now = bootclock.Now
	}
	return &Roster{options: options, entries: make(map[string]knownEntry), lastContact: make(map[string]bootclock.Instant), checkNow: make(chan struct{}, 1), read: make(chan struct{})}
}

// Join writes this gateway's entry. It retries until it succeeds or ctx ends.
func (r *Roster) Join(ctx context.Context) {
	for wait := minBackoff; ; wait = min(2*wait, maxBackoff) {
		err := r.writeEntry(ctx)
		if err == nil || ctx.Err() != nil {
			return
		}
		r.options.Log.Warn().Err(err).Msg("roster: this gateway's entry was not written; retrying")
		if pause.For(ctx, wait) != nil {
			return
		}
	}
}

// writeEntry creates this gateway's entry, renews it, or replaces the entry of an
// earlier incarnation.
func (r *Roster) writeEntry(ctx context.Context) error {
	value, err := json.Marshal(entry{Address: r.options.Address, Zone: r.options.Zone})
	if err != nil {
		return fault.Wrap(err, "encode the gateway's own entry", r.options.Name)
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	key := Prefix + r.options.Name
	r.mu.Lock()
	expected := r.ownVersion
	r.mu.Unlock()
	version, err := r.options.Store.Put(ctx, key, value, expected)
	if errors.Is(err, store.ErrConflict) {
		if expected, err = r.storedVersion(ctx, key); err != nil {
			return err
		}
		version, err = r.options.Store.Put(ctx, key, value, expected)
	}
	if err != nil {
		return fault.Wrap(err, "write the gateway's own entry", key)
	}
	r.mu.Lock()
	message := "roster: this gateway's entry was written; other gateways count it"
	if r.ownVersion != 0 {
		message = "roster: this gateway's entry was renewed; other gateways keep counting it"
	}
	r.ownVersion = version
	r.mu.Unlock()
	r.options.Log.Info().Str("address", r.options.Address).Int64("version", version).Msg(message)
	return nil
}

// storedVersion returns the version of this gateway's entry in the store, or
// store.VersionAbsent if there is none. It returns errLeft after Leave.
func (r *Roster) storedVersion(ctx context.Context, key string) (int64, error) {
	r.mu.Lock()
	left := r.hasLeft
	r.mu.Unlock()
	if left {
		return 0, errLeft
	}
	object, err := r.options.Store.Get(ctx, key)
	if errors.Is(err, store.ErrNotFound) {
		return store.VersionAbsent, nil
	}
	return object.Version, fault.Wrap(err, "read the gateway's own entry", key)
}

// errLeft is returned by storedVersion after Leave, so that a write that conflicts with
// the removal of the entry is not repeated.
var errLeft = errors.New("roster: this gateway has left")

// Leave removes this gateway's entry, so that the others stop counting it. It does not
// retry.
func (r *Roster) Leave(ctx context.Context) {
	r.mu.Lock()
	own := r.ownVersion
	r.hasLeft = true
	r.mu.Unlock()
	if own == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	err := r.options.Store.Delete(ctx, Prefix+r.options.Name, own)
	if errors.Is(err, store.ErrEraEnded) {
		err = r.deleteRestored(ctx)
	}
	if err != nil {
		r.options.Log.Warn().Err(err).Msg("roster: this gateway's entry was not removed; other gateways will remove it later")
		return
	}
	r.options.Log.Info().Msg("roster: this gateway's entry was removed; other gateways stop counting it")
}

// deleteRestored removes this gateway's entry from a store that was restored since the
// entry was written.
func (r *Roster) deleteRestored(ctx context.Context) error {
	key := Prefix + r.options.Name
	object, err := r.options.Store.Get(ctx, key)
	if errors.Is(err, store.ErrNotFound) {
		return nil
	}
	if err != nil {
		return fault.Wrap(err, "read the gateway's own entry", key)
	}
	return r.options.Store.Delete(ctx, key, object.Version)
}

// BeginEra implements mirror.Sink. The entries that the restored store lacks stay until
// their gateways have been silent for renewAfterSilence: if the gateways counted fewer of
// each other, each would take a larger share of the limits. This gateway's own entry is
// written again at once if it is missing.
func (r *Roster) BeginEra() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.beganEra = true
}

// Replace implements mirror.Sink. Entries whose version is unchanged keep the time at
// which they were received.
func (r *Roster) Replace(objects []store.Object) {
	r.mu.Lock()
	previous := r.entries
	r.entries = make(map[string]knownEntry, len(objects))
	for _, object := range objects {
		name := object.Key[len(Prefix):]
		if known, ok := previous[name]; ok && known.version == object.Version {
			r.entries[name] = known
		}
	}
	if r.beganEra {
		r.beganEra = false
		r.keepLostEntries(previous, objects)
	}
	r.mu.Unlock()
	r.Apply(objects)
	r.readOnce.Do(func() { close(r.read) })
}

// Read returns a channel that is closed once the list of gateways has been read and passed on.
func (r *Roster) Read() <-chan struct{} { return r.read }

// keepLostEntries keeps the previous entries of other gateways that a restored store lacks,
// and wakes Maintain if this gateway's own entry is among those that it lacks. It must be
// called with r.mu held.
func (r *Roster) keepLostEntries(previous map[string]knownEntry, objects []store.Object) {
	listed := make(map[string]bool, len(objects))
	for _, object := range objects {
		listed[object.Key[len(Prefix):]] = true
	}
	for name, known := range previous {
		if !listed[name] && name != r.options.Name {
			known.lost = true
			r.entries[name] = known
		}
	}
	if listed[r.options.Name] {
		return
	}
	select {
	case r.checkNow <- struct{}{}:
	default:
	}
}

// Apply implements mirror.Sink.
func (r *Roster) Apply(objects []store.Object) {
	r.mu.Lock()
	for _, object := range objects {
		r.applyObject(object)
	}
	peers := r.peers()
	r.mu.Unlock()
	r.options.OnChange(peers)
}

// applyObject applies one change. It must be called with r.mu held.
func (r *Roster) applyObject(object store.Object) {
	name := object.Key[len(Prefix):]
	if object.Deleted {
		delete(r.entries, name)
		delete(r.lastContact, name)
		return
	}
	var e entry
	if err := json.Unmarshal(object.Value, &e); err != nil || e.Address == "" {
		r.options.Log.Warn().Err(err).Str("name", name).Msg("roster: entry can't be decoded; ignoring it")
		return
	}
	if r.entries[name].version == object.Version {
		return
	}
	r.entries[name] = knownEntry{entry: e, version: object.Version, receivedAt: r.options.Now()}
}

// peers returns the other gateways. It excludes entries with this gateway's own address,
// which an earlier incarnation under another name may have left. It must be called with
// r.mu held.
func (r *Roster) peers() []peering.Peer {
	peers := make([]peering.Peer, 0, len(r.entries))
	for name, known := range r.entries {
		if name != r.options.Name && known.Address != r.options.Address {
			peers = append(peers, peering.Peer{Name: name, Address: known.Address, Zone: known.Zone})
		}
	}
	return peers
}

// Confirm implements mirror.Sink. It does nothing: the roster has no evidence age.
func (r *Roster) Confirm(bootclock.Instant) {}

// MarkUnreachable implements mirror.Sink. It does nothing: the known entries stay valid while
// the store is unreachable.
func (r *Roster) MarkUnreachable() {}
