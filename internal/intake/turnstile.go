package intake

import (
	"slices"
	"sync"
	"time"
)

const (
	// restAfter is the time that long bodies may take in turns before other work gets as much time.
	restAfter = 5 * time.Millisecond
	// maxRest bounds that time.
	maxRest = 20 * time.Millisecond
)

// turnstile lets one connection at a time process what it has received of a long body, in the order
// of arrival. While others wait, it rests for as long as the turns took, so that small requests
// find the processor free.
type turnstile struct {
	mu      sync.Mutex
	taken   bool
	waiting []chan struct{}
	// used is the time of the turns since the last rest.
	used time.Duration
}

// enter takes the turn if it is free. Otherwise it returns a channel that is closed when the turn
// comes; the caller then has it, unless it has left the queue by quit.
func (t *turnstile) enter() chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.taken {
		t.taken = true
		return nil
	}
	turn := make(chan struct{})
	t.waiting = append(t.waiting, turn)
	return turn
}

// quit leaves the queue. If the turn has come meanwhile, the next one gets it.
func (t *turnstile) quit(turn chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if i := slices.Index(t.waiting, turn); i >= 0 {
		t.waiting = slices.Delete(t.waiting, i, i+1)
		return
	}
	t.passOn()
}

// leave ends a turn that took a time.
func (t *turnstile) leave(took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.used += took
	if len(t.waiting) == 0 {
		t.used = 0
	}
	if t.used < restAfter {
		t.passOn()
		return
	}
	time.AfterFunc(min(t.used, maxRest), t.endRest)
	t.used = 0
}

func (t *turnstile) endRest() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.passOn()
}

// passOn gives the turn to the next connection. t.mu must be held.
func (t *turnstile) passOn() {
	if len(t.waiting) == 0 {
		t.taken = false
		return
	}
	close(t.waiting[0])
	t.waiting = t.waiting[1:]
}
