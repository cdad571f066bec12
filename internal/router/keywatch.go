package router

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/greengagegate/greengagegate/internal/object"
)

// freshnessInterval is how often running requests are checked against the
// freshness of the configuration.
const freshnessInterval = 250 * time.Millisecond

var (
	// errKeyWithdrawn is the cause of a context whose key was withdrawn.
	errKeyWithdrawn = errors.New("the key was withdrawn")
	// errConfigStale is the cause of a context whose key may have been withdrawn unseen.
	errConfigStale = errors.New("the state of keys cannot be verified")
)

// keyFailure explains why its key ended a request, or returns nil.
func keyFailure(ctx context.Context, step string, run RunState) *apiError {
	cause := context.Cause(ctx)
	switch {
	case errors.Is(cause, errKeyWithdrawn):
		return &apiError{Status: http.StatusUnauthorized, Code: "key_withdrawn", Message: cause.Error(), Step: step, Run: run}
	case errors.Is(cause, errConfigStale):
		return &apiError{
			Status: http.StatusServiceUnavailable, Code: "config_stale", Message: cause.Error(),
			Step: step, Run: run, RetryAfter: time.Second,
		}
	default:
		return nil
	}
}

// keyWatcher ends the requests of keys that are withdrawn while they run, and
// those on keyed routes when withdrawals could go unseen.
type keyWatcher struct {
	source object.Source
	stop   chan struct{}

	mu      sync.Mutex
	running map[*watchedRequest]struct{}
}

type watchedRequest struct {
	key *object.Key
	// open says that the request needs no key.
	open   bool
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
// being valid, and with errConfigStale when that can no longer be known, unless
// the route is open. The returned function is called when the request has ended.
func (w *keyWatcher) watch(ctx context.Context, key *object.Key, open bool) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	if key == nil {
		return ctx, func() { cancel(nil) }
	}
	request := &watchedRequest{key: key, open: open, cancel: cancel}
	w.mu.Lock()
	w.running[request] = struct{}{}
	w.mu.Unlock()
	// The set may have changed between the look-up of the key and now.
	if cause := w.verdict(request); cause != nil {
		cancel(cause)
	}
	return ctx, func() {
		w.mu.Lock()
		delete(w.running, request)
		w.mu.Unlock()
		cancel(nil)
	}
}

// run checks the running requests after each change, and at intervals, until close.
func (w *keyWatcher) run() {
	ticker := time.NewTicker(freshnessInterval)
	defer ticker.Stop()
	for {
		changed := w.source.Changed()
		w.check()
		select {
		case <-changed:
		case <-ticker.C:
		case <-w.stop:
			return
		}
	}
}

func (w *keyWatcher) close() { close(w.stop) }

func (w *keyWatcher) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for request := range w.running {
		if cause := w.verdict(request); cause != nil {
			request.cancel(cause)
		}
	}
}

// verdict returns why a request must end, or nil.
func (w *keyWatcher) verdict(request *watchedRequest) error {
	set := w.source.Current()
	if set != nil && !stillValid(set, request.key) {
		return errKeyWithdrawn
	}
	if !request.open && !w.source.Fresh() {
		return errConfigStale
	}
	return nil
}

// stillValid reports whether the key admits the same customer under set.
func stillValid(set *object.Set, key *object.Key) bool {
	now := set.Keys[key.Name]
	return now != nil &&
		now.State == object.KeyActive &&
		now.Customer == key.Customer &&
		now.SHA256 == key.SHA256
}
