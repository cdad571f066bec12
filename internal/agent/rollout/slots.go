package rollout

import (
	"sync"
	"time"
)

// slotExpiry is how long a slot is kept for an agent that does not release it.
const slotExpiry = 60 * time.Second

// slots holds the load slots that this agent has granted as coordinator. They bound the
// load on the weight store. It does no harm when two agents act as coordinator for a
// while.
type slots struct {
	mu sync.Mutex
	// acquired maps upstreams to the time at which they last acquired their slot.
	acquired map[string]time.Time
}

func newSlots() *slots { return &slots{acquired: make(map[string]time.Time)} }

// acquire reserves a slot for an upstream and reports whether one was free. An
// upstream that already has a slot keeps it, and its expiry starts again.
func (s *slots) acquire(upstream string, limit int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for name, acquiredAt := range s.acquired {
		if now.Sub(acquiredAt) > slotExpiry {
			delete(s.acquired, name)
		}
	}
	if _, ok := s.acquired[upstream]; !ok && len(s.acquired) >= limit {
		return false
	}
	s.acquired[upstream] = now
	return true
}

// release frees the upstream's slot, if it has one.
func (s *slots) release(upstream string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.acquired, upstream)
}
