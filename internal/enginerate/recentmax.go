package enginerate

import (
	"time"

	"github.com/greengagegate/greengagegate/internal/bootclock"
)

// maxPeriod is how long a value counts at least for the maximum, and half the time that it
// counts at most. It is longer than the 600 ms for which engines on shared machines keep a
// speed, so that one that reports to be as fast as before is believed at once.
const maxPeriod = 700 * time.Millisecond

// recentMax is the maximum of recent values.
type recentMax struct {
	// current is the maximum of the period that began at since, previous that of the one
	// before.
	current, previous float64
	since             bootclock.Instant
}

func (m *recentMax) add(value float64, now bootclock.Instant) {
	if now.Sub(m.since) >= maxPeriod {
		m.previous, m.current, m.since = m.current, 0, now
	}
	m.current = max(m.current, value)
}

func (m *recentMax) value() float64 { return max(m.current, m.previous) }
