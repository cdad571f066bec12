package enginerate

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/greengagegate/greengagegate/internal/bootclock"
)

const (
	testPrior = 130.0
	// testStart is the time at which simulations begin.
	testStart bootclock.Instant = 1_000_000_000_000
)

// simulatedEngine is an engine that prefills prompts in order, in chunks. Each chunk also
// takes the decoding steps of running requests.
type simulatedEngine struct {
	random *rand.Rand
	engine *Engine
	// rate is the true rate in tokens per millisecond; perSecond requests arrive, of which the
	// fraction own is from this gateway.
	rate, perSecond, own float64
	// reports is true if the engine reports waiting requests, and reportedSlowness what it
	// reports of its speed.
	reports          bool
	reportedSlowness float64

	now           bootclock.Instant
	freeAt        bootclock.Instant
	pending       []simulatedPrompt
	backlogTokens int64
	nextAt        bootclock.Instant
}

// simulatedPrompt is a prompt of tokens that has its first response at doneAt.
type simulatedPrompt struct {
	doneAt bootclock.Instant
	tokens int64
	start  *Start
}

func newSimulatedEngine(pool *Pool, seed uint64, rate, perSecond float64) *simulatedEngine {
	return &simulatedEngine{
		random: rand.New(rand.NewPCG(seed, 1)), engine: pool.Add(), rate: rate, perSecond: perSecond, own: 1,
		now: testStart, freeAt: testStart, nextAt: testStart,
	}
}

// runUntil simulates until an instant.
func (s *simulatedEngine) runUntil(end bootclock.Instant) {
	for {
		next := s.nextAt
		if len(s.pending) > 0 {
			next = min(next, s.pending[0].doneAt)
		}
		if next > end {
			s.now = end
			return
		}
		s.now = next
		if next == s.nextAt {
			s.arrive()
			continue
		}
		s.respond()
	}
}

func (s *simulatedEngine) arrive() {
	tokens := int64(500 + s.random.IntN(300))
	if s.random.IntN(8) == 0 {
		tokens = int64(1200 + s.random.IntN(1200))
	}
	decoding := 1 + 0.15*s.random.Float64()
	prefill := time.Duration(decoding * float64(tokens) / s.rate * float64(time.Millisecond))
	// The first response takes the network's time and waits for the end of the step.
	s.freeAt = max(s.freeAt, s.now).Add(prefill)
	p := simulatedPrompt{doneAt: s.freeAt, tokens: tokens}
	if s.random.Float64() < s.own {
		start := s.engine.Begin(tokens, tokens, s.backlogTokens, s.now)
		p.start = &start
		s.backlogTokens += tokens
	}
	s.pending = append(s.pending, p)
	s.nextAt = s.nextAt.Add(time.Duration(s.random.ExpFloat64() / s.perSecond * float64(time.Second)))
}

func (s *simulatedEngine) respond() {
	p := s.pending[0]
	s.pending = s.pending[1:]
	if s.reports {
		s.engine.Report(max(0, len(s.pending)-1), s.reportedSlowness, s.now)
	}
	if p.start != nil {
		p.start.FirstResponse(s.now.Add(time.Duration(s.random.IntN(int(time.Millisecond)))))
		s.backlogTokens -= p.tokens
	}
}

func TestExplore(t *testing.T) {
	for _, own := range []float64{1, 0.3} {
		for _, rate := range []float64{112, 38.7, 280} {
			for _, util := range []float64{0.4, 0.6, 0.75, 0.9} {
				for _, reports := range []bool{false, true} {
					var worst, bad, sum float64
					for seed := range uint64(100) {
						p := NewPool(testPrior)
						s := newSimulatedEngine(p, seed, rate, util*rate*1000/820)
						s.reports, s.own = reports, own
						s.runUntil(testStart.Add(time.Second))
						got := s.engine.TokensPerMS(s.now) / rate
						sum += got
						worst = max(worst, math.Abs(math.Log(got)))
						if got < 0.8 || got > 1.25 {
							bad++
						}
					}
					t.Logf("own %v rate %v util %v reports %v: mean %.2f worst factor %.2f bad %v", own, rate, util, reports, sum/100, math.Exp(worst), bad)
				}
			}
		}
	}
}
