package router

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/greengagegate/greengagegate/internal/object"
)

// freshnessCheckInterval is the interval at which running requests are ended if the
// configuration has become stale.
const freshnessCheckInterval = 250 * time.Millisecond

var (
	// errKeyWithdrawn is the cause of a context that ends because the key became
	// invalid: it was withdrawn or deleted, or its customer or secret changed.
	errKeyWithdrawn = errors.New("the key was withdrawn")
	// errConfigStale is the cause of a context that ends because the configuration
	// is stale: the key may have been withdrawn without the router knowing.
	errConfigStale = errors.New("the state of keys cannot be verified")
)

// keyError returns the error response for a request whose context a keyWatcher has
// ended, or nil if ctx has not ended or has another cause.
func keyError(ctx context.Context, step string, run RunState) *apiError {
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

// keyWatcher ends running requests whose key is withdrawn. While the configuration
// is stale, the router would not learn of a withdrawal; keyWatcher then ends all
// requests on routes that require a key.
type keyWatcher struct {
	source object.Source
	stop   chan struct{}

	mu      sync.Mutex
	running map[*watchedRequest]struct{}
}

// watchedRequest is a running request with a valid key.
type watchedRequest struct {
	key *object.Key
	// open reports whether the route requires no key.
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

// watch returns a context that ends with the cause errKeyWithdrawn when the key
// becomes invalid (see isStillValid). Unless open is true, it also ends with errConfigStale when the
// configuration becomes stale. A nil key is not watched. The returned function
// must be called when the request has ended.
func (w *keyWatcher) watch(ctx context.Context, key *object.Key, open bool) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	if key == nil {
		return ctx, func() { cancel(nil) }
	}
	request := &watchedRequest{key: key, open: open, cancel: cancel}
	w.mu.Lock()
	w.running[request] = struct{}{}
	w.mu.Unlock()
	// The set may have changed since the key was looked up.
	if cause := w.cancelCause(request); cause != nil {
		cancel(cause)
	}
	return ctx, func() {
		w.mu.Lock()
		delete(w.running, request)
		w.mu.Unlock()
		cancel(nil)
	}
}

// run checks the running requests after each change of the configuration and every
// freshnessCheckInterval. It returns after close.
func (w *keyWatcher) run() {
	ticker := time.NewTicker(freshnessCheckInterval)
	defer ticker.Stop()
	for {
		changed := w.source.Changed()
		w.cancelInvalid()
		select {
		case <-changed:
		case <-ticker.C:
		case <-w.stop:
			return
		}
	}
}

func (w *keyWatcher) close() { close(w.stop) }

// cancelInvalid ends the running requests that must not continue.
func (w *keyWatcher) cancelInvalid() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for request := range w.running {
		if cause := w.cancelCause(request); cause != nil {
			request.cancel(cause)
		}
	}
}

// cancelCause returns the cause for ending a request, or nil if it may continue.
func (w *keyWatcher) cancelCause(request *watchedRequest) error {
	set := w.source.Current()
	if set != nil && !isStillValid(set, request.key) {
		return errKeyWithdrawn
	}
	if !request.open && !w.source.IsFresh() {
		return errConfigStale
	}
	return nil
}

// isStillValid reports whether set still has the key as active, with the same
// customer and the same secret.
func isStillValid(set *object.Set, key *object.Key) bool {
	current := set.Keys[key.Name]
	return current != nil &&
		current.State == object.KeyActive &&
		current.Customer == key.Customer &&
		current.SHA256 == key.SHA256
}
