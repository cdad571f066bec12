// Package bootclock reads a clock that neither jumps with the time of day nor
// stands still while the host is suspended. Terms and ages that bound safety
// are counted on it, since Go's monotonic clock does not count a suspension.
package bootclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a reading of the clock, as the time since the host's start. The
// zero Instant is before every reading.
type Instant time.Duration

// Now reads the clock.
func Now() Instant {
	var spec unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &spec); err != nil {
		// The clock exists on every supported kernel; without it no term can be kept.
		panic("bootclock: " + err.Error())
	}
	return Instant(spec.Nano())
}

// Sub returns the time from other to i.
func (i Instant) Sub(other Instant) time.Duration { return time.Duration(i - other) }

// Add returns the instant that is d later.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Before reports whether i is earlier than other.
func (i Instant) Before(other Instant) bool { return i < other }

// Since returns the time from i until now.
func Since(i Instant) time.Duration { return Now().Sub(i) }
