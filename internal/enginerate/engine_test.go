package enginerate

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/greengagegate/greengagegate/internal/bootclock"
)

const (
	testPrior = 130.0
	// testSeeds is the number of seeds of each simulation.
	testSeeds = 200
	// testPerSecond is the number of requests that arrive at an engine in a second.
	testPerSecond = 100
	// testStart is the time at which simulations begin.
	testStart bootclock.Instant = 1_000_000_000_000
	// maxError is the largest factor between an estimate and the rate. With a larger one the
	// engines of 0.7 times the usual speed could not be told from usual ones.
	maxError = 1.25
	// maxErrorAfterChange is the same soon after a change by 2.5: the estimate is nearer to the
	// new rate than to the old one.
	maxErrorAfterChange = 1.58
)

// simulatedEngine prefills prompts in order. The decoding steps of running requests lengthen
// the prefill, and the network delays the first responses.
type simulatedEngine struct {
	random *rand.Rand
	engine *Engine
	// rate is the true rate in tokens per millisecond.
	rate float64
	// report returns the slowness that the engine reports; nil if it reports none.
	report func() float64

	now, freeAt, nextAt bootclock.Instant
	pending             []simulatedPrompt
	backlogTokens       int64
}

// simulatedPrompt is a prompt of tokens that has its first response at doneAt.
type simulatedPrompt struct {
	doneAt bootclock.Instant
	tokens int64
	start  Start
}

func newSimulatedEngine(pool *Pool, seed uint64, rate float64) *simulatedEngine {
	return &simulatedEngine{random: rand.New(rand.NewPCG(seed, 1)), engine: pool.Add(), rate: rate, now: testStart, freeAt: testStart, nextAt: testStart}
}

// run simulates for a duration.
func (s *simulatedEngine) run(d time.Duration) {
	end := s.now.Add(d)
	for {
		respond := len(s.pending) > 0 && s.pending[0].doneAt <= s.nextAt
		next := s.nextAt
		if respond {
			next = s.pending[0].doneAt
		}
		if next > end {
			s.now = end
			return
		}
		if s.now = next; respond {
			s.respond()
		} else {
			s.arrive()
		}
	}
}

func (s *simulatedEngine) arrive() {
	tokens := int64(500 + s.random.IntN(300))
	if s.random.IntN(8) == 0 {
		tokens = int64(1200 + s.random.IntN(1200))
	}
	decoding := 1 + 0.15*s.random.Float64()
	s.freeAt = max(s.freeAt, s.now).Add(time.Duration(decoding * float64(tokens) / s.rate * float64(time.Millisecond)))
	s.pending = append(s.pending, simulatedPrompt{s.freeAt, tokens, s.engine.Begin(tokens, tokens, s.backlogTokens, s.now)})
	s.backlogTokens += tokens
	s.nextAt = s.nextAt.Add(time.Duration(s.random.ExpFloat64() / testPerSecond * float64(time.Second)))
}

func (s *simulatedEngine) respond() {
	p := s.pending[0]
	s.pending = s.pending[1:]
	if s.report != nil {
		s.engine.Report(0, s.report(), s.now)
	}
	p.start.FirstResponse(s.now.Add(time.Duration(s.random.IntN(int(time.Millisecond)))))
	s.backlogTokens -= p.tokens
}

// checkRate fails the test if the estimate differs from the rate by more than a factor.
func (s *simulatedEngine) checkRate(t *testing.T, seed uint64, maxFactor float64) {
	t.Helper()
	if got := s.engine.TokensPerMS(s.now); got < s.rate/maxFactor || got > s.rate*maxFactor {
		t.Errorf("seed %d: estimate %.1f tokens/ms, the rate is %.1f, want at most a factor of %.2f", seed, got, s.rate, maxFactor)
	}
}

// An estimate must converge within a second of responses that contain waiting, decoding and
// network delays, also at an engine that works almost all the time.
func TestRateConvergesWithinASecond(t *testing.T) {
	for _, rate := range []float64{0.7 * 130, 112, 1.7 * 112, 300} {
		for seed := range uint64(testSeeds) {
			s := newSimulatedEngine(NewPool(testPrior), seed, rate)
			s.run(time.Second)
			s.checkRate(t, seed, maxError)
		}
	}
}

// A change of the speed that the engine does not report must be followed within 300 ms of
// responses, in both directions.
func TestRateFollowsAnUnreportedChange(t *testing.T) {
	for _, rates := range [][2]float64{{280, 112}, {112, 280}} {
		for seed := range uint64(testSeeds) {
			s := newSimulatedEngine(NewPool(testPrior), seed, rates[0])
			s.run(time.Second)
			s.rate = rates[1]
			s.run(300 * time.Millisecond)
			s.checkRate(t, seed, maxErrorAfterChange)
		}
	}
}

// Engines of a pool differ, and report that they are at times 2.5 times slower than usual.
// Their estimates must not approach each other or lag behind the reports.
func TestUnevenEnginesWithReportedSlowness(t *testing.T) {
	pool := NewPool(testPrior)
	var engines []*simulatedEngine
	slow := []float64{1, 1, 1}
	usual := []float64{0.7 * 280, 0.7 * 280, 1.7 * 280}
	for i := range usual {
		s := newSimulatedEngine(pool, uint64(i), usual[i])
		s.report = func() float64 { return slow[i] }
		engines = append(engines, s)
	}
	checks, wrong := 0, 0
	for step := range 200 {
		for i, s := range engines {
			if step%12 == 4*i {
				slow[i] = []float64{1, 2.5}[s.random.IntN(2)]
				s.rate = usual[i] / slow[i]
			}
			s.run(50 * time.Millisecond)
			if got := s.engine.TokensPerMS(s.now); step > 20 && (got < s.rate/maxErrorAfterChange || got > s.rate*maxErrorAfterChange) {
				wrong++
			}
			checks++
		}
	}
	if t.Logf("%d of %d estimates were wrong", wrong, checks); wrong > checks/20 {
		t.Errorf("%d of %d estimates differ from the rate by more than a factor of %.2f, want at most 5%%", wrong, checks, maxErrorAfterChange)
	}
}

// An engine that reports to be fast or idle must not look faster than its responses show,
// whether it always reports the same or not, and must not make the others look different.
func TestWrongReportsDoNotMakeAnEngineLookBetter(t *testing.T) {
	const step = 50 * time.Millisecond
	// A rate counts as observed while its samples are kept, and for twice maxPeriod after that.
	const observed = 2*maxPeriod + maxSamples*time.Second/testPerSecond
	for _, c := range []struct {
		name     string
		slowness func(*rand.Rand) float64
		// settle is the time after a change of the rate that the engine conceals.
		settle time.Duration
	}{
		{"always fast", func(*rand.Rand) float64 { return 0.1 }, 300 * time.Millisecond},
		{"always usual", func(*rand.Rand) float64 { return 1 }, 300 * time.Millisecond},
		{"fast at times", func(r *rand.Rand) float64 { return []float64{0.1, 5}[r.IntN(2)] }, observed},
	} {
		pool := NewPool(testPrior)
		liar, other := newSimulatedEngine(pool, 1, 112), newSimulatedEngine(pool, 2, 280)
		liar.report = func() float64 { return c.slowness(liar.random) }
		for i := range 100 {
			if i == 40 {
				liar.rate = 90
			}
			liar.run(step)
			other.run(step)
			settled := i >= 20 && i < 40 || time.Duration(i-40)*step >= c.settle
			if got := liar.engine.TokensPerMS(liar.now); settled && got > maxError*liar.rate {
				t.Errorf("%s, step %d: estimate %.1f tokens/ms, the engine prefills %.1f", c.name, i, got, liar.rate)
			}
			if settled {
				other.checkRate(t, 2, maxError)
			}
		}
	}
	pool := NewPool(testPrior)
	unknown := pool.Add()
	unknown.Report(0, 0.1, testStart)
	if got := unknown.TokensPerMS(testStart); got > testPrior {
		t.Errorf("an engine that had no request yet counts for %.1f tokens/ms because of its report, want at most the prior %v", got, testPrior)
	}
}

// What is known of an engine must not outlast its incarnation, and a response to a request of
// the former incarnation says nothing about the new one. A new engine starts from the mean.
func TestRestartedAndNewEnginesStartFromThePool(t *testing.T) {
	pool := NewPool(testPrior)
	usual, slow := newSimulatedEngine(pool, 1, 280), newSimulatedEngine(pool, 2, 112)
	usual.run(2 * time.Second)
	slow.run(2 * time.Second)
	former := slow.engine.Begin(9000, 9000, 0, slow.now)
	slow.engine.Report(0, 2.5, slow.now)
	slow.engine.Reset()
	former.FirstResponse(slow.now.Add(time.Second))
	now := slow.now.Add(time.Second)
	restarted, added := slow.engine.Estimate(now), pool.Add().Estimate(now)
	if restarted != added || restarted.HasSample {
		t.Errorf("restarted engine has %+v, want that of a new engine, %+v", restarted, added)
	}
	if added.TokensPerMS < 280/maxError || added.TokensPerMS > 280*maxError {
		t.Errorf("new engine counts for %.1f tokens/ms, want about the 280 of its pool", added.TokensPerMS)
	}
}

// An old report must not decide alone, and an old sample must lose its weight.
func TestReportsAndSamplesAge(t *testing.T) {
	pool := NewPool(testPrior)
	s := newSimulatedEngine(pool, 1, 280)
	s.report = func() float64 { return 1 }
	s.run(2 * time.Second)
	s.engine.Report(0, 2.5, s.now)
	if got := s.engine.Slowness(s.now.Add(slownessValidity - 1)); got != 2.5 {
		t.Errorf("slowness %v by a fresh report, want 2.5", got)
	}
	if got := s.engine.Slowness(s.now.Add(slownessValidity)); got > 1.1 {
		t.Errorf("slowness %v, want about 1, the mean of the reports, after the newest became too old", got)
	}
	estimate := s.engine.Estimate(s.now.Add(maxSampleAge))
	if estimate.Age < maxSampleAge || estimate.Samples != 0 {
		t.Errorf("estimate without recent responses has %v samples of an age of %v, want none", estimate.Samples, estimate.Age)
	}
}

// Estimates are too low while others keep the engines busy. If a gateway then refused all
// requests because of them, no response would correct them, so they must return by themselves.
func TestLowEstimateDoesNotOutlastASurge(t *testing.T) {
	s := newSimulatedEngine(NewPool(testPrior), 1, 280)
	s.run(2 * time.Second)
	for range 200 {
		start := s.engine.Begin(9000, 9000, 0, s.now.Add(-2*time.Second))
		start.FirstResponse(s.now)
		s.now = s.now.Add(100 * time.Millisecond)
	}
	if got := s.engine.TokensPerMS(s.now); got > 28 {
		t.Fatalf("estimate %.1f tokens/ms in the surge, want a low one for this test", got)
	}
	s.now = s.now.Add(maxSampleAge)
	s.checkRate(t, 1, maxError)
}
