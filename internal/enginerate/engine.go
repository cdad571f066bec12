package enginerate

import (
	"time"

	"github.com/greengagegate/greengagegate/internal/bootclock"
)

const (
	// rateQuantile is the quantile of the samples that is taken for the rate. Most samples are
	// below the rate because of waiting; a few are above it because more of the prompt was
	// cached than expected.
	rateQuantile = 0.75
	// maxSamples is the number of samples of an engine that are kept.
	maxSamples = 48
	// maxSampleAge is the age at which a sample loses its weight.
	maxSampleAge = 6 * time.Second
	// fullTokens is the number of tokens from which on a sample has the full confidence. With
	// more tokens, waiting is a smaller part of the time.
	fullTokens = 10_000
	// queuedConfidence is the confidence of a sample whose time contains the wait for requests
	// of other gateways, relative to one without.
	queuedConfidence = 0.25
	// A change of the rate by changeFactor is one if the newest samples agree on it; earlier
	// samples are dropped then. A few show that an engine became faster, since samples bound
	// the rate from below. More are needed to show that it became slower, and yet more if it
	// reports its slowness, because the rate at the usual slowness hardly changes then and
	// waiting is the more likely reason.
	newestIfFaster         = 4
	newestIfSlower         = 8
	newestIfSlowerReported = 20
	changeFactor           = 1.6
	// possibleChangeFactor is less, since the last estimate may contain some of the newest
	// samples.
	possibleChangeFactor = 1.25
	// maxPeriod is the period of the largest recent estimate. It is longer than the 600 ms for
	// which engines on shared machines keep a speed, so that one that reports to be as fast as
	// before is believed at once.
	maxPeriod = 700 * time.Millisecond
)

// Engine estimates the rate of one engine.
type Engine struct {
	pool *Pool
	// samples are the newest samples in the order of their arrival. droppedSamples is the
	// number of those that a change of the rate outdated and that the newer ones count for.
	samples        []sample
	droppedSamples int
	// rate is the estimate at the usual slowness by the engine's own samples, observed that
	// without regard to reports, and maxRate the largest recent one of the latter, above which
	// no report raises the rate. They are valid if weight, the weight of the samples when they
	// were computed, is above 0.
	rate, observed float64
	maxRate        recentMax
	weight         float64
	// newestAt is when the newest sample was added, and changed is true if one was added since
	// the estimates were computed.
	newestAt bootclock.Instant
	changed  bool
	progress progress
	slowness slowness
	// incarnation counts the calls of Reset.
	incarnation int
}

// Remove removes the engine from its pool. A nil Engine has no pool.
func (e *Engine) Remove() {
	if e == nil {
		return
	}
	delete(e.pool.engines, e)
}

// Reset drops everything that is known of the engine, because another incarnation runs under
// its ID. It has no effect on a nil Engine.
func (e *Engine) Reset() {
	if e != nil {
		*e = Engine{pool: e.pool, incarnation: e.incarnation + 1}
	}
}

// compute updates the estimates by the engine's own samples.
func (e *Engine) compute(now bootclock.Instant) {
	e.changed = false
	e.dropOutdated()
	e.weight = 0
	for _, s := range e.samples {
		e.weight += ageWeight(now.Sub(s.at))
	}
	if e.weight > 0 {
		e.weight += float64(min(e.droppedSamples, maxSamples-len(e.samples)))
		age := func(s sample) float64 { return ageWeight(now.Sub(s.at)) }
		e.observed = e.pool.quantileOf(e.samples, observedRate, age)
		e.maxRate.add(e.observed, maxPeriod, now)
		if e.rate = e.observed; e.slowness.reportedAt != 0 {
			e.rate = e.pool.quantileOf(e.samples, normalizedRate, age)
		}
	}
}

// currentWeight returns the number of samples that the estimate by the engine's own samples
// counts for now.
func (e *Engine) currentWeight(now bootclock.Instant) float64 {
	return e.weight * ageWeight(now.Sub(e.newestAt))
}

// dropOutdated drops the samples from before a change of the rate that the newest ones show.
func (e *Engine) dropOutdated() {
	newestToSlow := newestIfSlower
	if e.slowness.reportedAt != 0 {
		newestToSlow = newestIfSlowerReported
	}
	if e.hasChanged(newestToSlow, func(before, after float64) float64 { return before / after }) {
		e.keepNewest(newestToSlow)
	}
	if e.hasChanged(newestIfFaster, func(before, after float64) float64 { return after / before }) {
		e.keepNewest(newestIfFaster)
	}
}

// hasChanged reports whether the newest count samples differ from the earlier ones by
// changeFactor, both as observed and at the usual slowness. The latter alone also changes by
// wrong reports, the former by right ones. factor returns the factor of a change.
func (e *Engine) hasChanged(count int, factor func(before, after float64) float64) bool {
	earlier := len(e.samples) - count
	if earlier < newestIfFaster {
		return false
	}
	after := e.pool.quantileOf(e.samples[earlier:], observedRate, anyAge)
	// The last estimate rules out most changes without a look at the earlier samples.
	if factor(e.observed, after) < possibleChangeFactor || factor(e.pool.quantileOf(e.samples[:earlier], observedRate, anyAge), after) < changeFactor {
		return false
	}
	before := e.pool.quantileOf(e.samples[:earlier], normalizedRate, anyAge)
	return factor(before, e.pool.quantileOf(e.samples[earlier:], normalizedRate, anyAge)) >= changeFactor
}

func observedRate(s sample) float64   { return s.observed }
func normalizedRate(s sample) float64 { return s.normalized }

func anyAge(sample) float64 { return 1 }

// keepNewest drops all but the newest samples, which count for the dropped ones as well: the
// engine is not less known than before.
func (e *Engine) keepNewest(count int) {
	e.droppedSamples = min(e.droppedSamples+len(e.samples)-count, maxSamples)
	e.samples = append(e.samples[:0], e.samples[len(e.samples)-count:]...)
}

// TokensPerMS returns the rate at which the engine is expected to prefill now.
func (e *Engine) TokensPerMS(now bootclock.Instant) float64 {
	if e.changed {
		e.compute(now)
	}
	slow := e.Slowness(now)
	// A report alone makes no engine look faster than its pool.
	poolRate := e.pool.TokensPerMS(now) / max(1, slow)
	own := e.currentWeight(now)
	if own <= 0 {
		return poolRate
	}
	return (own*min(e.rate/slow, e.maxRate.value()) + poolSamples*poolRate) / (own + poolSamples)
}

// Estimate returns the rate at which the engine is expected to prefill now, and what it is
// based on.
func (e *Engine) Estimate(now bootclock.Instant) Estimate {
	estimate := Estimate{TokensPerMS: e.TokensPerMS(now)}
	if e.newestAt != 0 {
		estimate.HasSample, estimate.Age = true, now.Sub(e.newestAt)
		estimate.Samples = e.currentWeight(now)
	}
	return estimate
}

// ageWeight returns the weight of a sample of an age, which falls linearly.
func ageWeight(age time.Duration) float64 {
	return max(0, 1-float64(age)/float64(maxSampleAge))
}
