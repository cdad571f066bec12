// Package memstore implements store.Store in memory, with fault injection, for
// tests and stand-ins.
package memstore

import (
	"context"
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
	mu       sync.Mutex
	version  int64
	objects  map[string]store.Object
	changes  []store.Object
	watchers map[*watcher]struct{}
	faults   Faults
	counts   Counts
	hosts    []store.Host
}

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
	return matches, s.version, nil
}

// Put implements store.Store.
func (s *Store) Put(ctx context.Context, key string, value []byte, expected int64) (int64, error) {
	if err := s.beginCall(ctx, &s.counts.Writes); err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.objects[key].Version != expected {
		return 0, store.ErrConflict
	}
	s.version++
	object := store.Object{Key: key, Value: append([]byte(nil), value...), Version: s.version}
	s.objects[key] = object
	s.publish(object)
	if s.loseNextResponse() {
		return 0, store.ErrUnknownOutcome
	}
	return s.version, nil
}

// Delete implements store.Store.
func (s *Store) Delete(ctx context.Context, key string, expected int64) error {
	if err := s.beginCall(ctx, &s.counts.Writes); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	object, ok := s.objects[key]
	if !ok {
		return store.ErrNotFound
	}
	if object.Version != expected {
		return store.ErrConflict
	}
	s.version++
	delete(s.objects, key)
	s.publish(store.Object{Key: key, Version: s.version, Deleted: true})
	if s.loseNextResponse() {
		return store.ErrUnknownOutcome
	}
	return nil
}

// Watch implements store.Store.
func (s *Store) Watch(ctx context.Context, prefix string, after int64) (<-chan store.Object, error) {
	if err := s.beginCall(ctx, &s.counts.Watches); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
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
