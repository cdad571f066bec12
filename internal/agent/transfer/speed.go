package transfer

import (
	"math"
	"time"
)

const (
	// initialRate is assumed of the store until a copy was faster, in tokens a second.
	initialRate = 60_000.0
	setupTime   = 5 * time.Millisecond

	waitGain = 0.5
	waitLife = time.Second
	rateLoss = 0.01
)

// speed estimates the KV store's bandwidth and the present wait for it.
type speed struct {
	// rate is the fastest copy seen, slowly forgotten, in tokens a second.
	rate   float64
	wait   time.Duration
	waitAt time.Time
}

func newSpeed() speed { return speed{rate: initialRate} }

// observe takes in a copy. What it took beyond its own time it waited for others.
func (s *speed) observe(tokens float64, took time.Duration, now time.Time) {
	own := max(took-setupTime, time.Microsecond)
	s.rate = max(s.rate*(1-rateLoss), tokens/own.Seconds())
	waited := max(0, took-setupTime-s.transferTime(tokens))
	s.wait = s.waitNow(now)
	s.wait += time.Duration(waitGain * float64(waited-s.wait))
	s.waitAt = now
}

func (s *speed) transferTime(tokens float64) time.Duration {
	return time.Duration(tokens / s.rate * float64(time.Second))
}

// waitNow is the expected wait; it decays without news.
func (s *speed) waitNow(now time.Time) time.Duration {
	if s.wait == 0 {
		return 0
	}
	return time.Duration(float64(s.wait) * math.Exp2(-float64(now.Sub(s.waitAt))/float64(waitLife)))
}

// rateFor returns the speed of a copy of so many tokens, its wait included.
func (s *speed) rateFor(tokens float64, now time.Time) float64 {
	return tokens / (s.waitNow(now) + s.transferTime(tokens)).Seconds()
}
