package picker

import (
	"math"
	"sync"
	"time"

	"github.com/greengagegate/greengagegate/internal/metrics"
)

// OutcomeKind classifies an Outcome.
type OutcomeKind uint8

// Kinds of outcomes.
const (
	// OutcomeFirstToken means that the request has produced its first token.
	OutcomeFirstToken OutcomeKind = iota
	// OutcomeQueueFull means that the upstream refused the request because its queue was full.
	OutcomeQueueFull
	// OutcomeFailed means that the request failed because of the upstream.
	OutcomeFailed
	// OutcomeProbeFailed means that a probe could not be sent or was not answered
	// in time.
	OutcomeProbeFailed
)

// Outcome is the result of a request or probe at an upstream, as the router observed it.
type Outcome struct {
	Kind OutcomeKind
	// The following fields are used only for OutcomeFirstToken.

	// ExpectedTTFT is the candidate's ExpectedTTFT, and TTFT the measured time to
	// the first token.
	ExpectedTTFT time.Duration
	TTFT         time.Duration
	// ExpectedCached and Cached are the expected and the actual numbers of prompt
	// tokens in the engine's cache.
	ExpectedCached int64
	Cached         int64
}

const (
	// queueFullExclusion is how long an upstream is excluded after a full queue. An
	// excluded upstream is not probed. Policies without probes may still choose it.
	queueFullExclusion = 100 * time.Millisecond
	// An upstream is excluded for minFailureExclusion after a failure. The time
	// doubles with each further failure until a first token, up to
	// maxFailureExclusion.
	minFailureExclusion = 500 * time.Millisecond
	maxFailureExclusion = 4 * time.Second

	// maxLateness limits the lateness that one request contributes, and with it
	// the penalty.
	maxLateness = 5 * time.Second
	// latenessGain is the weight of a new observation in an upstream's moving average.
	latenessGain = 0.25
	// latenessHalfLife is the time without observations in which an upstream's
	// lateness halves.
	latenessHalfLife = 3 * time.Second
	// fleetLatenessGain is the weight of a new observation in the moving average
	// over all upstreams.
	fleetLatenessGain = 0.02
	// An upstream's penalty is its lateness minus toleratedLatenessRatio times the
	// average lateness of all upstreams minus toleratedLateness, but at least 0.
	toleratedLatenessRatio = 2
	toleratedLateness      = 100 * time.Millisecond
)

// outcomeTracker compares the observed times to the first token with the expected
// times, which may include the penalty and the round trip that the router has added to
// the agent's reply. It is safe for concurrent use.
type outcomeTracker struct {
	mu      sync.Mutex
	records map[string]*upstreamRecord
	// fleetLateness is the moving average of lateness over all upstreams.
	fleetLateness time.Duration
	now           func() time.Time
}

// upstreamRecord is the router's own record of one upstream.
type upstreamRecord struct {
	// lateness is the moving average, at latenessAt, of the time by which first
	// tokens arrive later than expected.
	lateness   time.Duration
	latenessAt time.Time
	// failures counts the failed requests and probes since the last first token.
	failures      int
	excludedUntil time.Time
}

func newOutcomeTracker() *outcomeTracker {
	return &outcomeTracker{records: make(map[string]*upstreamRecord), now: time.Now}
}

func (t *outcomeTracker) report(upstream string, outcome Outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[upstream]
	if r == nil {
		r = new(upstreamRecord)
		t.records[upstream] = r
	}
	now := t.now()
	switch outcome.Kind {
	case OutcomeFirstToken:
		r.failures = 0
		t.observeLateness(r, now, outcome.TTFT-outcome.ExpectedTTFT)
		recordPredictionError(outcome)
	case OutcomeQueueFull:
		r.excludedUntil = now.Add(queueFullExclusion)
	case OutcomeFailed, OutcomeProbeFailed:
		r.failures++
		// The limit on the exponent keeps the conversion to a duration from overflowing.
		exclusion := float64(minFailureExclusion) * math.Pow(2, float64(min(r.failures, 8)-1))
		r.excludedUntil = now.Add(min(maxFailureExclusion, time.Duration(exclusion)))
	}
}

func recordPredictionError(outcome Outcome) {
	metrics.Histogram("router.expected_error_us").Update((outcome.TTFT - outcome.ExpectedTTFT).Microseconds())
	if outcome.Cached < outcome.ExpectedCached {
		metrics.Counter("router.cache_overestimates").Inc(1)
	}
}

// observeLateness updates the averages with the lateness of one first token. An
// early token counts as on time. It must be called with mu held.
func (t *outcomeTracker) observeLateness(r *upstreamRecord, now time.Time, lateness time.Duration) {
	lateness = min(max(0, lateness), maxLateness)
	t.fleetLateness += time.Duration(fleetLatenessGain * float64(lateness-t.fleetLateness))
	r.lateness = r.decayedLateness(now)
	r.lateness += time.Duration(latenessGain * float64(lateness-r.lateness))
	r.latenessAt = now
}

// decayedLateness returns the lateness reduced by the time since the last
// observation. Without the decay, an upstream with a penalty might get no requests, and
// its lateness would not be observed again.
func (r *upstreamRecord) decayedLateness(now time.Time) time.Duration {
	if r.lateness == 0 {
		return 0
	}
	return time.Duration(float64(r.lateness) * math.Exp2(-float64(now.Sub(r.latenessAt))/float64(latenessHalfLife)))
}

// penaltyOf returns the time to add to the expected time to the first token on an
// upstream, 0 if it is not late, and whether the upstream is excluded at present.
func (t *outcomeTracker) penaltyOf(upstream string) (penalty time.Duration, excluded bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[upstream]
	if r == nil {
		return 0, false
	}
	now := t.now()
	penalty = max(0, r.decayedLateness(now)-toleratedLatenessRatio*t.fleetLateness-toleratedLateness)
	return penalty, now.Before(r.excludedUntil)
}
