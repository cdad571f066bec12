// Package bootclock reads CLOCK_BOOTTIME, which is not affected by changes of the
// time of day and continues while the host is suspended. Lease terms and ages that
// safety depends on are measured with it, because Go's monotonic clock stops during a
// suspension.
package bootclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a reading of the clock: the time since the host was booted. The zero
// Instant is before every reading.
type Instant time.Duration

// Now returns the current reading. It panics when the kernel has no CLOCK_BOOTTIME.
func Now() Instant {
	var spec unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &spec); err != nil {
		// Every supported kernel has this clock. Without it no lease term can be enforced.
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
