// Package memstore implements store.Store in memory, with fault injection, for
// tests and stand-ins.
package memstore

import (
	"context"
	"errors"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/greengagegate/greengagegate/internal/pause"
	"github.com/greengagegate/greengagegate/store"
)

// watchBuffer is the number of undelivered changes that a watch can hold in
// addition to the earlier changes that it starts with. The store closes a watch whose
// buffer is full.
const watchBuffer = 1024

// Faults describes the injected faults. The zero value injects none.
type Faults struct {
	// Down makes each call fail with store.ErrUnavailable and closes all watches.
	// It is checked after the latency.
	Down bool
	// Latency delays each call.
	Latency time.Duration
	// LoseAnswers is the number of next successful writes that take effect but
	// return store.ErrUnknownOutcome, as if the response was lost.
	LoseAnswers int
	// HoldWrites is the number of next writes that return store.ErrUnknownOutcome at once
	// and are carried out by ExecuteHeldWrites, if their conditions hold then.
	HoldWrites int
}

// Counts holds the numbers of calls received, by kind. Refused counts the calls of
// any kind that failed because the store was down; they are also counted by kind.
type Counts struct {
	Reads, Writes, Watches, Refused int64
}

type watcher struct {
	prefix string
	ch     chan store.Object
}

// Store is an in-memory store.Store. The zero value is not usable; call New.
type Store struct {
	eras store.EraTracker

	mu sync.Mutex
	// revision is the revision of the last change in the current era.
	revision int64
	objects  map[string]store.Object
	// changes are the changes that the store has not lost, in order. Their versions may
	// belong to earlier eras.
	changes    []store.Object
	watchers   map[*watcher]struct{}
	faults     Faults
	heldWrites []func()
	counts     Counts
	hosts      []store.Host
}

var (
	_ store.Store        = (*Store)(nil)
	_ store.StatusWriter = (*Store)(nil)
)

// New returns an empty, healthy store.
func New() *Store {
	return &Store{
		objects:  make(map[string]store.Object),
		watchers: make(map[*watcher]struct{}),
	}
}

// SetFaults replaces the current faults. Faults.Down closes every watch.
func (s *Store) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
	if !faults.Down {
		return
	}
	for w := range s.watchers {
		s.closeWatch(w)
	}
}

// Counts returns the numbers of calls received so far.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// SetHosts replaces the list of hosts that Hosts returns.
func (s *Store) SetHosts(hosts []store.Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts = append([]store.Host(nil), hosts...)
}

// Hosts implements store.HostLister.
func (s *Store) Hosts(ctx context.Context) ([]store.Host, error) {
	if err := s.beginCall(ctx, &s.counts.Reads); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]store.Host(nil), s.hosts...), nil
}

// beginCall increments counter, waits for the injected latency and returns
// store.ErrUnavailable when the store is down. It must be called without s.mu held;
// counter is a field of s.counts.
func (s *Store) beginCall(ctx context.Context, counter *int64) error {
	s.mu.Lock()
	*counter++
	latency := s.faults.Latency
	s.mu.Unlock()
	if latency > 0 {
		if err := pause.For(ctx, latency); err != nil {
			return err
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Down {
		s.counts.Refused++
		return store.ErrUnavailable
	}
	return ctx.Err()
}

// Get implements store.Store.
func (s *Store) Get(ctx context.Context, key string) (store.Object, error) {
	if err := s.beginCall(ctx, &s.counts.Reads); err != nil {
		return store.Object{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	object, ok := s.objects[key]
	if !ok {
		return store.Object{}, store.ErrNotFound
	}
	return object, nil
}

// List implements store.Store.
func (s *Store) List(ctx context.Context, prefix string) ([]store.Object, int64, error) {
	if err := s.beginCall(ctx, &s.counts.Reads); err != nil {
		return nil, 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var matches []store.Object
	for key, object := range s.objects {
		if strings.HasPrefix(key, prefix) {
			matches = append(matches, object)
		}
	}
	sort.Slice(matches, func(i, j int) bool { return matches[i].Key < matches[j].Key })
	return matches, s.version(s.revision), nil
}

// Era implements store.EraSource.
func (s *Store) Era() int64 { return s.eras.Era() }

// version returns the version of a revision in the current era. It must be called with
// s.mu held.
func (s *Store) version(revision int64) int64 { return store.MakeVersion(s.eras.Era(), revision) }

// Put implements store.Store. Like a store that knows no eras, it compares only revisions
// when the write is carried out; a version of an earlier era is refused only when the call
// begins.
func (s *Store) Put(ctx context.Context, key string, value []byte, expected int64) (int64, error) {
	return s.write(ctx, expected, func() (int64, error) {
		if store.RevisionOf(s.objects[key].Version) != store.RevisionOf(expected) {
			return 0, store.ErrConflict
		}
		object := s.objects[key]
		object.Key, object.Value = key, append([]byte(nil), value...)
		return s.apply(object), nil
	})
}

// PutStatus implements store.StatusWriter. It compares versions like Put.
func (s *Store) PutStatus(ctx context.Context, key string, status []byte, expected int64) (int64, error) {
	return s.write(ctx, expected, func() (int64, error) {
		object, ok := s.objects[key]
		if !ok {
			return 0, store.ErrNotFound
		}
		if store.RevisionOf(object.Version) != store.RevisionOf(expected) {
			return 0, store.ErrConflict
		}
		object.Status = append([]byte(nil), status...)
		return s.apply(object), nil
	})
}

// Delete implements store.Store. It compares versions like Put.
func (s *Store) Delete(ctx context.Context, key string, expected int64) error {
	_, err := s.write(ctx, expected, func() (int64, error) {
		object, ok := s.objects[key]
		if !ok {
			return 0, store.ErrNotFound
		}
		if store.RevisionOf(object.Version) != store.RevisionOf(expected) {
			return 0, store.ErrConflict
		}
		return s.apply(store.Object{Key: key, Deleted: true}), nil
	})
	return err
}

// write calls change, which is called with s.mu held and returns the version of the
// change, and injects the faults of writes.
func (s *Store) write(ctx context.Context, expected int64, change func() (int64, error)) (int64, error) {
	era := s.eras.Era()
	if expected != store.VersionAbsent && store.EraOf(expected) != era {
		return 0, store.ErrConflict
	}
	if err := s.beginCall(ctx, &s.counts.Writes); err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.HoldWrites > 0 {
		s.faults.HoldWrites--
		s.heldWrites = append(s.heldWrites, func() { _, _ = change() })
		return 0, store.ErrUnknownOutcome
	}
	version, err := change()
	if err != nil {
		return 0, err
	}
	if store.EraOf(version) != era {
		return 0, errors.Join(store.ErrUnknownOutcome, store.ErrEraEnded)
	}
	if s.loseNextResponse() {
		return 0, store.ErrUnknownOutcome
	}
	return version, nil
}

// apply makes a change with the next revision and returns its version. It must be called
// with s.mu held.
func (s *Store) apply(object store.Object) int64 {
	s.revision++
	object.Version = s.version(s.revision)
	if object.Created == 0 && !object.Deleted {
		object.Created = s.revision
	}
	if object.Deleted {
		delete(s.objects, object.Key)
	} else {
		s.objects[object.Key] = object
	}
	s.publish(object)
	return object.Version
}

// ExecuteHeldWrites carries out the writes that Faults.HoldWrites has held back.
func (s *Store) ExecuteHeldWrites() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, execute := range s.heldWrites {
		execute()
	}
	s.heldWrites = nil
}

// Revision returns the revision of the last change.
func (s *Store) Revision() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// Restore begins a new era with the content that the store had at a revision of the
// current era, and closes all watches. All later changes are lost.
func (s *Store) Restore(revision int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.eras.Observe(s.eras.Era() + 1)
	kept := s.changes[:0]
	s.objects = make(map[string]store.Object)
	for _, change := range s.changes {
		if store.RevisionOf(change.Version) > revision {
			continue
		}
		change.Version = s.version(store.RevisionOf(change.Version))
		kept = append(kept, change)
		if change.Deleted {
			delete(s.objects, change.Key)
		} else {
			s.objects[change.Key] = change
		}
	}
	s.changes, s.revision = kept, min(s.revision, revision)
	for w := range s.watchers {
		s.closeWatch(w)
	}
}

// Watch implements store.Store.
func (s *Store) Watch(ctx context.Context, prefix string, after int64) (<-chan store.Object, error) {
	if err := s.beginCall(ctx, &s.counts.Watches); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if after != 0 && store.EraOf(after) != s.eras.Era() {
		return nil, store.ErrCompacted
	}
	var backlog []store.Object
	for _, object := range s.changes {
		if object.Version > after && strings.HasPrefix(object.Key, prefix) {
			backlog = append(backlog, object)
		}
	}
	w := &watcher{prefix: prefix, ch: make(chan store.Object, len(backlog)+watchBuffer)}
	for _, object := range backlog {
		w.ch <- object
	}
	s.watchers[w] = struct{}{}
	context.AfterFunc(ctx, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.closeWatch(w)
	})
	return w.ch, nil
}

// loseNextResponse reports whether the response to the current write must be lost, and
// if so decrements Faults.LoseAnswers. It must be called with s.mu held.
func (s *Store) loseNextResponse() bool {
	if s.faults.LoseAnswers == 0 {
		return false
	}
	s.faults.LoseAnswers--
	return true
}

// publish appends a change to s.changes and sends it to the matching watches. A
// watch whose buffer is full is closed. It must be called with s.mu held.
func (s *Store) publish(object store.Object) {
	s.changes = append(s.changes, object)
	for w := range s.watchers {
		if !strings.HasPrefix(object.Key, w.prefix) {
			continue
		}
		select {
		case w.ch <- object:
		default:
			s.closeWatch(w)
		}
	}
}

// closeWatch closes a watch's channel; it does nothing if the watch is already
// closed. It must be called with s.mu held.
func (s *Store) closeWatch(w *watcher) {
	if _, ok := s.watchers[w]; !ok {
		return
	}
	delete(s.watchers, w)
	close(w.ch)
}
