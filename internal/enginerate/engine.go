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
	// fullTokens is the number of tokens from which on a sample has the full weight.
	fullTokens = 2000
	// queuedConfidence is the confidence of a sample whose time contains the wait for requests
	// of other gateways, relative to one without.
	queuedConfidence = 0.25
	// newestSamples is the number of samples that show a change of the rate by changeFactor;
	// older ones are dropped then. It is about 200 ms at 100 samples a second.
	newestSamples = 20
	changeFactor  = 1.6
)

// Engine estimates the rate of one engine.
type Engine struct {
	pool *Pool
	// samples are the newest samples in the order of their arrival.
	samples []keptSample
	// rate is the estimate at the usual slowness by the engine's own samples, and maxRate the
	// bound of the rate now, both valid if weight, the weight of the samples at computedAt, is
	// above 0.
	rate, maxRate float64
	weight        float64
	computedAt    bootclock.Instant
	changed       bool
	newestAt      bootclock.Instant
	slowness      slowness
}

// keptSample is a sample with its rates in tokens per millisecond.
type keptSample struct {
	at bootclock.Instant
	// observed is the rate as it was, normalized that at the usual slowness.
	observed, normalized float64
	// weight is the number of samples that it counts for, confidence its weight in the
	// quantile relative to other samples.
	weight, confidence float64
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
		*e = Engine{pool: e.pool}
		e.pool.changed = true
	}
}

// Observe records a sample at the time of its first response. Samples with few tokens are
// ignored.
func (e *Engine) Observe(s Sample, now bootclock.Instant) {
	elapsedMS := float64(s.Elapsed) / float64(time.Millisecond)
	if s.Tokens < minTokens || elapsedMS <= 0 {
		return
	}
	observed := (float64(s.Tokens) + s.OtherTokens) / elapsedMS
	kept := keptSample{at: now, observed: observed, normalized: observed * clampSlowness(s.Slowness), weight: 1}
	kept.confidence = min(1, float64(s.Tokens)/fullTokens) * float64(max(0, s.CertainTokens)) / float64(s.Tokens)
	if s.Queued {
		kept.confidence *= queuedConfidence
	}
	if len(e.samples) >= maxSamples {
		e.samples = append(e.samples[:0], e.samples[1:]...)
	}
	e.samples = append(e.samples, kept)
	e.newestAt, e.changed, e.pool.changed = now, true, true
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
	earlier := len(e.samples) - newestSamples
	if earlier < newestSamples/2 {
		return
	}
	before, after := e.quantileOf(e.samples[:earlier]), e.quantileOf(e.samples[earlier:])
	if after*changeFactor < before || before*changeFactor < after {
		e.samples = append(e.samples[:0], e.samples[earlier:]...)
	}
}

func (e *Engine) quantileOf(samples []keptSample) float64 {
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
	poolRate := e.pool.tokensPerMS(now) / max(1, slow)
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
