package fairqueue

import (
	"slices"
	"time"
)

// Grant is a request's place at the engine.
type Grant struct {
	queue  *Queue
	ticket Ticket
	done   bool
	// cleared says that a suspect need not be alone any more.
	cleared bool
	// began is when the engine began to compute the prompt; zero before.
	began time.Time
}

// SetPrefill corrects the number of tokens to compute, as after an import.
func (g *Grant) SetPrefill(tokens int64) {
	g.queue.mu.Lock()
	defer g.queue.mu.Unlock()
	g.setPrefill(tokens)
}

// Begin says that the engine has begun to compute the prompt, and how many
// tokens that are.
func (g *Grant) Begin(tokens int64) {
	g.queue.mu.Lock()
	defer g.queue.mu.Unlock()
	g.setPrefill(tokens)
	g.began = time.Now()
}

func (g *Grant) setPrefill(tokens int64) {
	account := g.queue.customers[g.ticket.Customer]
	if g.done || account == nil {
		return
	}
	account.finish += float64(tokens-g.ticket.PrefillTokens) / g.ticket.weight()
	g.ticket.PrefillTokens = tokens
}

// FirstToken says that the prompt is computed, which lets the next one in.
func (g *Grant) FirstToken() {
	g.queue.mu.Lock()
	defer g.queue.mu.Unlock()
	g.queue.endPrefill(g, true)
	g.clear()
	g.queue.dispatch()
}

// clear lets others run beside a suspect.
func (g *Grant) clear() {
	if g.ticket.Suspect && !g.cleared {
		g.cleared = true
		g.queue.suspects--
	}
}

// Release ends the request. Actual is the service it got in tokens: prompt
// tokens computed and decodeCost for each generated one, see Service. Further calls do nothing.
func (g *Grant) Release(actual float64) {
	g.queue.mu.Lock()
	defer g.queue.mu.Unlock()
	if g.done {
		return
	}
	g.done = true
	g.queue.endPrefill(g, false)
	g.queue.running--
	g.clear()
	g.queue.settle(g.ticket, actual)
	g.queue.dispatch()
}

// Service returns the service of a request in tokens, for Release.
func Service(prefillTokens, generatedTokens int64) float64 {
	return Ticket{PrefillTokens: prefillTokens, DecodeTokens: generatedTokens}.cost()
}

// endPrefill takes g out of the requests without a first token. A completed one
// tells the engine's rate.
func (q *Queue) endPrefill(g *Grant, completed bool) {
	i := slices.Index(q.prefills, g)
	if i < 0 {
		return
	}
	if completed && !g.began.IsZero() {
		q.learnRate(g.ticket.PrefillTokens, time.Since(g.began))
	}
	q.prefills = slices.Delete(q.prefills, i, i+1)
}
