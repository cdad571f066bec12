package sizesplit

import (
	"math"
	"time"

	"github.com/greengagegate/greengagegate/internal/bootclock"
)

const (
	// meterTimeConstant is the time in which the weight of recorded work falls to 1/e.
	meterTimeConstant = 5 * time.Second
	// warmUp is how long a meter records before its work is used. In a shorter time a
	// gateway that joins sees too few long prompts.
	warmUp = time.Second
	// objectiveRetention is how long the shortest objective of a class is kept after the last
	// request with it; between one and two such periods.
	objectiveRetention = 30 * time.Second
)

// Meter measures the work that one gateway sends to the engines of a pool. The zero value is
// ready for use.
type Meter struct {
	startedAt bootclock.Instant
	updatedAt bootclock.Instant
	classes   [ClassCount]classMeter
	// shortest is the shortest objective of all classes.
	shortest shortestObjective
}

// classMeter holds exponentially decaying sums over the requests of a class.
type classMeter struct {
	requests, prefillMS, squaredPrefillMS, priority float64
	// decodes is the number of requests whose decoding was recorded, decodeMS its sum.
	decodes, decodeMS float64
	shortest          shortestObjective
}

// decay multiplies all sums by factor.
func (c *classMeter) decay(factor float64) {
	c.requests *= factor
	c.prefillMS *= factor
	c.squaredPrefillMS *= factor
	c.decodes *= factor
	c.decodeMS *= factor
	c.priority *= factor
}

// meanDecodeMS returns the mean share of an engine that the decoding of a request takes.
func (c *classMeter) meanDecodeMS() float64 {
	if c.decodes < minRequests {
		return 0
	}
	return c.decodeMS / c.decodes
}

// shortestObjective is the shortest of the objectives that were recorded in the current or
// the previous period of objectiveRetention.
type shortestObjective struct {
	current, previous time.Duration
	periodBegan       bootclock.Instant
}

// record records an objective; 0 means that a request has none.
func (s *shortestObjective) record(objective time.Duration, now bootclock.Instant) {
	s.advance(now)
	if objective > 0 && (s.current == 0 || objective < s.current) {
		s.current = objective
	}
}

// advance begins a new period if the current one is over.
func (s *shortestObjective) advance(now bootclock.Instant) {
	age := now.Sub(s.periodBegan)
	if age < objectiveRetention {
		return
	}
	s.previous = s.current
	if age >= 2*objectiveRetention {
		s.previous = 0
	}
	s.current, s.periodBegan = 0, now
}

// value returns the shortest objective, or 0 if there is none.
func (s *shortestObjective) value(now bootclock.Instant) time.Duration {
	s.advance(now)
	if s.current == 0 || s.previous != 0 && s.previous < s.current {
		return s.previous
	}
	return s.current
}

// RecordObjective records the objective of a request, or 0 if it has none.
func (m *Meter) RecordObjective(objective time.Duration, now bootclock.Instant) {
	m.shortest.record(objective, now)
}

// Record records a request of a class that is sent now. prefillMS is the time that the
// engine needs for the tokens that it lacks, objective the caller's, or 0, and priority that
// of the request; 0 is the most urgent.
func (m *Meter) Record(class Class, prefillMS float64, objective time.Duration, priority int, now bootclock.Instant) {
	m.advance(now)
	c := &m.classes[class]
	c.requests++
	c.prefillMS += prefillMS
	c.squaredPrefillMS += prefillMS * prefillMS
	c.priority += float64(priority)
	c.shortest.record(objective, now)
}

// RecordDecode records that a request of a class, which ends now, occupied one of an engine's
// slots for a time after its prefill. The requests that are not recorded count as the mean of
// those that are.
func (m *Meter) RecordDecode(class Class, occupied time.Duration, slots int, now bootclock.Instant) {
	m.advance(now)
	m.classes[class].decodes++
	m.classes[class].decodeMS += milliseconds(occupied) / float64(max(1, slots))
}

// advance decays the sums until now.
func (m *Meter) advance(now bootclock.Instant) {
	if m.startedAt == 0 {
		m.startedAt, m.updatedAt = now, now
	}
	if now <= m.updatedAt {
		return
	}
	factor := math.Exp(-float64(now.Sub(m.updatedAt)) / float64(meterTimeConstant))
	m.updatedAt = now
	for i := range m.classes {
		m.classes[i].decay(factor)
	}
}

// ShortestObjective returns the shortest objective of the recent requests, or 0 if none has
// one.
func (m *Meter) ShortestObjective(now bootclock.Instant) time.Duration { return m.shortest.value(now) }

// Work is the work of all gateways by class.
type Work [ClassCount]ClassWork

// ClassWork is the work of one class.
type ClassWork struct {
	// Engines is the number of engines that the work occupies in full: by prefill or by the
	// slots that requests hold, whichever is more, since both go on at the same time.
	Engines           float64
	RequestsPerSecond float64
	// MeanMS is the mean prefill time of a request. ResidualMS is the mean time that is left
	// of the prefill that a request finds under way; it exceeds half of MeanMS the more, the
	// more the sizes differ.
	MeanMS, ResidualMS float64
	// Objective is the shortest objective of the class, or 0.
	Objective time.Duration
	// Priority is the mean priority.
	Priority float64
}

// hasBoth reports whether both classes have work.
func (w *Work) hasBoth() bool { return w[Short].Engines > 0 && w[Long].Engines > 0 }

// minRequests is the decayed number of requests below which a class counts as without work.
// A request that was sent alone is forgotten after about 23 s.
const minRequests = 0.01

// Work returns the current work of all gateways, each of which is assumed to send as much as
// this one. It is zero until the meter has recorded for warmUp.
func (m *Meter) Work(gateways int, now bootclock.Instant) Work {
	var work Work
	m.advance(now)
	age := now.Sub(m.startedAt)
	if age < warmUp {
		return work
	}
	// The sums cover less than the time constant while the meter is young.
	coveredMS := milliseconds(meterTimeConstant) * -math.Expm1(-float64(age)/float64(meterTimeConstant))
	perMS := float64(gateways) / coveredMS
	for class := range work {
		c := &m.classes[class]
		if c.requests < minRequests {
			continue
		}
		work[class] = ClassWork{
			Engines:           max(c.prefillMS, c.requests*c.meanDecodeMS()) * perMS,
			RequestsPerSecond: 1000 * c.requests * perMS,
			MeanMS:            c.prefillMS / c.requests,
			Objective:         c.shortest.value(now),
			Priority:          c.priority / c.requests,
		}
		if c.prefillMS > 0 {
			work[class].ResidualMS = c.squaredPrefillMS / (2 * c.prefillMS)
		}
	}
	return work
}
