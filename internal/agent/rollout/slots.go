package rollout

import (
	"sync"
	"time"
)

// slotTerm is how long a place is held for an agent that does not give it back.
const slotTerm = 60 * time.Second

// slots are the places for loads that run at once, kept by the coordinator. It
// bounds load on the weight store; two coordinators for a while are harmless.
type slots struct {
	mu   sync.Mutex
	held map[string]time.Time
}

func newSlots() *slots { return &slots{held: make(map[string]time.Time)} }

// take reserves a place for an upstream and reports whether there was one.
// Taking again renews a place that is held.
func (s *slots) take(upstream string, limit int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for name, since := range s.held {
		if now.Sub(since) > slotTerm {
			delete(s.held, name)
		}
	}
	if _, ok := s.held[upstream]; !ok && len(s.held) >= limit {
		return false
	}
	s.held[upstream] = now
	return true
}

func (s *slots) give(upstream string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.held, upstream)
}
