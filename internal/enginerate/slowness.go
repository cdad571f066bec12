package enginerate

import (
	"math"
	"time"

	"github.com/greengagegate/greengagegate/internal/bootclock"
)

const (
	// slownessValidity is how long a reported slowness is taken for the current one. Engines
	// on shared machines change their speed about that often.
	slownessValidity = 600 * time.Millisecond
	// slownessTimeConstant is the time in which the weight of an earlier slowness in the mean
	// falls to 1/e.
	slownessTimeConstant = 3 * time.Second
	// queueValidity is how long reported waiting requests are taken for the current ones.
	queueValidity = 500 * time.Millisecond
	// minSlowness and maxSlowness limit reports.
	minSlowness, maxSlowness = 0.2, 5.0
)

// slowness is what an engine reported of itself.
type slowness struct {
	// newest was reported at reportedAt; mean is that of the recent reports. They are valid if
	// reportedAt is not 0.
	newest, mean float64
	reportedAt   bootclock.Instant
	// waiting is the number of waiting requests that were reported at waitingAt.
	waiting   int
	waitingAt bootclock.Instant
}

// Report records what the engine reported: the number of requests that wait there, and how
// long work takes, relative to the usual time; 0 if it did not report that.
func (e *Engine) Report(waiting int, slow float64, now bootclock.Instant) {
	s := &e.slowness
	s.waiting, s.waitingAt = waiting, now
	if slow <= 0 {
		return
	}
	slow = clampSlowness(slow)
	if s.reportedAt == 0 {
		s.mean = slow
	} else {
		s.mean += (1 - math.Exp(-float64(now.Sub(s.reportedAt))/float64(slownessTimeConstant))) * (s.newest - s.mean)
	}
	s.newest, s.reportedAt = slow, now
}

// Slowness returns how long work takes now, relative to the usual time: the newest report,
// or the mean of recent ones if that is too old. It is 1 if the engine never reported it.
func (e *Engine) Slowness(now bootclock.Instant) float64 {
	switch s := &e.slowness; {
	case s.reportedAt == 0:
		return 1
	case now.Sub(s.reportedAt) < slownessValidity:
		return s.newest
	default:
		return s.mean
	}
}

// isQueueing reports whether requests wait at the engine by its last report. It is false if
// that is too old.
func (e *Engine) isQueueing(now bootclock.Instant) bool {
	return e.slowness.waiting > 0 && now.Sub(e.slowness.waitingAt) < queueValidity
}

// clampSlowness limits a reported slowness to what occurs.
func clampSlowness(slow float64) float64 {
	return min(max(slow, minSlowness), maxSlowness)
}
