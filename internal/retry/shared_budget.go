package retry

import (
	"maps"
	"sync"
)

// SharedBudget bounds the retries that all gateways together send to a pool: a
// fraction of the pool's requests plus a fixed slack. Each gateway holds an equal
// part of the slack, and the balance that it accumulates never exceeds that part.
// A SharedBudget is safe for concurrent use.
type SharedBudget struct {
	// Ratio is the number of retries that each request earns, usually a fraction.
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

// Balances returns, by pool, the number of retries that may be sent now. Pools
// without requests so far are missing.
func (b *SharedBudget) Balances() map[string]float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return maps.Clone(b.balances)
}
