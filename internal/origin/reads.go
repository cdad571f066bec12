package origin

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/greengagegate/greengagegate/internal/contain"
	"github.com/greengagegate/greengagegate/internal/metrics"
	"github.com/rs/zerolog"
)

// readTimeout bounds one read from the store. A caller's request waits for it.
const readTimeout = 400 * time.Millisecond

// errReadEnded reports that a read ended without a result, by a panic.
var errReadEnded = errors.New("reading the versions of upstreams ended without a result")

// reads reads the versions of upstreams from the store. Requests share a read if it is sent after
// all of them asked for it: those that ask during one read share the next. There is one read at a
// time.
type reads struct {
	reader VersionsReader
	log    zerolog.Logger
	ctx    context.Context
	stop   context.CancelFunc
	wg     sync.WaitGroup

	mu sync.Mutex
	// running is the read that was sent last, unless it is done; next follows it. next is nil
	// while nobody waits for it.
	running, next *read
}

// read is one read from the store. versions and err are set when done is closed.
type read struct {
	done     chan struct{}
	versions map[string][]string
	err      error
}

func newReads(reader VersionsReader, log zerolog.Logger) *reads {
	ctx, stop := context.WithCancel(context.Background())
	return &reads{reader: reader, log: log, ctx: ctx, stop: stop}
}

// latest returns the result of a read that is sent after the call.
func (r *reads) latest(ctx context.Context) (map[string][]string, error) {
	wanted := r.request()
	select {
	case <-wanted.done:
		return wanted.versions, wanted.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// request returns a read that has not been sent yet.
func (r *reads) request() *read {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.next == nil {
		r.next = &read{done: make(chan struct{}), err: errReadEnded}
	}
	wanted := r.next
	switch {
	case r.ctx.Err() != nil:
		r.next = nil
		wanted.err = r.ctx.Err()
		close(wanted.done)
	case r.running == nil:
		r.startNext()
	}
	return wanted
}

// startNext sends the next read. r.mu must be held.
func (r *reads) startNext() {
	r.running, r.next = r.next, nil
	started := r.running
	r.wg.Go(func() {
		defer r.finish(started)
		defer contain.Panics(r.log, "origin", "read versions")
		r.run(started)
	})
}

// finish passes the result of a read on and sends the next one if requests wait for it.
func (r *reads) finish(ended *read) {
	close(ended.done)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running = nil
	if r.next != nil {
		r.startNext()
	}
}

// run carries a read out.
func (r *reads) run(started *read) {
	ctx, cancel := context.WithTimeout(r.ctx, readTimeout)
	defer cancel()
	started.versions, started.err = r.reader.ReadVersions(ctx)
	outcome := "answered"
	if started.err != nil {
		outcome = "failed"
	}
	metrics.Counter("origin.reads", "result", outcome).Inc(1)
}

// close ends a read that is under way and waits for it.
func (r *reads) close() {
	r.stop()
	r.wg.Wait()
}
