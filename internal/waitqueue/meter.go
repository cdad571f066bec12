package waitqueue

import (
	"math"
	"time"

	"github.com/greengagegate/greengagegate/internal/bootclock"
)

const (
	// admittedTimeConstant is the time in which the weight of an admitted request in the
	// rate of admissions falls to 1/e.
	admittedTimeConstant = 500 * time.Millisecond
	// demandTimeConstant is the same for the rate of all requests, by which the room for
	// returning callers is predicted. A burst counts little in it.
	demandTimeConstant = 5 * time.Second
	// drainTimeConstant is the same for the rate at which work leaves, counted in time during
	// which requests were waiting.
	drainTimeConstant = 500 * time.Millisecond
	// minDrainTime is the time during which requests must have been waiting before the rate
	// is known.
	minDrainTime = 50 * time.Millisecond
	// maxDrainAge is the age from which on the rate is not used.
	maxDrainAge = 5 * time.Second
)

// rateMeter measures a rate in tokens per second, averaged with exponentially decaying
// weights.
type rateMeter struct {
	// timeConstant is the time in which the weight falls to 1/e.
	timeConstant time.Duration
	value        float64
	updatedAt    bootclock.Instant
}

func (m *rateMeter) add(tokens float64, now bootclock.Instant) {
	m.value = m.perSecond(now) + tokens/m.timeConstant.Seconds()
	m.updatedAt = now
}

func (m *rateMeter) perSecond(now bootclock.Instant) float64 {
	return m.value * math.Exp(-float64(now.Sub(m.updatedAt))/float64(m.timeConstant))
}

// drainMeter measures the rate at which work leaves a queue while requests are waiting. What
// passes an empty queue says nothing about the rate that the engines could take.
type drainMeter struct {
	// tokens and busy are the work that left and the time during which requests were
	// waiting, with exponentially decaying weights.
	tokens     float64
	busy       time.Duration
	advancedAt bootclock.Instant
	lastTake   bootclock.Instant
}

// advance counts the time since the last call, during which requests were waiting or not.
func (m *drainMeter) advance(now bootclock.Instant, wasWaiting bool) {
	elapsed := now.Sub(m.advancedAt)
	m.advancedAt = max(m.advancedAt, now)
	if !wasWaiting || elapsed <= 0 {
		return
	}
	decay := math.Exp(-float64(elapsed) / float64(drainTimeConstant))
	m.tokens *= decay
	m.busy = time.Duration(float64(m.busy)*decay) + elapsed
}

// record counts work that leaves at the time of the last call of advance.
func (m *drainMeter) record(tokens float64) {
	m.tokens += tokens
	m.lastTake = m.advancedAt
}

// rate returns the rate in tokens per second and its age. known is false if too little has
// been observed or the age exceeds maxDrainAge.
func (m *drainMeter) rate(now bootclock.Instant) (perSecond float64, age time.Duration, known bool) {
	age = now.Sub(m.lastTake)
	if m.lastTake == 0 || m.busy < minDrainTime || age > maxDrainAge {
		return 0, 0, false
	}
	return m.tokens / m.busy.Seconds(), age, true
}
