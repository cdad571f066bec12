package quota

import (
	"slices"
	"time"
)

// layout is a number of slots and the time until which it was in force.
type layout struct {
	slots int
	until time.Time
}

// layouts computes a slot's part of a group. Processes learn of a changed number
// of slots at different times, so a part shrinks at once and grows only when
// every process must have learnt of the change.
type layouts struct {
	current int
	earlier []layout
	delay   time.Duration
}

// set makes a number of slots the current one.
func (l *layouts) set(now time.Time, slots int) {
	if slots == l.current {
		return
	}
	if l.current > 0 {
		l.earlier = append(l.earlier, layout{l.current, now})
	}
	l.current = slots
}

// part returns the part of a group's limits that belongs to a slot.
func (l *layouts) part(now time.Time, group, slot int) float64 {
	part := partIn(l.current, group, slot)
	l.earlier = slices.DeleteFunc(l.earlier, func(e layout) bool { return now.Sub(e.until) > l.delay })
	for _, earlier := range l.earlier {
		part = min(part, partIn(earlier.slots, group, slot))
	}
	return part
}

func partIn(slots, group, slot int) float64 {
	holders := SlotsOf(group, slots)
	if !slices.Contains(holders, slot) {
		return 0
	}
	return 1 / float64(len(holders))
}
