package quota

import (
	"slices"
	"time"
)

// layout is a number of slots and the time until which it was in force.
type slotCount struct {
	count int
	until time.Time
}

// layouts computes a slot's part of a group. Processes learn of a changed number
// of slots at different times, so a part shrinks at once and grows only when
// every process must have learnt of the change.
type slotLayout struct {
	current     int
	previous    []slotCount
	growthDelay time.Duration
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

// part returns the part of a group's limits that belongs to a slot.
func (l *slotLayout) fraction(now time.Time, group, slot int) float64 {
	fraction := slotFraction(l.current, group, slot)
	l.previous = slices.DeleteFunc(l.previous, func(p slotCount) bool { return now.Sub(p.until) > l.growthDelay })
	for _, previous := range l.previous {
		fraction = min(fraction, slotFraction(previous.count, group, slot))
	}
	return fraction
}

func slotFraction(slots, group, slot int) float64 {
	groupSlots := SlotsOf(group, slots)
	if !slices.Contains(groupSlots, slot) {
		return 0
	}
	return 1 / float64(len(groupSlots))
}
