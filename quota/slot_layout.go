package quota

import (
	"slices"
	"time"
)

// slotCount is a number of slots and the time until which it was in force.
type slotCount struct {
	count int
	until time.Time
}

// slotLayout computes the fraction of a group's limits that belongs to a slot.
// Processes learn of a changed number of slots at different times, so a
// fraction shrinks at once and grows only after slotGrowthDelay, when every process
// must know of the change.
type slotLayout struct {
	current         int
	previous        []slotCount
	slotGrowthDelay time.Duration
}

// set makes a number of slots the current one.
func (l *slotLayout) set(now time.Time, slots int) {
	if slots == l.current {
		return
	}
	if l.current > 0 {
		l.previous = append(l.previous, slotCount{l.current, now})
	}
	l.current = slots
}

// fraction returns the fraction of a group's limits that belongs to a slot: the
// smallest of those for the current number of slots and for the numbers in
// force less than slotGrowthDelay ago.
func (l *slotLayout) fraction(now time.Time, group, slot int) float64 {
	fraction := slotFraction(l.current, group, slot)
	l.previous = slices.DeleteFunc(l.previous, func(p slotCount) bool { return now.Sub(p.until) > l.slotGrowthDelay })
	for _, previous := range l.previous {
		fraction = min(fraction, slotFraction(previous.count, group, slot))
	}
	return fraction
}

// slotFraction returns the fraction for a given number of slots.
func slotFraction(slots, group, slot int) float64 {
	groupSlots := SlotsOf(group, slots)
	if !slices.Contains(groupSlots, slot) {
		return 0
	}
	return 1 / float64(len(groupSlots))
}
