// Package retry bounds repeated attempts: budgets, pauses with jitter, and a
// circuit breaker.
package retry

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/greengagegate/greengagegate/internal/metrics"
)

const (
	// depositPerRequest is how much of a retry each request earns.
	depositPerRequest = 0.2
	// minRetriesPerSecond is earned without requests.
	minRetriesPerSecond = 1.0
	maxBalance          = 30.0
	maxNames            = 16384
)

// Budgets holds one budget a name, such as a customer or an upstream. The
// retries of a name stay below a fraction of its requests.
type Budgets struct {
	kind     string
	mu       sync.Mutex
	balances map[string]*balance
}

type balance struct {
	amount float64
	seen   time.Time
}

// NewBudgets returns budgets of one kind, which names their metric.
func NewBudgets(kind string) *Budgets {
	return &Budgets{kind: kind, balances: make(map[string]*balance)}
}

// Deposit counts a request of the name.
func (b *Budgets) Deposit(name string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	found := b.balance(name, time.Now())
	found.amount = min(maxBalance, found.amount+depositPerRequest)
}

// Withdraw reports whether the name may retry once, and counts the retry.
func (b *Budgets) Withdraw(name string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	found := b.balance(name, time.Now())
	if found.amount < 1 {
		metrics.Counter("retry.denied", b.kind, name).Inc(1)
		return false
	}
	found.amount--
	metrics.Counter("retry.spent", b.kind, name).Inc(1)
	return true
}

// balance returns the name's balance with what it has earned by time; b.mu is held.
func (b *Budgets) balance(name string, now time.Time) *balance {
	found, ok := b.balances[name]
	if !ok {
		b.makeRoom()
		found = &balance{amount: maxBalance, seen: now}
		b.balances[name] = found
	}
	earned := now.Sub(found.seen).Seconds() * minRetriesPerSecond
	found.amount = min(maxBalance, found.amount+earned)
	found.seen = now
	return found
}

// makeRoom forgets an arbitrary name when there are too many; b.mu is held.
func (b *Budgets) makeRoom() {
	if len(b.balances) < maxNames {
		return
	}
	for name := range b.balances {
		delete(b.balances, name)
		return
	}
}

// Backoff returns the time to wait before a numbered retry, the first being 0. It
// doubles from base up to limit and is spread over its upper half.
func Backoff(number int, base, limit time.Duration) time.Duration {
	pause := limit
	if number < 16 {
		pause = min(limit, base<<number)
	}
	return pause/2 + rand.N(pause/2+1)
}
