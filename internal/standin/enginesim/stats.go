package enginesim

import (
	"sync"
	"sync/atomic"
)

// Stats holds the counters of an engine since its process started, over all
// incarnations.
type Stats struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	// Admitted is the number of requests that entered the batch, whether or not they
	// completed.
	Admitted         int64 `json:"admitted"`
	Completed        int64 `json:"completed"`
	PromptTokens     int64 `json:"prompt_tokens"`
	CachedTokens     int64 `json:"cached_tokens"`
	ComputedTokens   int64 `json:"computed_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
	Crashes          int64 `json:"crashes"`
	// Orders is the number of orders applied. StaleOrders is the number of those with a
	// lower fencing token than an order applied before.
	Orders      int64 `json:"orders"`
	StaleOrders int64 `json:"stale_orders"`
	// Poisoned lists the IDs of the requests that crashed the engine.
	Poisoned []string `json:"poisoned,omitempty"`
}

// stats is the internal form of Stats. It is safe for concurrent use.
type stats struct {
	admitted, completed, promptTokens, cachedTokens, computedTokens, completionTokens atomic.Int64
	crashes, orders, staleOrders                                                      atomic.Int64

	mu       sync.Mutex
	poisoned []string
}

// addCompleted counts a completed run and its tokens.
func (s *stats) addCompleted(prompt, cached, completion int64) {
	s.completed.Add(1)
	s.promptTokens.Add(prompt)
	s.cachedTokens.Add(cached)
	s.completionTokens.Add(completion)
}

func (s *stats) addPoisoned(requestID string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.poisoned = append(s.poisoned, requestID)
}

// snapshot returns the counters of the engine with the given options.
func (s *stats) snapshot(options Options) Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Stats{
		Name:             options.Name,
		Address:          options.Address,
		Admitted:         s.admitted.Load(),
		Completed:        s.completed.Load(),
		PromptTokens:     s.promptTokens.Load(),
		CachedTokens:     s.cachedTokens.Load(),
		ComputedTokens:   s.computedTokens.Load(),
		CompletionTokens: s.completionTokens.Load(),
		Crashes:          s.crashes.Load(),
		Orders:           s.orders.Load(),
		StaleOrders:      s.staleOrders.Load(),
		Poisoned:         append([]string(nil), s.poisoned...),
	}
}
