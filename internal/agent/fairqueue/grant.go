package fairqueue

import (
	"slices"
	"time"
)

// Grant is the permission of a request to run at the engine. Its methods are safe
// for concurrent use.
type Grant struct {
	queue    *Queue
	ticket   Ticket
	released bool
	// exclusiveEnded is true once a suspect no longer has to run alone.
	exclusiveEnded bool
	// prefillStart is the time at which the engine began to compute the prompt. It is
	// zero before that.
	prefillStart time.Time
}

// SetPrefillTokens corrects the number of prompt tokens to compute, for example after
// cached parts have been imported.
func (g *Grant) SetPrefillTokens(tokens int64) {
	g.queue.mu.Lock()
	defer g.queue.mu.Unlock()
	g.setPrefillTokens(tokens)
}

// BeginPrefill records that the engine has begun to compute the prompt and sets the
// number of prompt tokens to compute.
func (g *Grant) BeginPrefill(tokens int64) {
	g.queue.mu.Lock()
	defer g.queue.mu.Unlock()
	g.setPrefillTokens(tokens)
	g.prefillStart = time.Now()
}

// setPrefillTokens must be called with the queue's mu held.
func (g *Grant) setPrefillTokens(tokens int64) {
	account := g.queue.accounts[g.ticket.Customer]
	if g.released || account == nil {
		return
	}
	account.finishTag += float64(tokens-g.ticket.PrefillTokens) / g.ticket.effectiveWeight()
	g.ticket.PrefillTokens = tokens
}

// RecordFirstToken records that the prompt has been computed. The next request may then
// start.
func (g *Grant) RecordFirstToken() {
	g.queue.mu.Lock()
	defer g.queue.mu.Unlock()
	g.queue.endPrefill(g, true)
	g.endExclusive()
	g.queue.dispatch()
}

// endExclusive allows other requests to run concurrently with a suspect. It must be
// called with the queue's mu held.
func (g *Grant) endExclusive() {
	if g.ticket.Suspect && !g.exclusiveEnded {
		g.exclusiveEnded = true
		g.queue.suspects--
	}
}

// Release ends the request. actual is the service that the request received, in
// tokens: the computed prompt tokens plus decodeTokenCost for each generated
// token, as returned by ServiceTokens. Further calls have no effect.
func (g *Grant) Release(actual float64) {
	g.queue.mu.Lock()
	defer g.queue.mu.Unlock()
	if g.released {
		return
	}
	g.released = true
	g.queue.endPrefill(g, false)
	g.queue.running--
	g.endExclusive()
	g.queue.settleAccount(g.ticket, actual)
	g.queue.dispatch()
}

// ServiceTokens returns the service of a request in tokens, as expected by Release.
func ServiceTokens(prefillTokens, generatedTokens int64) float64 {
	return Ticket{PrefillTokens: prefillTokens, DecodeTokens: generatedTokens}.cost()
}

// endPrefill removes g from the requests without a first token. A completed
// prefill updates the measured rate. It must be called with q.mu held.
func (q *Queue) endPrefill(g *Grant, completed bool) {
	i := slices.Index(q.prefilling, g)
	if i < 0 {
		return
	}
	if completed && !g.prefillStart.IsZero() {
		q.updateRate(g.ticket.PrefillTokens, time.Since(g.prefillStart))
	}
	q.prefilling = slices.Delete(q.prefilling, i, i+1)
}
