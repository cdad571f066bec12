package fairqueue

import "time"

const (
	// defaultPrefillRate is the assumed prefill rate in tokens per second until the
	// engine reports a rate or a prefill has been measured.
	defaultPrefillRate = 20_000.0
	// minRateSampleTokens is the smallest prefill that updates the measured rate.
	minRateSampleTokens = 2_000
	// rateSmoothing is the weight of a new sample in the moving average of the rate.
	rateSmoothing = 0.1
	// suspectWait is the assumed time for which a suspect blocks other requests.
	suspectWait = 2 * time.Second
)

// Backlog describes the work that precedes a new request.
type Backlog struct {
	// Tokens is the number of prompt tokens to compute before the request starts.
	Tokens int64
	// Wait is the expected queue delay.
	Wait time.Duration
	// Running is the number of requests at the engine.
	Running int
	// Queued is the number of requests that wait in the queue.
	Queued int
	// Full reports whether the queue would reject the request.
	Full bool
	// Rate is the prefill rate in tokens per second.
	Rate float64
}

// Backlog estimates the work that a new request of the customer would wait for.
// It excludes queued requests that the new request would overtake.
func (q *Queue) Backlog(customer string, priority int32, prefillTokens int64) Backlog {
	q.mu.Lock()
	defer q.mu.Unlock()
	b := Backlog{Running: q.running, Queued: len(q.waiting), Rate: q.prefillRate}
	b.Full = q.closed || len(q.waiting) >= q.options.MaxQueued ||
		(q.waitingTokens > 0 && q.waitingTokens+prefillTokens > q.options.MaxQueuedTokens)
	b.Tokens = q.remainingPrefillTokens()
	start := q.nextStartTag(customer)
	for _, e := range q.waiting {
		if precedes(priority, start, e) {
			break
		}
		b.Tokens += e.ticket.PrefillTokens
	}
	b.Wait = time.Duration(float64(b.Tokens) / q.prefillRate * float64(time.Second))
	if q.suspects > 0 || (len(q.waiting) > 0 && q.waiting[0].ticket.Suspect) {
		b.Wait += suspectWait
	}
	return b
}

// remainingPrefillTokens estimates the number of prompt tokens that started requests
// still have to compute. It must be called with q.mu held.
func (q *Queue) remainingPrefillTokens() int64 {
	var tokens int64
	for _, grant := range q.prefilling {
		tokens += grant.remainingTokens(q.prefillRate)
	}
	return tokens
}

// remainingTokens estimates the number of prompt tokens of the request that are not
// computed yet, at a rate in tokens per second. It must be called with the
// queue's mu held.
func (g *Grant) remainingTokens(rate float64) int64 {
	if g.prefillStart.IsZero() {
		return g.ticket.PrefillTokens
	}
	computed := int64(time.Since(g.prefillStart).Seconds() * rate)
	return max(0, g.ticket.PrefillTokens-computed)
}

// PrefillRate returns the prefill rate in tokens per second.
func (q *Queue) PrefillRate() float64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.prefillRate
}

// SetInitialRate sets the initial prefill rate to the rate that the engine reports. It
// has no effect once the rate differs from the default.
func (q *Queue) SetInitialRate(tokensPerSecond float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if tokensPerSecond > 0 && q.prefillRate == defaultPrefillRate {
		q.prefillRate = tokensPerSecond
	}
}

// updateRate adds a completed prefill to the moving average of the rate. Small
// prefills are ignored. It must be called with q.mu held.
func (q *Queue) updateRate(tokens int64, elapsed time.Duration) {
	if tokens < minRateSampleTokens || elapsed <= 0 {
		return
	}
	q.prefillRate += rateSmoothing * (float64(tokens)/elapsed.Seconds() - q.prefillRate)
}
