package enginesim

import (
	"sync"
	"sync/atomic"
)

// Stats is what an engine counted since its process started, over all its lives.
type Stats struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	// Admitted counts requests that entered the batch, whatever became of them.
	Admitted         int64 `json:"admitted"`
	Completed        int64 `json:"completed"`
	PromptTokens     int64 `json:"prompt_tokens"`
	CachedTokens     int64 `json:"cached_tokens"`
	ComputedTokens   int64 `json:"computed_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
	Crashes          int64 `json:"crashes"`
	// Orders is the number of orders obeyed, StaleOrders of those with an older
	// fencing number than one obeyed before.
	Orders      int64 `json:"orders"`
	StaleOrders int64 `json:"stale_orders"`
	// Poisoned lists the requests that crashed the engine.
	Poisoned []string `json:"poisoned,omitempty"`
}

type stats struct {
	admitted, completed, prompt, cached, computed, completion atomic.Int64
	crashes, orders, staleOrders                              atomic.Int64

	mu       sync.Mutex
	poisoned []string
}

func (s *stats) complete(prompt, cached, completion int64) {
	s.completed.Add(1)
	s.prompt.Add(prompt)
	s.cached.Add(cached)
	s.completion.Add(completion)
}

func (s *stats) poisonedBy(requestID string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.poisoned = append(s.poisoned, requestID)
}

func (s *stats) snapshot(o Options) Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Stats{
		Name:             o.Name,
		Address:          o.Address,
		Admitted:         s.admitted.Load(),
		Completed:        s.completed.Load(),
		PromptTokens:     s.prompt.Load(),
		CachedTokens:     s.cached.Load(),
		ComputedTokens:   s.computed.Load(),
		CompletionTokens: s.completion.Load(),
		Crashes:          s.crashes.Load(),
		Orders:           s.orders.Load(),
		StaleOrders:      s.staleOrders.Load(),
		Poisoned:         append([]string(nil), s.poisoned...),
	}
}
