package enginerate

import (
	"math"
	"testing"
	"time"
)

func TestExploreChange(t *testing.T) {
	for _, own := range []float64{1, 0.5} {
		for _, rates := range [][2]float64{{280, 112}, {112, 280}, {200, 80}, {200, 500}, {112, 112}} {
			var bad, bad2, sum, worst float64
			for seed := range uint64(1000) {
				p := NewPool(testPrior)
				s := newSimulatedEngine(p, seed, rates[0], 100)
				s.own, s.reports, s.reportedSlowness = own, true, 1
				s.runUntil(testStart.Add(time.Second))
				s.rate = rates[1]
				s.runUntil(s.now.Add(300 * time.Millisecond))
				got := s.engine.TokensPerMS(s.now) / s.rate
				sum += got
				worst = max(worst, math.Abs(math.Log(got)))
				if got < 1/1.25 || got > 1.25 {
					bad++
				}
				if got < 1/1.58 || got > 1.58 {
					bad2++
				}
			}
			t.Logf("own %v %v: mean %.2f bad 1.25 %v 1.58 %v worst %v", own, rates, sum/1000, bad/1000, bad2/1000, math.Exp(worst))
		}
	}
}
