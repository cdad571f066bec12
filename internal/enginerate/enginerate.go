// Package enginerate estimates how many prompt tokens each engine of a pool prefills in a
// millisecond, from the times to the first responses of this gateway's requests and from the
// slowness that engines report.
//
// Load pattern: a gateway gets a few to a hundred responses a second from each of some dozens
// of engines. The time to a first response also contains the wait for requests of other
// gateways, decoding steps and chunks of other prompts, so that a single sample bounds the
// rate from below. Engines of a pool differ by a factor of two to three, and on shared
// machines the speed of some changes by the same factor several times a second. A wrong rate
// makes requests wait at engines that cannot respond in time, while others are idle.
//
// The functions do no I/O, and the time is passed in. A Pool and its engines must be used by
// one goroutine at a time.
package enginerate

import (
	"time"

	"github.com/greengagegate/greengagegate/internal/bootclock"
)

const (
	// minTokens is the least number of tokens of a sample. The time to prefill fewer is
	// dominated by that of a step and of the network.
	minTokens = 500
	// poolSamples is the number of samples that the estimate of the pool counts for in the
	// estimate of an engine.
	poolSamples = 3.0
	// priorSamples is the number of samples that the pool's best recent estimate, or the prior
	// if there is none, counts for in the estimate of the pool.
	priorSamples = 2.0
	// bestPeriod is the period of the best recent estimate of the pool, and minBestSamples the
	// number of samples that an estimate must have to count. Without new samples the pool's
	// estimate returns to the best one: estimates are too low in a surge, and if they stopped
	// all requests, no sample would ever raise them.
	bestPeriod     = 30 * time.Second
	minBestSamples = 10.0
	// minEngineSamples is the number of samples from which on an engine has a quantile of its
	// own in the estimate of the pool.
	minEngineSamples = 4.0
	// poolInterval is the least time between two computations of the pool's estimate.
	poolInterval = 100 * time.Millisecond
	// maxSpread limits how much an engine differs from its pool, in both directions, in the
	// pool's estimate. It keeps an engine with wrong reports from moving the others.
	maxSpread = 4.0
)

// Pool holds the estimates of the engines of one pool.
type Pool struct {
	// prior is the rate that is assumed until there are samples, in tokens per millisecond, as
	// all rates here.
	prior   float64
	engines map[*Engine]struct{}
	// rate is the estimate at the usual slowness, computed at computedAt, and best the largest
	// recent one.
	rate       float64
	best       recentMax
	computedAt bootclock.Instant
	// scratch is the memory of quantileOf.
	scratch []weightedRate
}

// NewPool returns a pool without engines. priorTokensPerMS is the rate that its engines are
// assumed to have until there are samples.
func NewPool(priorTokensPerMS float64) *Pool {
	return &Pool{prior: priorTokensPerMS, rate: priorTokensPerMS, engines: make(map[*Engine]struct{})}
}

// Add adds an engine of which nothing is known. Remove ends its part in the pool.
func (p *Pool) Add() *Engine {
	e := &Engine{pool: p}
	p.engines[e] = struct{}{}
	return e
}

// TokensPerMS returns the mean rate of the engines at the usual slowness, or the prior while
// nothing is known.
func (p *Pool) TokensPerMS(now bootclock.Instant) float64 {
	if now.Sub(p.computedAt) >= poolInterval {
		p.compute(now)
	}
	return p.rate
}

// compute updates the estimate: the mean of the engines' estimates, in which the engines with
// few samples have a common one.
func (p *Pool) compute(now bootclock.Instant) {
	var few []sample
	weight, sum, fewWeight := 0.0, 0.0, 0.0
	for e := range p.engines {
		if e.changed {
			e.compute(now)
		}
		if own := e.currentWeight(now); own >= minEngineSamples {
			weight += own
			sum += own * min(max(e.rate, p.rate/maxSpread), p.rate*maxSpread)
			continue
		}
		for _, s := range e.samples {
			if w := ageWeight(now.Sub(s.at)); w > 0 {
				few, fewWeight = append(few, s), fewWeight+w
			}
		}
	}
	if fewWeight > 0 {
		weight += fewWeight
		sum += fewWeight * p.quantileOf(few, normalizedRate, func(s sample) float64 { return ageWeight(now.Sub(s.at)) })
	}
	if weight >= minBestSamples {
		p.best.add(sum/weight, bestPeriod, now)
	}
	usual := p.best.value()
	if usual == 0 {
		usual = p.prior
	}
	p.rate = (sum + priorSamples*usual) / (weight + priorSamples)
	p.computedAt = now
}

// quantileOf returns the estimate by one of the rates of samples, of which there must be at
// least one. weightOf returns a weight beside the confidence.
func (p *Pool) quantileOf(samples []sample, rateOf, weightOf func(sample) float64) float64 {
	p.scratch = p.scratch[:0]
	for _, s := range samples {
		p.scratch = append(p.scratch, weightedRate{rateOf(s), weightOf(s) * s.confidence})
	}
	return quantile(p.scratch, rateQuantile)
}

// Estimate is what is known of an engine's rate.
type Estimate struct {
	// TokensPerMS is the rate at which the engine is expected to prefill now, in tokens per
	// millisecond.
	TokensPerMS float64
	// Samples is the weight of the engine's own samples; an old one counts for less than 1.
	Samples float64
	// Age is the time since the newest sample, if there is one.
	Age       time.Duration
	HasSample bool
}
