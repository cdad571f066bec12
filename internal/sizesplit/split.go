package sizesplit

import (
	"math"
	"time"

	"github.com/greengagegate/greengagegate/internal/bootclock"
)

const (
	// lateShare is the share of a class's requests that may miss the objective because of
	// the class's own queue.
	lateShare = 0.02
	// maxUtilisation bounds the utilisation for which a part is sized. Gateways know of each
	// other's requests only later, so engines of one part are not loaded evenly.
	maxUtilisation = 0.75
	// minUtilisation bounds it from below: objectives that no utilisation can meet, such as
	// one below the prefill time of a request, must not claim the whole pool.
	minUtilisation = 0.2
	// protectedShare is the part of its proportional share that the less urgent class keeps
	// when the more urgent one needs all engines, so that it does not starve.
	protectedShare = 0.5
	// growInterval and shrinkInterval are the least times between two steps of a part. A step
	// moves the prefixes of one engine, which are prefilled again within a second. Shrinking
	// is slower because an engine too few costs more than one too many.
	growInterval   = time.Second
	shrinkInterval = 4 * time.Second
	// growBand and shrinkBand are how many engines more or fewer than its part has a class
	// must need before the part changes.
	growBand   = 0.25
	shrinkBand = 1.75
)

// Counts is the number of engines in each part of a pool.
type Counts [PartCount]int

// Split decides how many engines are in each part. The zero value is ready for use.
type Split struct {
	counts Counts
	// divided is true while the engines are divided.
	divided bool
	// steppedAt is when each part last changed.
	steppedAt [PartCount]bootclock.Instant
}

// Update returns the number of engines in each part for the current work and number of
// usable engines. All engines are shared if there are fewer than two or only one class has
// work.
func (s *Split) Update(work *Work, engines int, now bootclock.Instant) Counts {
	if engines < 2 || !work.hasBoth() {
		*s = Split{}
		return Counts{PartShared: engines}
	}
	short, long := needs(work, float64(engines))
	if s.divided {
		s.step(PartShort, short, now)
		s.step(PartLong, long, now)
	} else {
		s.divided = true
		s.counts[PartShort], s.counts[PartLong] = int(math.Ceil(short)), int(math.Ceil(long))
		s.steppedAt[PartShort], s.steppedAt[PartLong] = now, now
	}
	return s.fit(engines, isMoreUrgent(work))
}

// step moves the size of a part by at most one engine towards the need.
func (s *Split) step(part Part, need float64, now bootclock.Instant) {
	size, age := float64(s.counts[part]), now.Sub(s.steppedAt[part])
	switch {
	case need > size+growBand && age >= growInterval:
		s.counts[part]++
	case need < size-shrinkBand && age >= shrinkInterval:
		s.counts[part]--
	default:
		return
	}
	s.steppedAt[part] = now
}

// fit returns counts that add up to the number of engines, with at least one engine for each
// class. If there are too few, the less urgent class gets what the other leaves.
func (s *Split) fit(engines int, shortFirst bool) Counts {
	first, second := PartShort, PartLong
	if !shortFirst {
		first, second = PartLong, PartShort
	}
	var fitted Counts
	fitted[first] = min(max(1, s.counts[first]), engines-1)
	fitted[second] = min(max(1, s.counts[second]), engines-fitted[first])
	fitted[PartShared] = engines - fitted[first] - fitted[second]
	return fitted
}

// needs returns the number of engines that each class needs to meet its objective. If both
// need more than there are, the more urgent class comes first, but leaves protectedShare of
// the proportional share to the other.
func needs(work *Work, engines float64) (short, long float64) {
	short = work[Short].Engines / utilisation(&work[Short])
	long = work[Long].Engines / utilisation(&work[Long])
	if short+long <= engines {
		return short, long
	}
	if isMoreUrgent(work) {
		short = min(short, engines-protectedShare*engines*long/(short+long))
		return short, engines - short
	}
	long = min(long, engines-protectedShare*engines*short/(short+long))
	return engines - long, long
}

// isMoreUrgent reports whether the short class is at least as urgent as the long one: by its
// mean priority, and by its objective if these are equal.
func isMoreUrgent(work *Work) bool {
	short, long := &work[Short], &work[Long]
	if short.Priority != long.Priority {
		return short.Priority < long.Priority
	}
	return short.Objective <= long.Objective || long.Objective == 0
}

// utilisation returns the highest utilisation at which at most lateShare of a class's
// requests wait longer than their objective allows. In a single queue the wait exceeds t with
// a probability of about u*exp(-(1-u)*t/residual) at utilisation u.
func utilisation(w *ClassWork) float64 {
	if w.Objective <= 0 || w.ResidualMS <= 0 {
		return maxUtilisation
	}
	slackMS := milliseconds(w.Objective) - w.MeanMS
	isLate := func(u float64) bool { return u*math.Exp(-(1-u)*slackMS/w.ResidualMS) > lateShare }
	low, high := minUtilisation, maxUtilisation
	if !isLate(high) {
		return high
	}
	for range 20 {
		if middle := (low + high) / 2; isLate(middle) {
			high = middle
		} else {
			low = middle
		}
	}
	return low
}
