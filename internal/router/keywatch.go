package router

import (
	"context"
	"errors"
	"sync"

	"github.com/greengagegate/greengagegate/internal/object"
)

// errKeyWithdrawn is the cause of a context whose key was withdrawn.
var errKeyWithdrawn = errors.New("the key was withdrawn")

// keyWatcher ends the requests of keys that are withdrawn while they run.
type keyWatcher struct {
	source object.Source
	stop   chan struct{}

	mu      sync.Mutex
	running map[*watchedRequest]struct{}
}

type watchedRequest struct {
	key    *object.Key
	cancel context.CancelCauseFunc
}

func newKeyWatcher(source object.Source) *keyWatcher {
	return &keyWatcher{
		source:  source,
		stop:    make(chan struct{}),
		running: make(map[*watchedRequest]struct{}),
	}
}

// watch returns a context that ends with errKeyWithdrawn when the key stops
// being valid. The returned function is called when the request has ended.
func (w *keyWatcher) watch(ctx context.Context, key *object.Key) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	if key == nil {
		return ctx, func() { cancel(nil) }
	}
	request := &watchedRequest{key: key, cancel: cancel}
	w.mu.Lock()
	w.running[request] = struct{}{}
	w.mu.Unlock()
	// The set may have changed between the look-up of the key and now.
	if set := w.source.Current(); set != nil && !stillValid(set, key) {
		cancel(errKeyWithdrawn)
	}
	return ctx, func() {
		w.mu.Lock()
		delete(w.running, request)
		w.mu.Unlock()
		cancel(nil)
	}
}

// run checks the running requests after each change until close.
func (w *keyWatcher) run() {
	for {
		changed := w.source.Changed()
		w.check()
		select {
		case <-changed:
		case <-w.stop:
			return
		}
	}
}

func (w *keyWatcher) close() { close(w.stop) }

func (w *keyWatcher) check() {
	set := w.source.Current()
	if set == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for request := range w.running {
		if !stillValid(set, request.key) {
			request.cancel(errKeyWithdrawn)
		}
	}
}

// stillValid reports whether the key admits the same customer under set.
func stillValid(set *object.Set, key *object.Key) bool {
	now := set.Keys[key.Name]
	return now != nil &&
		now.State == object.KeyActive &&
		now.Customer == key.Customer &&
		now.SHA256 == key.SHA256
}
