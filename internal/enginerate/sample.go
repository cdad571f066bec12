package enginerate

import (
	"time"

	"github.com/greengagegate/greengagegate/internal/bootclock"
)

// progress tracks the work of an engine on the requests of this gateway.
type progress struct {
	// doneTokens is the number of tokens of all requests that have had a first response.
	doneTokens int64
	// busySince is when the engine began, at the latest, to work on the requests that it has
	// now: the newest first response, or the sending of a request while there was no other.
	busySince bootclock.Instant
}

// Start is what was known when a request was sent. The zero value belongs to a request that is
// not observed.
type Start struct {
	engine      *Engine
	incarnation int
	sentAt      bootclock.Instant
	// tokens is the number of tokens to prefill. certainTokens is the number of those that
	// cannot have been cached since.
	tokens, certainTokens int64
	// doneTokens is the number of tokens that the engine had prefilled, including the
	// estimated part of a prompt that it had not completed.
	doneTokens float64
	slowness   float64
	queueing   bool
}

// Begin records that a request is about to be sent. tokens is the number of its prompt tokens
// that the engine is expected to prefill, and certainTokens the number of those that cannot
// have been cached by a request of another gateway. backlogTokens is the number of tokens of
// earlier requests of this gateway that have had no first response. Begin may be called on a
// nil Engine.
func (e *Engine) Begin(tokens, certainTokens, backlogTokens int64, now bootclock.Instant) Start {
	if e == nil {
		return Start{}
	}
	if backlogTokens <= 0 {
		e.progress.busySince = now
	}
	// A report of a low speed must not make the engine look as if it had done more since.
	partial := milliseconds(now.Sub(e.progress.busySince)) * max(e.TokensPerMS(now), e.maxRate.value())
	return Start{
		engine: e, incarnation: e.incarnation, sentAt: now, tokens: tokens, certainTokens: min(certainTokens, tokens),
		doneTokens: float64(e.progress.doneTokens) + min(partial, float64(max(0, backlogTokens))),
		slowness:   e.Slowness(now), queueing: e.isQueueing(now),
	}
}

// FirstResponse records the first response to a request, of which Begin returned start. It
// must be called at most once for a request, and has no effect if the engine was reset or
// removed since.
func (start *Start) FirstResponse(now bootclock.Instant) {
	e := start.engine
	if e == nil || start.incarnation != e.incarnation {
		return
	}
	otherTokens := max(0, float64(e.progress.doneTokens)-start.doneTokens)
	e.progress.doneTokens += start.tokens
	e.progress.busySince = now
	elapsedMS := milliseconds(now.Sub(start.sentAt))
	if start.tokens < minTokens || start.certainTokens <= 0 || elapsedMS <= 0 {
		return
	}
	observed := (float64(start.tokens) + otherTokens) / elapsedMS
	certainty := float64(start.certainTokens) / float64(start.tokens)
	confidence := min(float64(start.tokens)+otherTokens, fullTokens) * certainty * certainty
	if start.queueing {
		confidence *= queuedConfidence
	}
	meanSlowness := (start.slowness + e.Slowness(now)) / 2
	e.add(sample{at: now, observed: observed, normalized: observed * meanSlowness, confidence: confidence})
}

// sample is the rate of an engine that the first response to one request shows, in tokens per
// millisecond.
type sample struct {
	at bootclock.Instant
	// observed is the rate as it was, normalized that at the usual slowness.
	observed, normalized float64
	// confidence is the weight in a quantile, relative to other samples of the same age.
	confidence float64
}

// add keeps a sample.
func (e *Engine) add(s sample) {
	if len(e.samples) >= maxSamples {
		e.samples = append(e.samples[:0], e.samples[1:]...)
	}
	e.samples = append(e.samples, s)
	e.newestAt, e.changed = s.at, true
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
