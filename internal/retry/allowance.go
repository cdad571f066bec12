package retry

import (
	"maps"
	"sync"
)

// Allowance bounds the repeats that all gateways together send to a pool, as a
// part of the pool's requests and a fixed slack. Each gateway has an equal part
// of the slack; what it has not used does not grow beyond that part.
type Allowance struct {
	// Ratio is the part of a repeat that each request earns.
	Ratio float64

	mu       sync.Mutex
	slack    float64
	balances map[string]float64
}

// NewAllowance returns an allowance with this gateway's part of the slack.
func NewAllowance(ratio, slack float64) *Allowance {
	return &Allowance{Ratio: ratio, slack: slack, balances: make(map[string]float64)}
}

// SetSlack changes this gateway's part of the slack.
func (a *Allowance) SetSlack(slack float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for name, balance := range a.balances {
		a.balances[name] = min(balance, slack)
	}
	a.slack = slack
}

// Earn counts a request for the pool.
func (a *Allowance) Earn(pool string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.balances[pool] = min(a.slack, a.balance(pool)+a.Ratio)
}

// Spend reports whether one repeat may be sent to the pool, and counts it.
func (a *Allowance) Spend(pool string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	balance := a.balance(pool)
	if balance < 1 {
		return false
	}
	a.balances[pool] = balance - 1
	return true
}

// balance returns a pool's balance, which starts full; a.mu is held.
func (a *Allowance) balance(pool string) float64 {
	balance, ok := a.balances[pool]
	if !ok {
		return a.slack
	}
	return balance
}

// Balances returns the repeats that may be sent at once, by pool.
func (a *Allowance) Balances() map[string]float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return maps.Clone(a.balances)
}
