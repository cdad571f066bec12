package retry

import (
	"sync"
	"time"
)

const (
	// failuresToOpen is the number of consecutive failures that opens a breaker.
	failuresToOpen = 5
	// breakerBasePause is the pause after the first opening; it doubles with each failed
	// probe up to breakerMaxPause. Backoff shortens each pause at random by up to half.
	breakerBasePause = 500 * time.Millisecond
	breakerMaxPause  = 10 * time.Second
)

// Breaker is a circuit breaker for one upstream. It opens after several consecutive
// failures. After a pause it allows a single probe; the pause doubles with each probe
// that fails. The zero value is a closed breaker. A Breaker is safe for concurrent use.
type Breaker struct {
	mu       sync.Mutex
	failures int
	// openCount is 0 while the breaker is closed. It counts the first opening and each
	// failed probe since then.
	openCount int
	openedAt  time.Time
	retryAt   time.Time
	probing   bool
}

// Allow reports whether an attempt may be made, and otherwise returns how long to
// wait. While a probe is running, the wait is always breakerBasePause, because the end
// of the probe is not known. Each allowed attempt must be followed by Success, Failure
// or Abandon.
func (b *Breaker) Allow() (ok bool, wait time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.openCount == 0 {
		return true, 0
	}
	if remaining := time.Until(b.retryAt); remaining > 0 {
		return false, remaining
	}
	if b.probing {
		return false, breakerBasePause
	}
	b.probing = true
	return true, 0
}

// Success closes the breaker.
func (b *Breaker) Success() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.failures = 0
	b.openCount = 0
	b.probing = false
}

// Failure counts a failed attempt and opens the breaker after failuresToOpen
// consecutive failures. The failure of a probe extends the pause. If the breaker is open
// and no probe is running, the failed attempt began before it opened, and the pause
// stays as it is.
func (b *Breaker) Failure() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.failures++
	if b.openCount > 0 && !b.probing {
		return
	}
	b.probing = false
	if b.failures < failuresToOpen {
		return
	}
	if b.openCount == 0 {
		b.openedAt = time.Now()
	}
	b.retryAt = time.Now().Add(Backoff(b.openCount, breakerBasePause, breakerMaxPause))
	b.openCount++
}

// Abandon ends an allowed attempt without an outcome, for example because the caller
// disconnected.
func (b *Breaker) Abandon() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.probing = false
}

// OpenFor returns the time since the breaker first opened, including probes, or 0 if
// it is closed.
func (b *Breaker) OpenFor() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.openCount == 0 {
		return 0
	}
	return time.Since(b.openedAt)
}
