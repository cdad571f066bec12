package fairqueue

import "time"

const (
	// defaultRate is assumed until prompts were computed, in tokens a second.
	defaultRate = 20_000.0
	// minRateTokens is the least prompt that the rate is learnt from.
	minRateTokens = 2_000
	rateGain      = 0.1
	// soloWait is the expected time for which a suspect keeps others waiting.
	soloWait = 2 * time.Second
)

// Backlog is the work before a request.
type Backlog struct {
	// Tokens are the prompt tokens to compute before the request.
	Tokens int64
	// Wait is the time that this is expected to take.
	Wait time.Duration
	// Running counts requests at the engine, Queued those before it.
	Running int
	Queued  int
	Full    bool
	// Rate is the observed speed of computing prompts in tokens a second.
	Rate float64
}

// Backlog returns what a new request of a customer would wait for. Requests of
// customers that are due later are left out, as they would be overtaken.
func (q *Queue) Backlog(customer string, priority int32, prefillTokens int64) Backlog {
	q.mu.Lock()
	defer q.mu.Unlock()
	b := Backlog{Running: q.running, Queued: len(q.waiting), Rate: q.rate}
	b.Full = q.closed || len(q.waiting) >= q.options.MaxQueued ||
		(q.waitingTokens > 0 && q.waitingTokens+prefillTokens > q.options.MaxQueuedTokens)
	b.Tokens = q.atEngine()
	start := q.startTag(customer)
	for _, e := range q.waiting {
		if before(priority, start, e) {
			break
		}
		b.Tokens += e.ticket.PrefillTokens
	}
	b.Wait = time.Duration(float64(b.Tokens) / q.rate * float64(time.Second))
	if q.suspects > 0 || (len(q.waiting) > 0 && q.waiting[0].ticket.Suspect) {
		b.Wait += soloWait
	}
	return b
}

// atEngine returns the prompt tokens at the engine that are not computed yet.
func (q *Queue) atEngine() int64 {
	var tokens int64
	for _, grant := range q.prefills {
		tokens += grant.remaining(q.rate)
	}
	return tokens
}

// remaining estimates the prompt tokens of a request that are not computed yet.
func (g *Grant) remaining(rate float64) int64 {
	if g.began.IsZero() {
		return g.ticket.PrefillTokens
	}
	done := int64(time.Since(g.began).Seconds() * rate)
	return max(0, g.ticket.PrefillTokens-done)
}

// Rate returns the observed speed of computing prompts in tokens a second.
func (q *Queue) Rate() float64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.rate
}

// SetRate takes the engine's own figure as the starting point.
func (q *Queue) SetRate(tokensPerSecond float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if tokensPerSecond > 0 && q.rate == defaultRate {
		q.rate = tokensPerSecond
	}
}

func (q *Queue) learnRate(tokens int64, took time.Duration) {
	if tokens < minRateTokens || took <= 0 {
		return
	}
	q.rate += rateGain * (float64(tokens)/took.Seconds() - q.rate)
}
