package quota

import (
	"math"
	"time"
)

// demandWindow is the time over which demand is averaged.
const demandWindow = time.Second

// minExpectedAsks is the number of asks in a time that make it worth asking ahead.
const minExpectedRequests = 2

// demand is a decaying sum of what was asked for.
type demand struct {
	tokens   float64
	requests float64
	at       time.Time
}

// add counts one ask.
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

// rate returns the number of asks a second.
func (d *demand) requestRate(now time.Time) float64 {
	return d.requests * math.Exp(-now.Sub(d.at).Seconds()/demandWindow.Seconds()) / demandWindow.Seconds()
}

// expect returns the tokens likely asked for within a time, or zero when asks
// are too rare to foresee.
func (d *demand) expectedTokens(within time.Duration) float64 {
	seconds := within.Seconds()
	if d.requests*seconds < minExpectedRequests {
		return 0
	}
	return d.tokens * seconds / demandWindow.Seconds()
}

// refund is tokens that were spent and not used, with a time not later than the
// spending of any of them.
type unusedTokens struct {
	tokens     float64
	spentSince time.Time
}

// add merges a further refund.
func (r *unusedTokens) add(tokens float64, spentSince time.Time) {
	if r.tokens == 0 || spentSince.Before(r.spentSince) {
		r.spentSince = spentSince
	}
	r.tokens += tokens
}

// take returns the refund and clears it.
func (r *unusedTokens) takeAll() unusedTokens {
	all := *r
	*r = unusedTokens{}
	return all
}
