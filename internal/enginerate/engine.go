package enginerate

import (
	"time"

	"github.com/greengagegate/greengagegate/internal/bootclock"
)

const (
	// rateQuantile is the quantile of the samples that is taken for the rate. Most samples are
	// below the rate because of waiting; a few are above it because more of the prompt was
	// cached than expected.
	rateQuantile = 0.8
	// maxRateQuantile is the quantile of the samples as observed, not corrected by the
	// reported slowness, above which no report raises the rate.
	maxRateQuantile = 0.9
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
)

// Engine estimates the rate of one engine.
type Engine struct {
	pool *Pool
	// samples are the newest samples in the order of their arrival.
	samples []sample
	// rate is the estimate at the usual slowness by the engine's own samples, and maxRate the
	// bound of the rate now, both valid if weight, the weight of the samples at computedAt, is
	// above 0.
	rate, maxRate float64
	weight        float64
	computedAt    bootclock.Instant
	changed       bool
	newestAt      bootclock.Instant
	progress      progress
	slowness      slowness
	// incarnation counts the calls of Reset.
	incarnation int
}

// Remove removes the engine from its pool. A nil Engine has no pool.
func (e *Engine) Remove() {
	if e == nil {
		return
	}
	delete(e.pool.engines, e)
	e.pool.changed = true
}

// Reset drops everything that is known of the engine, because another incarnation runs under
// its ID. It has no effect on a nil Engine.
func (e *Engine) Reset() {
	if e != nil {
		*e = Engine{pool: e.pool, incarnation: e.incarnation + 1}
		e.pool.changed = true
	}
}

// compute updates the estimates by the engine's own samples.
func (e *Engine) compute(now bootclock.Instant) {
	e.changed, e.computedAt = false, now
	e.dropOutdated()
	normalized, observed := make([]weightedRate, 0, maxSamples), make([]weightedRate, 0, maxSamples)
	e.weight = 0
	for _, s := range e.samples {
		weight := ageWeight(now.Sub(s.at))
		if weight <= 0 {
			continue
		}
		e.weight += weight
		normalized = append(normalized, weightedRate{s.normalized, weight * s.confidence})
		observed = append(observed, weightedRate{s.observed, weight * s.confidence})
	}
	if e.weight > 0 {
		e.rate, e.maxRate = quantile(normalized, rateQuantile), quantile(observed, maxRateQuantile)
	}
}

// dropOutdated drops the samples from before a change of the rate that the newest ones show.
func (e *Engine) dropOutdated() {
	newestToSlow := newestIfSlower
	if e.slowness.reportedAt != 0 {
		newestToSlow = newestIfSlowerReported
	}
	if before, after, ok := e.split(newestToSlow); ok && after*changeFactor < before {
		e.keepNewest(newestToSlow)
	}
	if before, after, ok := e.split(newestIfFaster); ok && before*changeFactor < after {
		e.keepNewest(newestIfFaster)
	}
}

// split returns the estimates by the samples before the newest count ones and by these. ok is
// false if there are too few samples to compare.
func (e *Engine) split(count int) (before, after float64, ok bool) {
	earlier := len(e.samples) - count
	if earlier < newestIfFaster {
		return 0, 0, false
	}
	return e.quantileOf(e.samples[:earlier]), e.quantileOf(e.samples[earlier:]), true
}

func (e *Engine) keepNewest(count int) {
	e.samples = append(e.samples[:0], e.samples[len(e.samples)-count:]...)
}

// quantileOf returns the estimate by some samples, regardless of their ages.
func (e *Engine) quantileOf(samples []sample) float64 {
	rates := make([]weightedRate, len(samples))
	for i, s := range samples {
		rates[i] = weightedRate{s.normalized, s.confidence}
	}
	return quantile(rates, rateQuantile)
}

// TokensPerMS returns the rate at which the engine is expected to prefill now.
func (e *Engine) TokensPerMS(now bootclock.Instant) float64 {
	if e.changed {
		e.compute(now)
	}
	slow := e.Slowness(now)
	// A report alone makes no engine look faster than its pool.
	poolRate := e.pool.TokensPerMS(now) / max(1, slow)
	own := e.weight * ageWeight(now.Sub(e.newestAt))
	if own <= 0 {
		return poolRate
	}
	return (own*min(e.rate/slow, e.maxRate) + poolSamples*poolRate) / (own + poolSamples)
}

// Estimate returns the rate at which the engine is expected to prefill now, and what it is
// based on.
func (e *Engine) Estimate(now bootclock.Instant) Estimate {
	estimate := Estimate{TokensPerMS: e.TokensPerMS(now)}
	if e.newestAt != 0 {
		estimate.HasSample, estimate.Age = true, now.Sub(e.newestAt)
		estimate.Samples = e.weight * ageWeight(estimate.Age)
	}
	return estimate
}

// ageWeight returns the weight of a sample of an age, which falls linearly.
func ageWeight(age time.Duration) float64 {
	return max(0, 1-float64(age)/float64(maxSampleAge))
}
