// Package memstore is an in-memory store.Store with fault injection, for tests and stand-ins.
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

// watchBuffer is the number of undelivered changes after which a watch is cut.
const watchBuffer = 1024

// Faults says how the store misbehaves. The zero value is a healthy store.
type Faults struct {
	// Down makes each call fail with store.ErrUnavailable and cuts all watches.
	Down bool
	// Latency delays each call.
	Latency time.Duration
	// LoseAnswers is the number of coming writes that take effect while their answer is lost.
	LoseAnswers int
}

// Counts holds the number of calls received, by kind.
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
	log      []store.Object
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

// SetFaults replaces the current faults. Going down closes every watch.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	if !f.Down {
		return
	}
	for w := range s.watchers {
		s.cut(w)
	}
}

// Counts returns the calls received so far.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// SetHosts replaces the list that Hosts returns.
func (s *Store) SetHosts(hosts []store.Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts = append([]store.Host(nil), hosts...)
}

// Hosts implements store.HostLister.
func (s *Store) Hosts(ctx context.Context) ([]store.Host, error) {
	if err := s.enter(ctx, &s.counts.Reads); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]store.Host(nil), s.hosts...), nil
}

// enter counts a call, applies the latency and fails when the store is down.
func (s *Store) enter(ctx context.Context, counter *int64) error {
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
	if err := s.enter(ctx, &s.counts.Reads); err != nil {
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
	if err := s.enter(ctx, &s.counts.Reads); err != nil {
		return nil, 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []store.Object
	for key, object := range s.objects {
		if strings.HasPrefix(key, prefix) {
			found = append(found, object)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	return found, s.version, nil
}

// Put implements store.Store.
func (s *Store) Put(ctx context.Context, key string, value []byte, expected int64) (int64, error) {
	if err := s.enter(ctx, &s.counts.Writes); err != nil {
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
	if s.loseAnswer() {
		return 0, store.ErrUnknownOutcome
	}
	return s.version, nil
}

// Delete implements store.Store.
func (s *Store) Delete(ctx context.Context, key string, expected int64) error {
	if err := s.enter(ctx, &s.counts.Writes); err != nil {
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
	if s.loseAnswer() {
		return store.ErrUnknownOutcome
	}
	return nil
}

// Watch implements store.Store.
func (s *Store) Watch(ctx context.Context, prefix string, after int64) (<-chan store.Object, error) {
	if err := s.enter(ctx, &s.counts.Watches); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var backlog []store.Object
	for _, object := range s.log {
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
		s.cut(w)
	})
	return w.ch, nil
}

func (s *Store) loseAnswer() bool {
	if s.faults.LoseAnswers == 0 {
		return false
	}
	s.faults.LoseAnswers--
	return true
}

// publish appends a change to the log and hands it to the watches; s.mu is held.
func (s *Store) publish(object store.Object) {
	s.log = append(s.log, object)
	for w := range s.watchers {
		if !strings.HasPrefix(object.Key, w.prefix) {
			continue
		}
		select {
		case w.ch <- object:
		default:
			s.cut(w)
		}
	}
}

// cut closes a watch once; s.mu is held.
func (s *Store) cut(w *watcher) {
	if _, ok := s.watchers[w]; !ok {
		return
	}
	delete(s.watchers, w)
	close(w.ch)
}
