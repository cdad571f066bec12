package picker

import (
	"math"
	"sync"
	"time"

	"github.com/greengagegate/greengagegate/internal/metrics"
)

// OutcomeKind says how a request ended at an upstream.
type OutcomeKind uint8

// The outcomes that a router sees.
const (
	// OutcomeFirstToken is a request that gave its first token.
	OutcomeFirstToken OutcomeKind = iota
	// OutcomeFull is a refusal because the queue was full.
	OutcomeFull
	// OutcomeFailed is a request that failed through the upstream's fault.
	OutcomeFailed
	// OutcomeSilent is a probe without an answer in time.
	OutcomeSilent
)

// Outcome is what a router saw of one request at an upstream.
type Outcome struct {
	Kind OutcomeKind
	// Expected is the candidate's ExpectedWait, and FirstToken what it turned out to be.
	Expected   time.Duration
	FirstToken time.Duration
	// ExpectedCached and Cached are in tokens.
	ExpectedCached int64
	Cached         int64
}

const (
	avoidFull   = 100 * time.Millisecond
	avoidFailed = 500 * time.Millisecond
	maxAvoid    = 4 * time.Second
	maxPenalty  = 5 * time.Second
	penaltyGain = 0.25
	penaltyLife = 3 * time.Second
	// fleetGain smooths the lateness of all upstreams together.
	fleetGain = 0.02
	// An upstream is demoted by its lateness beyond toleratedRatio times the
	// fleet's and tolerated on top.
	toleratedRatio = 2
	tolerated      = 100 * time.Millisecond
)

// watch remembers how upstreams did against what they said.
type watch struct {
	mu      sync.Mutex
	records map[string]*record
	// late is the smoothed lateness of first tokens over all upstreams.
	late time.Duration
	now  func() time.Time
}

// record is the router's own view of one upstream.
type record struct {
	// late is the smoothed time by which first tokens came later than expected.
	late       time.Duration
	lateAt     time.Time
	failures   int
	avoidUntil time.Time
}

func newWatch() *watch {
	return &watch{records: make(map[string]*record), now: time.Now}
}

func (w *watch) report(upstream string, outcome Outcome) {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := w.records[upstream]
	if r == nil {
		r = new(record)
		w.records[upstream] = r
	}
	now := w.now()
	switch outcome.Kind {
	case OutcomeFirstToken:
		r.failures = 0
		w.observe(r, now, outcome.FirstToken-outcome.Expected)
		countError(outcome)
	case OutcomeFull:
		r.avoidUntil = now.Add(avoidFull)
	case OutcomeFailed, OutcomeSilent:
		r.failures++
		backoff := float64(avoidFailed) * math.Pow(2, float64(min(r.failures, 8)-1))
		r.avoidUntil = now.Add(min(maxAvoid, time.Duration(backoff)))
	}
}

func countError(outcome Outcome) {
	metrics.Histogram("router.expected_error_us").Update((outcome.FirstToken - outcome.Expected).Microseconds())
	if outcome.Cached < outcome.ExpectedCached {
		metrics.Counter("router.cache_overestimates").Inc(1)
	}
}

// observe smooths lateness; what is early counts as on time.
func (w *watch) observe(r *record, now time.Time, late time.Duration) {
	late = min(max(0, late), maxPenalty)
	w.late += time.Duration(fleetGain * float64(late-w.late))
	r.late = r.decayed(now)
	r.late += time.Duration(penaltyGain * float64(late-r.late))
	r.lateAt = now
}

// decayed returns the lateness after the time without news, so that a demoted
// upstream is tried again.
func (r *record) decayed(now time.Time) time.Duration {
	if r.late == 0 {
		return 0
	}
	return time.Duration(float64(r.late) * math.Exp2(-float64(now.Sub(r.lateAt))/float64(penaltyLife)))
}

// verdict returns the penalty on an upstream that is later than the others, and whether to leave it out for now.
func (w *watch) verdict(upstream string) (penalty time.Duration, avoided bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := w.records[upstream]
	if r == nil {
		return 0, false
	}
	now := w.now()
	penalty = max(0, r.decayed(now)-toleratedRatio*w.late-tolerated)
	return penalty, now.Before(r.avoidUntil)
}
