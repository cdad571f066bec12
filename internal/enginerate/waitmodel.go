package enginerate

import (
	"math"
	"time"

	"github.com/greengagegate/greengagegate/internal/bootclock"
)

const (
	// waitTimeConstant is the time in which the weight of an observed wait falls to 1/e.
	waitTimeConstant = 5 * time.Second
	// priorRunningMS and priorWaitingMS are the waits per running and per waiting request that
	// are assumed until there are observations, with the weight of priorObservations.
	priorRunningMS    = 1.0
	priorWaitingMS    = 30.0
	priorObservations = 4.0
	// recentTimeConstant is the time constant of the recent mean.
	recentTimeConstant = time.Second
)

// WaitModel estimates how long a request waits at an engine for the requests that run and wait
// there, as a multiple of their numbers that is learned from waits. Engines of one pool share a
// model. The zero value is ready for use.
//
// Load pattern: how much of their prompts the running requests have still to prefill is not
// known, only how many there are. What one of them costs depends on the mix of prompts and
// changes with it.
type WaitModel struct {
	// The fields are the sums of least squares, with decaying weights: r for running requests,
	// w for waiting ones, y for the wait.
	rr, rw, ww, ry, wy float64
	updatedAt          bootclock.Instant
	// recentMS is the mean of the recent waits at recentAt.
	recentMS float64
	recentAt bootclock.Instant
}

// Observe records that a request waited, beyond its own prefill, at an engine with these numbers
// of running and waiting requests.
func (m *WaitModel) Observe(running, waiting int, wait time.Duration, now bootclock.Instant) {
	factor := math.Exp(-float64(now.Sub(m.updatedAt)) / float64(waitTimeConstant))
	m.rr, m.rw, m.ww, m.ry, m.wy = m.rr*factor, m.rw*factor, m.ww*factor, m.ry*factor, m.wy*factor
	m.updatedAt = now
	r, w, y := float64(running), float64(waiting), max(0, float64(wait)/float64(time.Millisecond))
	m.rr += r * r
	m.rw += r * w
	m.ww += w * w
	m.ry += r * y
	m.wy += w * y
	weight := 1 - math.Exp(-float64(now.Sub(m.recentAt))/float64(recentTimeConstant))
	m.recentMS += weight * (y - m.recentMS)
	m.recentAt = now
}

// WaitMS returns the expected wait in milliseconds.
func (m *WaitModel) WaitMS(running, waiting int) float64 {
	perRunning, perWaiting := m.coefficients()
	return perRunning*float64(running) + perWaiting*float64(waiting)
}

// coefficients returns the waits per running and per waiting request. Neither is negative.
func (m *WaitModel) coefficients() (perRunning, perWaiting float64) {
	rr, ww := m.rr+priorObservations, m.ww+priorObservations
	ry, wy := m.ry+priorObservations*priorRunningMS, m.wy+priorObservations*priorWaitingMS
	determinant := rr*ww - m.rw*m.rw
	perRunning = (ry*ww - wy*m.rw) / determinant
	perWaiting = (wy*rr - ry*m.rw) / determinant
	switch {
	case perRunning < 0:
		return 0, max(0, wy/ww)
	case perWaiting < 0:
		return max(0, ry/rr), 0
	default:
		return perRunning, perWaiting
	}
}

// RecentMS returns the mean of the recent waits in milliseconds. It decays without observations.
func (m *WaitModel) RecentMS(now bootclock.Instant) float64 {
	return m.recentMS * math.Exp(-float64(now.Sub(m.recentAt))/float64(recentTimeConstant))
}
