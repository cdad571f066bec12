package retry

import (
	"maps"
	"sync"
)

// SharedBudget bounds the repeats that all gateways together send to a pool, as a
// part of the pool's requests and a fixed slack. Each gateway has an equal part
// of the slack; what it has not used does not grow beyond that part.
type SharedBudget struct {
	// Ratio is the part of a repeat that each request earns.
	Ratio float64

	mu       sync.Mutex
	slack    float64
	balances map[string]float64
}

// NewSharedBudget returns an allowance with this gateway's part of the slack.
func NewSharedBudget(ratio, slack float64) *SharedBudget {
	return &SharedBudget{Ratio: ratio, slack: slack, balances: make(map[string]float64)}
}

// SetSlack changes this gateway's part of the slack.
func (b *SharedBudget) SetSlack(slack float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for name, balance := range b.balances {
		b.balances[name] = min(balance, slack)
	}
	b.slack = slack
}

// Earn counts a request for the pool.
func (b *SharedBudget) Earn(pool string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.balances[pool] = min(b.slack, b.balance(pool)+b.Ratio)
}

// Spend reports whether one repeat may be sent to the pool, and counts it.
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

// balance returns a pool's balance, which starts full; b.mu is held.
func (b *SharedBudget) balance(pool string) float64 {
	balance, ok := b.balances[pool]
	if !ok {
		return b.slack
	}
	return balance
}

// Balances returns the repeats that may be sent at once, by pool.
func (b *SharedBudget) Balances() map[string]float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return maps.Clone(b.balances)
}
