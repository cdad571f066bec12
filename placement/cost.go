package placement

import (
	"cmp"
	"slices"
	"time"
)

const (
	// DefaultPrefillRate is assumed of an upstream that does not tell its rate, in tokens a second.
	DefaultPrefillRate = 20_000.0

	importSetup    = 10 * time.Millisecond
	decodeStepCost = 400 * time.Microsecond
)

// Costs weighs the parts of an upstream's expected time to first token.
type Costs struct {
	// Recompute multiplies the time to compute missing blocks. Above 1 it also
	// counts what the computing costs the requests that come after.
	Recompute float64
	// Import allows copying blocks from the KV store.
	Import bool
}

// Estimate returns the expected time to first token of a request on the
// upstream that gave an answer, the cost that upstreams are compared by, and
// whether importing is part of it.
func (c Costs) Estimate(request Request, answer Answer, delay time.Duration) (expected, cost time.Duration, imports bool) {
	rate := answer.PrefillRate
	if rate <= 0 {
		rate = DefaultPrefillRate
	}
	missing := max(0, request.PromptTokens-answer.CachedTokens)
	compute := tokenTime(missing, rate)
	base := answer.Wait + delay + answer.Penalty + time.Duration(answer.Running)*decodeStepCost
	expected = base + compute
	cost = base + time.Duration(float64(compute)*c.Recompute)
	if !c.Import || answer.ImportableTokens <= 0 || answer.ImportRate <= 0 {
		return expected, cost, false
	}
	copied := min(missing, answer.ImportableTokens)
	rest := tokenTime(missing-copied, rate)
	transfer := importSetup + tokenTime(copied, answer.ImportRate)
	// The copy runs while the request waits for its turn.
	withImport := max(base, transfer) + rest
	costImport := max(base, transfer) + time.Duration(float64(rest)*c.Recompute)
	if withImport < expected {
		return withImport, costImport, true
	}
	return expected, cost, false
}

func tokenTime(tokens int64, rate float64) time.Duration {
	return time.Duration(float64(tokens) / rate * float64(time.Second))
}

// Order returns the choices for the answers that can serve, least cost first.
// Upstreams that are unavailable or silent are left out.
func (c Costs) Order(upstreams []Upstream, request Request, answers []Answer) []Choice {
	type ranked struct {
		choice Choice
		cost   time.Duration
	}
	list := make([]ranked, 0, len(answers))
	for _, answer := range answers {
		if !answer.Answered || answer.Unavailable {
			continue
		}
		expected, cost, imports := c.Estimate(request, answer, upstreams[answer.Upstream].Delay)
		list = append(list, ranked{
			choice: Choice{
				Upstream:     answer.Upstream,
				Incarnation:  answer.Incarnation,
				CachedTokens: answer.CachedTokens,
				Import:       imports,
				Expected:     expected,
			},
			cost: cost,
		})
	}
	slices.SortStableFunc(list, func(a, b ranked) int { return cmp.Compare(a.cost, b.cost) })
	choices := make([]Choice, len(list))
	for i := range list {
		choices[i] = list[i].choice
	}
	return choices
}
