package enginerate

import (
	"time"

	"github.com/greengagegate/greengagegate/internal/bootclock"
)

// recentMax is the maximum of recent values. Each counts for one to two periods.
type recentMax struct {
	// current is the maximum of the period that began at since, previous that of the one
	// before.
	current, previous float64
	since             bootclock.Instant
}

// add records a value. All calls must pass the same period.
func (m *recentMax) add(value float64, period time.Duration, now bootclock.Instant) {
	switch age := now.Sub(m.since); {
	case age >= 2*period:
		*m = recentMax{since: now}
	case age >= period:
		*m = recentMax{previous: m.current, since: now}
	}
	m.current = max(m.current, value)
}

// value returns the maximum when the last value was added, or 0 if there was none.
func (m *recentMax) value() float64 { return max(m.current, m.previous) }
