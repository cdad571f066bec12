package quota

import (
	"math"
	"time"
)

// demandWindow is the time constant of the decaying sums of demand.
const demandWindow = time.Second

// minExpectedRequests is how many requests must be expected in a period before
// tokens are requested for it in advance.
const minExpectedRequests = 2

// demand holds exponentially decaying sums of requests and of the tokens they
// asked for.
type demand struct {
	tokens   float64
	requests float64
	at       time.Time
}

// record counts one request.
func (d *demand) record(now time.Time, tokens float64) {
	if !d.at.IsZero() {
		decay := math.Exp(-now.Sub(d.at).Seconds() / demandWindow.Seconds())
		d.tokens *= decay
		d.requests *= decay
	}
	d.tokens += tokens
	d.requests++
	d.at = now
}

// requestRate returns the number of requests per second.
func (d *demand) requestRate(now time.Time) float64 {
	return d.requests * math.Exp(-now.Sub(d.at).Seconds()/demandWindow.Seconds()) / demandWindow.Seconds()
}

// expectedTokens returns how many tokens are likely to be requested within a
// period, or zero when requests are too rare for an estimate.
func (d *demand) expectedTokens(within time.Duration) float64 {
	seconds := within.Seconds()
	if d.requests*seconds < minExpectedRequests {
		return 0
	}
	return d.tokens * seconds / demandWindow.Seconds()
}

// unusedTokens is a sum of tokens that were spent and not used. earliestSpent
// is not later than the time at which any of them was spent.
type unusedTokens struct {
	tokens        float64
	earliestSpent time.Time
}

// add merges further unused tokens.
func (r *unusedTokens) add(tokens float64, earliestSpent time.Time) {
	if r.tokens == 0 || earliestSpent.Before(r.earliestSpent) {
		r.earliestSpent = earliestSpent
	}
	r.tokens += tokens
}

// takeAll returns the sum and resets it to zero.
func (r *unusedTokens) takeAll() unusedTokens {
	all := *r
	*r = unusedTokens{}
	return all
}
