package transfer

import (
	"math"
	"time"
)

const (
	// initialRate is the assumed rate of the store, in tokens per second, before the
	// first copy. A copy lowers the estimate by rateDecay or raises it to its own rate.
	initialRate = 60_000.0
	// copySetupTime is the fixed part of the duration of a copy.
	copySetupTime = 5 * time.Millisecond

	// waitSmoothing is the weight of the latest copy in the moving average of the
	// wait for other copies.
	waitSmoothing = 0.5
	// waitHalfLife is the time in which the expected wait halves without further copies.
	waitHalfLife = time.Second
	// rateDecay is the fraction by which each copy lowers the estimated rate, so that an
	// old maximum does not stay forever.
	rateDecay = 0.01
)

// rateEstimator estimates the cache store's rate and how long a copy currently waits for
// other copies.
type rateEstimator struct {
	// rate is the highest rate of a copy, lowered by rateDecay with each copy, in tokens
	// per second.
	rate float64
	// copyWait is the expected wait of a copy for other copies at the time
	// copyWaitUpdated.
	copyWait        time.Duration
	copyWaitUpdated time.Time
}

func newRateEstimator() rateEstimator { return rateEstimator{rate: initialRate} }

// observe records a copy of the given number of tokens. The time beyond the setup
// and the transfer at the estimated rate counts as waiting for other copies.
func (e *rateEstimator) observe(tokens float64, took time.Duration, now time.Time) {
	withoutSetup := max(took-copySetupTime, time.Microsecond)
	e.rate = max(e.rate*(1-rateDecay), tokens/withoutSetup.Seconds())
	copyWait := max(0, took-copySetupTime-e.transferTime(tokens))
	e.copyWait = e.expectedCopyWait(now)
	e.copyWait += time.Duration(waitSmoothing * float64(copyWait-e.copyWait))
	e.copyWaitUpdated = now
}

// transferTime returns how long a copy takes without setup and wait.
func (e *rateEstimator) transferTime(tokens float64) time.Duration {
	return time.Duration(tokens / e.rate * float64(time.Second))
}

// expectedCopyWait returns how long a copy is expected to wait for other copies. The
// estimate decays exponentially while no copy is observed.
func (e *rateEstimator) expectedCopyWait(now time.Time) time.Duration {
	if e.copyWait == 0 {
		return 0
	}
	return time.Duration(float64(e.copyWait) * math.Exp2(-float64(now.Sub(e.copyWaitUpdated))/float64(waitHalfLife)))
}

// effectiveRate returns the rate of a copy of the given number of tokens including
// its wait, in tokens per second.
func (e *rateEstimator) effectiveRate(tokens float64, now time.Time) float64 {
	return tokens / (e.expectedCopyWait(now) + e.transferTime(tokens)).Seconds()
}
