package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/greengagegate/greengagegate/internal/bootclock"
)

// A stop has three steps. From Drain on, callers are sent elsewhere and requests are served as ever.
// From Close on, no request is passed on that no upstream may have run yet, wherever it is: it is
// refused and can run elsewhere. At the end that Drain names, requests that have no answer yet get
// one that says that their outcome is unknown.

// stop is the state of a gateway's stop.
type stop struct {
	draining, closed atomic.Bool
	// end is when requests must have been answered; 0 if the gateway is not stopping.
	end atomic.Int64
	// ended is cancelled at end.
	ended    context.Context
	endSends context.CancelFunc
}

// Drain makes the gateway close each caller's connection after the next response, so that callers
// send further requests to other gateways. Requests that have not been answered by end are answered
// then; only streams that have begun go on.
func (g *Gateway) Drain(end bootclock.Instant) {
	g.stop.end.Store(int64(end))
	g.stop.draining.Store(true)
	time.AfterFunc(end.Sub(bootclock.Now()), g.stop.endSends)
}

// Close makes the gateway refuse all further requests, those that wait and those whose body is still
// being read.
func (g *Gateway) Close() {
	g.stop.closed.Store(true)
	g.queues.close()
}

// checkStopping returns a refusal if the request must not be passed on because the gateway stops.
// One that an upstream may have run already can be refused no more, and may be tried again.
func (j *job) checkStopping() *refusal {
	if j.gateway.stop.closed.Load() && j.possibleRuns == 0 {
		return refusedStopping
	}
	return nil
}

// timeLeft returns the time until the request's deadline or the end of the gateway's stop.
func (j *job) timeLeft() time.Duration {
	deadline := j.deadline
	if end := bootclock.Instant(j.gateway.stop.end.Load()); end != 0 {
		deadline = min(deadline, end)
	}
	return deadline.Sub(bootclock.Now())
}

// sendContext returns the context of the request's sends until it is answered. Its end by the stop
// is lifted by j.outliveStop.
func (j *job) sendContext() (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(j.r.Context(), j.deadline.Sub(bootclock.Now()))
	j.outliveStop = context.AfterFunc(j.gateway.stop.ended, cancel)
	return ctx, func() {
		j.outliveStop()
		cancel()
	}
}
