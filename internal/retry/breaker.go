package retry

import (
	"sync"
	"time"
)

const (
	breakerFailures  = 5
	breakerBasePause = 500 * time.Millisecond
	breakerMaxPause  = 10 * time.Second
)

// Breaker keeps work from an upstream that fails in a row. After a pause it lets
// one attempt through; the pause doubles while attempts fail.
type Breaker struct {
	mu       sync.Mutex
	failures int
	opened   int
	openedAt time.Time
	until    time.Time
	probing  bool
}

// Allow reports whether an attempt may be made, else how long to wait. Each
// allowed attempt is followed by Success, Failure or Abandon.
func (b *Breaker) Allow() (ok bool, wait time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.opened == 0 {
		return true, 0
	}
	if left := time.Until(b.until); left > 0 {
		return false, left
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
	b.opened = 0
	b.probing = false
}

// Failure counts a failed attempt and opens the breaker after several in a row.
func (b *Breaker) Failure() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.failures++
	if b.opened > 0 && !b.probing {
		return
	}
	b.probing = false
	if b.failures < breakerFailures {
		return
	}
	if b.opened == 0 {
		b.openedAt = time.Now()
	}
	b.until = time.Now().Add(Backoff(b.opened, breakerBasePause, breakerMaxPause))
	b.opened++
}

// Abandon ends an attempt that says nothing of the upstream.
func (b *Breaker) Abandon() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.probing = false
}

// OpenFor returns how long the breaker has been open, 0 when it is closed.
func (b *Breaker) OpenFor() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.opened == 0 {
		return 0
	}
	return time.Since(b.openedAt)
}
