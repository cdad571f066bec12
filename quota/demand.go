package quota

import (
	"math"
	"time"
)

// demandWindow is the time over which demand is averaged.
const demandWindow = time.Second

// minExpectedAsks is the number of asks in a time that make it worth asking ahead.
const minExpectedAsks = 2

// demand is a decaying sum of what was asked for.
type demand struct {
	tokens float64
	asks   float64
	at     time.Time
}

// add counts one ask.
func (d *demand) add(now time.Time, tokens float64) {
	if !d.at.IsZero() {
		keep := math.Exp(-now.Sub(d.at).Seconds() / demandWindow.Seconds())
		d.tokens *= keep
		d.asks *= keep
	}
	d.tokens += tokens
	d.asks++
	d.at = now
}

// rate returns the number of asks a second.
func (d *demand) rate(now time.Time) float64 {
	return d.asks * math.Exp(-now.Sub(d.at).Seconds()/demandWindow.Seconds()) / demandWindow.Seconds()
}

// expect returns the tokens likely asked for within a time, or zero when asks
// are too rare to foresee.
func (d *demand) expect(within time.Duration) float64 {
	seconds := within.Seconds()
	if d.asks*seconds < minExpectedAsks {
		return 0
	}
	return d.tokens * seconds / demandWindow.Seconds()
}

// refund is tokens that were spent and not used, with a time not later than the
// spending of any of them.
type refund struct {
	tokens float64
	since  time.Time
}

// add merges a further refund.
func (r *refund) add(tokens float64, since time.Time) {
	if r.tokens == 0 || since.Before(r.since) {
		r.since = since
	}
	r.tokens += tokens
}

// take returns the refund and clears it.
func (r *refund) take() refund {
	taken := *r
	*r = refund{}
	return taken
}
