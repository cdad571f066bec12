package rollout

import (
	"time"

	"github.com/greengagegate/greengagegate/internal/bootclock"
)

const (
	// rateWindow is the time over which the rate of requests is measured, and minRateWindow
	// the shortest time that yields one.
	rateWindow    = 3 * time.Second
	minRateWindow = 500 * time.Millisecond
)

// rateMeter measures the rate at which a count grows.
type rateMeter struct{ samples []rateSample }

type rateSample struct {
	count int64
	at    bootclock.Instant
}

// add records the count at an instant.
func (r *rateMeter) add(count int64, now bootclock.Instant) {
	r.samples = append(r.samples, rateSample{count, now})
	for len(r.samples) > 2 && now.Sub(r.samples[0].at) > rateWindow {
		r.samples = r.samples[1:]
	}
}

// perSecond returns the rate, or 0 if it is not known yet.
func (r *rateMeter) perSecond() float64 {
	if len(r.samples) < 2 {
		return 0
	}
	first, last := r.samples[0], r.samples[len(r.samples)-1]
	window := last.at.Sub(first.at)
	if window < minRateWindow {
		return 0
	}
	return float64(last.count-first.count) / window.Seconds()
}
