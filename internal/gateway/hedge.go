package gateway

import (
	"context"
	"errors"
	"io"
	"sync/atomic"
	"time"

	"github.com/greengagegate/greengagegate/internal/contain"
	"github.com/greengagegate/greengagegate/internal/metrics"
	"github.com/greengagegate/greengagegate/internal/pause"
)

// maxOverlap is how long two upstreams may work on a stream after the second one has
// accepted it. The first one is then given up even if the second has sent no event yet.
const maxOverlap = 300 * time.Millisecond

// errHedgeNotNeeded is the cause of the end of a send whose result is not needed, because
// the silent upstream went on.
var errHedgeNotNeeded = errors.New("the silent upstream went on")

// errMoved is the cause of the end of a send whose stream goes on at another upstream.
var errMoved = errors.New("the stream goes on at another upstream")

// hedgeState says which upstream a hedged stream goes on with.
type hedgeState = int32

const (
	undecided hedgeState = iota
	// accepted means that another upstream runs the stream, but has sent no event yet.
	accepted
	// kept means that the silent upstream has gone on.
	kept
	// moved means that the silent upstream has been given up.
	moved
)

// stallWatch hedges a stream: when it is silent for longer than a timeout, other upstreams
// are asked to continue it, while the silent upstream keeps its chance. The stream moves
// with the first event of another upstream, or maxOverlap after that has accepted the
// request. The silent one may go on until another has accepted the request, and its event then
// cancels the hedge; after that, only if the other fails, because two upstreams must not work on
// the stream for long. A silent upstream is often sound, and ending its response before another
// has taken over would lose an answer that nobody else can give.
//
// start and stop must be called by the goroutine that reads the stream. Between the end of
// the timeout and the return of stop, the hedge uses the job, and the reader must not.
type stallWatch struct {
	job     *job
	silent  *send
	timeout time.Duration
	// lastEventID is the ID after which another upstream continues.
	lastEventID string

	timer    *time.Timer
	cancel   context.CancelCauseFunc
	endPause context.CancelFunc
	state    atomic.Int32
	// wentOn is true once the silent upstream has gone on.
	wentOn atomic.Bool
	// done is closed when the hedge has ended. next is valid from then on: the send that
	// continues the stream, or nil.
	done chan struct{}
	next *send
}

// start begins a wait for an event. ctx bounds the hedge's sends. A timeout of 0 means that
// the stream must not move.
func (w *stallWatch) start(ctx context.Context, lastEventID string) {
	if w.timeout <= 0 {
		return
	}
	w.lastEventID = lastEventID
	hedgeContext, cancel := context.WithCancelCause(ctx)
	pauseContext, endPause := context.WithCancel(hedgeContext)
	w.cancel, w.endPause, w.done, w.next = cancel, endPause, make(chan struct{}), nil
	w.state.Store(undecided)
	w.wentOn.Store(false)
	w.timer = time.AfterFunc(w.timeout, func() {
		defer close(w.done)
		defer contain.Panics(w.job.gateway.Log, "gateway", w.silent.choice.Upstream.ID)
		w.hedge(hedgeContext, pauseContext)
	})
}

// stop ends the wait that start began. err is the result of reading the silent upstream: an
// event or the end of the stream cancels the hedge; after a failure, or an event while another
// upstream runs the stream, stop waits for the hedge's result. It returns the send that continues the stream or nil. If it is not nil,
// the silent upstream's send has been cancelled.
func (w *stallWatch) stop(err error) *send {
	if w.timer == nil {
		return nil
	}
	started := !w.timer.Stop()
	w.timer = nil
	w.endPause()
	if !started {
		w.cancel(errHedgeNotNeeded)
		return nil
	}
	if !isStreamFailure(err) {
		w.keepSilent(errors.Is(err, io.EOF))
	}
	<-w.done
	if w.next == nil {
		w.cancel(nil)
	}
	return w.next
}

// isStreamFailure reports whether the result of reading an event is neither an event nor
// the end of the stream.
func isStreamFailure(err error) bool { return err != nil && !errors.Is(err, io.EOF) }

// hedge asks other upstreams to continue the stream, and again after each timeout for as
// long as the pauses between are not ended.
func (w *stallWatch) hedge(ctx, pauseContext context.Context) {
	w.silent.attempt.RecordFailure()
	w.job.recordAttempt(w.silent, "silent")
	silentChoice := w.job.choice
	defer func() {
		if w.next == nil {
			w.job.choice = silentChoice
		}
		metrics.Counter("gateway.hedges", "result", w.result()).Inc(1)
	}()
	for {
		next := w.job.resume(ctx, w.lastEventID, w)
		if next != nil && w.giveUpSilent() {
			w.next = next
			return
		}
		if next != nil {
			w.job.recordAttempt(next, "not-needed")
			next.end()
			return
		}
		if pause.For(pauseContext, w.timeout) != nil {
			return
		}
	}
}

// result returns the result of a hedge that has ended, as metrics name it.
func (w *stallWatch) result() string {
	switch {
	case w.next != nil:
		return "moved"
	case w.state.Load() == kept:
		return "kept"
	default:
		return "failed"
	}
}

// giveUpSilent ends the silent upstream's send. It reports false if that upstream has gone
// on, so that its send must not end.
func (w *stallWatch) giveUpSilent() bool {
	if w.state.CompareAndSwap(undecided, moved) || w.state.CompareAndSwap(accepted, moved) {
		w.silent.cancel(errMoved)
	}
	return w.state.Load() == moved
}

// keepSilent cancels the hedge, because the silent upstream has gone on or its stream has ended,
// unless another upstream runs the stream and the silent one still does.
func (w *stallWatch) keepSilent(ended bool) {
	w.wentOn.Store(true)
	if w.state.CompareAndSwap(undecided, kept) || ended && w.state.CompareAndSwap(accepted, kept) {
		w.cancel(errHedgeNotNeeded)
	}
}

// accept records that another upstream runs the stream.
func (w *stallWatch) accept() { w.state.CompareAndSwap(undecided, accepted) }

// reopen is called when the upstream that had accepted the stream has failed. The silent upstream
// may go on again, and does if it has in the meantime.
func (w *stallWatch) reopen() {
	if w.state.CompareAndSwap(accepted, undecided) && w.wentOn.Load() {
		w.keepSilent(false)
	}
}
