package rollout

import (
	"flag"
	"testing"
	"time"
)

var seedCount = flag.Int("seeds", 1000, "rollouts to replay for each pattern")

func failing(rate float64) func(*replay, time.Duration, int, float64, *response) {
	return func(r *replay, _ time.Duration, _ int, _ float64, result *response) {
		if r.random.Float64() < rate {
			result.failed, result.bad = true, true
		}
	}
}

// failingLate fails half of the responses from 10 s on.
func failingLate(r *replay, at time.Duration, route int, load float64, result *response) {
	if at >= 10*time.Second {
		failing(0.5)(r, at, route, load, result)
	}
}

func failingOnRoute(route int, rate float64) func(*replay, time.Duration, int, float64, *response) {
	return func(r *replay, at time.Duration, of int, load float64, result *response) {
		if of == route {
			failing(rate)(r, at, of, load, result)
		}
	}
}

func slowUnderLoad(_ *replay, _ time.Duration, _ int, load float64, result *response) {
	if load >= 0.75 {
		result.slower, result.bad = result.slower*4, true
	}
}

// slightlyWorse makes 3% more responses fail, and all take 3% longer.
func slightlyWorse(r *replay, _ time.Duration, _ int, _ float64, result *response) {
	if r.random.Float64() < 0.03*r.pattern.failures {
		result.failed = true
	}
	result.slower *= 1.03
}

var (
	durations = []time.Duration{12 * time.Second, 16 * time.Second, time.Minute}
	rates     = []float64{5, 100, 560}
)

// replayAll replays seedCount rollouts, spread over the rates and durations, and checks that
// none oscillates.
func replayAll(t *testing.T, p pattern, durations []time.Duration, check func(t *testing.T, r *replay)) {
	for seed := range uint64(*seedCount) {
		i := int(seed) % (len(rates) * len(durations))
		r := newReplay(p, rates[i%len(rates)], durations[i/len(rates)], seed).run()
		if r.oscillated {
			t.Errorf("%v: the share fell and rose again", r)
		}
		check(t, r)
	}
}

// checkExposure fails the test if a bad version got more requests than the bounds allow.
func checkExposure(t *testing.T, r *replay) {
	if bound := testBounds.exposure(float64(r.all)); float64(r.target) > bound {
		t.Errorf("%v: %d of %d requests were sent to a bad version, want at most %.0f", r, r.target, r.all, bound)
	}
	if late := r.lastTarget - r.fiftiethBad; late > testBounds.RollbackWithin {
		t.Errorf("%v: a request was sent to a bad version %v after its 50th bad response, want at most %v",
			r, late, testBounds.RollbackWithin)
	}
}

// A bad version must stay within the exposure bound and be left in time, whatever its fault.
func TestBadVersionStaysWithinBounds(t *testing.T) {
	for _, p := range []pattern{
		{name: "10 percent fail", failures: 0.01, spread: 0.5, fault: failing(0.1)},
		{name: "20 percent fail", failures: 0.01, spread: 0.5, fault: failing(0.2)},
		{name: "50 percent fail", failures: 0.01, spread: 0.5, fault: failing(0.5)},
		{name: "50 percent of a route fail", failures: 0.01, spread: 0.5, fault: failingOnRoute(1, 0.5)},
		{name: "slow under load", failures: 0.01, spread: 0.5, fault: slowUnderLoad},
	} {
		t.Run(p.name, func(t *testing.T) {
			t.Parallel()
			replayAll(t, p, durations, checkExposure)
		})
	}
	late := pattern{name: "50 percent fail after 10 s", failures: 0.01, spread: 0.5, fault: failingLate}
	t.Run(late.name, func(t *testing.T) {
		t.Parallel()
		replayAll(t, late, durations[2:], checkExposure)
	})
}

// A version that turns bad while a short rollout switches must stay within the same bounds.
func TestFaultDuringSwitchStaysWithinBounds(t *testing.T) {
	t.Parallel()
	late := pattern{name: "50 percent fail after 10 s", failures: 0.01, spread: 0.5, fault: failingLate}
	replayAll(t, late, durations[:2], checkExposure)
}

// A version of which 20% more responses fail than the usual 14% must stay within the same bounds.
func TestBadVersionAmongNoisyOnesStaysWithinBounds(t *testing.T) {
	t.Parallel()
	noisy := pattern{name: "20 percent more fail", failures: 0.14, spread: 1.2, fault: failing(0.2)}
	replayAll(t, noisy, durations, checkExposure)
}

// A good version must not be rolled back in 1 of 1,000 rollouts, however noisy the responses of
// both versions are, and must be completed by its deadline where there are requests enough for
// the canary to show that it is good.
func TestGoodVersionIsCompleted(t *testing.T) {
	// With fewer requests the exposure bound allows less than about 300 canary requests.
	const enoughRequests = 6000
	for _, p := range []pattern{
		{name: "good", failures: 0.01, spread: 0.5},
		{name: "3 percent worse", failures: 0.01, spread: 0.5, fault: slightlyWorse},
		{name: "noisy", failures: 0.14, spread: 1.2},
		{name: "disturbance of both versions", failures: 0.01, spread: 0.5, disturbed: func(at time.Duration) bool {
			return at >= 4*time.Second && at < 6*time.Second
		}},
	} {
		t.Run(p.name, func(t *testing.T) {
			t.Parallel()
			var open []*replay
			replayAll(t, p, durations, func(t *testing.T, r *replay) {
				if r.step.Stage == StageRolledBack {
					t.Errorf("%v: a good version was rolled back: %v", r, r.judge.Reason())
				} else if r.step.Stage != StageDone && r.rate*r.duration.Seconds() >= enoughRequests {
					open = append(open, r)
				}
			})
			t.Run("completed", func(t *testing.T) {
				for _, r := range open {
					t.Errorf("%v: a good version is in the stage %v at its deadline", r, r.step.Stage)
				}
			})
		})
	}
}
