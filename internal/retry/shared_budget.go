package retry

import (
	"maps"
	"sync"
)

// SharedBudget bounds the retries that this gateway sends to each pool: a fraction of
// the requests that it sends there, plus its part of the slack. The slack is a fixed
// number of retries per pool for all gateways together. Each gateway holds an equal part
// of it, so all gateways together stay within the fraction of the pool's requests plus
// the slack. A pool's balance at this gateway never exceeds this gateway's part.
// A SharedBudget is safe for concurrent use.
type SharedBudget struct {
	// Ratio is the number of retries that each request earns, usually less than 1. It
	// must not be changed after NewSharedBudget.
	Ratio float64

	mu       sync.Mutex
	slack    float64
	balances map[string]float64
}

// NewSharedBudget returns a budget that earns ratio retries per request. slack is
// this gateway's part of the slack, in retries.
func NewSharedBudget(ratio, slack float64) *SharedBudget {
	return &SharedBudget{Ratio: ratio, slack: slack, balances: make(map[string]float64)}
}

// SetSlack changes this gateway's part of the slack and cuts larger balances to it.
func (b *SharedBudget) SetSlack(slack float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for name, balance := range b.balances {
		b.balances[name] = min(balance, slack)
	}
	b.slack = slack
}

// Earn credits the pool with the retries that one request earns.
func (b *SharedBudget) Earn(pool string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.balances[pool] = min(b.slack, b.balance(pool)+b.Ratio)
}

// Spend reports whether one retry may be sent to the pool. If so, it deducts the
// retry from the pool's balance.
func (b *SharedBudget) Spend(pool string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	balance := b.balance(pool)
	if balance < 1 {
		return false
	}
	b.balances[pool] = balance - 1
	return true
}

// balance returns a pool's balance, which starts at the full slack. It must be called
// with b.mu held.
func (b *SharedBudget) balance(pool string) float64 {
	balance, ok := b.balances[pool]
	if !ok {
		return b.slack
	}
	return balance
}

// Balances returns, by pool, the number of retries that may be sent now. Pools that
// have had no request and no retry are not included.
func (b *SharedBudget) Balances() map[string]float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return maps.Clone(b.balances)
}
