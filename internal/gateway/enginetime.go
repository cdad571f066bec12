package gateway

import (
	"math"
	"sync"
	"time"

	"github.com/greengagegate/greengagegate/internal/bootclock"
)

const (
	// engineTimeWeight is the weight of the newest observation in an engine time.
	engineTimeWeight = 0.2
	// engineTimeDecay is the time without an observation in which an engine time falls to
	// 1/e, so that requests are sent again and show the current one.
	engineTimeDecay = 500 * time.Millisecond
)

// engineTimes measures, for each priority, the time from the sending of a pool's requests
// to their first response. Load pattern: engines serve urgent requests first, so less urgent
// ones may wait there for several times the work ahead that this gateway knows of. It is safe
// for concurrent use.
type engineTimes struct {
	mu     sync.Mutex
	levels [urgencyLevels]struct {
		observed   time.Duration
		observedAt bootclock.Instant
		// pending is the number of requests without a response, and sentAt the sum of the times
		// at which they were sent, in nanoseconds.
		pending, sentAt float64
	}
}

// engineTimer measures the engine time of one send. A nil timer measures nothing. It is not
// safe for concurrent use.
type engineTimer struct {
	times    *engineTimes
	priority int
	sentAt   bootclock.Instant
}

// start begins the measurement of a send.
func (t *engineTimes) start(priority int, now bootclock.Instant) *engineTimer {
	priority = min(max(priority, 0), urgencyLevels-1)
	t.mu.Lock()
	defer t.mu.Unlock()
	level := &t.levels[priority]
	level.pending++
	level.sentAt += float64(now)
	return &engineTimer{times: t, priority: priority, sentAt: now}
}

// stop ends the measurement. Only one with a response counts. Calls after the first one have
// no effect.
func (e *engineTimer) stop(responded bool, now bootclock.Instant) {
	if e == nil || e.times == nil {
		return
	}
	t := e.times
	e.times = nil
	t.mu.Lock()
	defer t.mu.Unlock()
	level := &t.levels[e.priority]
	level.pending--
	level.sentAt -= float64(e.sentAt)
	if responded {
		level.observed += time.Duration(engineTimeWeight * float64(now.Sub(e.sentAt)-level.observed))
		level.observedAt = now
	}
}

// estimate returns the expected engine time of a priority: the longer of the observed one and
// twice the mean age of the pending requests, which are on average halfway.
func (t *engineTimes) estimate(priority int, now bootclock.Instant) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	level := &t.levels[min(max(priority, 0), urgencyLevels-1)]
	decay := math.Exp(-float64(now.Sub(level.observedAt)) / float64(engineTimeDecay))
	estimate := decay * float64(level.observed)
	if level.pending > 0 {
		estimate = max(estimate, 2*(float64(now)-level.sentAt/level.pending))
	}
	return time.Duration(estimate)
}
