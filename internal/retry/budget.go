// Package retry bounds repeated attempts with retry budgets, exponential backoff
// with jitter, and a circuit breaker.
package retry

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/greengagegate/greengagegate/internal/metrics"
)

const (
	// earnedRetriesPerRequest is the fraction of a retry that each request earns.
	earnedRetriesPerRequest = 0.2
	// earnedRetriesPerSecond is earned over time, also without requests.
	earnedRetriesPerSecond = 1.0
	// maxBalance is the largest number of retries that a name can accumulate. New names
	// start with it.
	maxBalance = 30.0
	// maxNames bounds the number of names in one Budgets, and so its memory.
	maxNames = 16384
)

// Budgets holds one retry budget per name, such as a customer or an upstream. It
// bounds the retries of a name to a fraction of its requests plus a small rate and
// burst. It is safe for concurrent use.
type Budgets struct {
	kind     string
	mu       sync.Mutex
	balances map[string]*balance
}

type balance struct {
	amount    float64
	updatedAt time.Time
}

// NewBudgets returns an empty set of budgets. kind is the label of their names in
// metrics.
func NewBudgets(kind string) *Budgets {
	return &Budgets{kind: kind, balances: make(map[string]*balance)}
}

// Deposit credits the name with the part of a retry that one request earns.
func (b *Budgets) Deposit(name string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	account := b.balance(name, time.Now())
	account.amount = min(maxBalance, account.amount+earnedRetriesPerRequest)
}

// Withdraw reports whether the name may retry once. If so, it deducts the retry from
// the name's balance.
func (b *Budgets) Withdraw(name string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	account := b.balance(name, time.Now())
	if account.amount < 1 {
		metrics.Counter("retry.denied", b.kind, name).Inc(1)
		return false
	}
	account.amount--
	metrics.Counter("retry.spent", b.kind, name).Inc(1)
	return true
}

// balance returns the name's balance after adding what the name has earned since its
// last use. It must be called with b.mu held.
func (b *Budgets) balance(name string, now time.Time) *balance {
	account, ok := b.balances[name]
	if !ok {
		b.evictIfFull()
		account = &balance{amount: maxBalance, updatedAt: now}
		b.balances[name] = account
	}
	earned := now.Sub(account.updatedAt).Seconds() * earnedRetriesPerSecond
	account.amount = min(maxBalance, account.amount+earned)
	account.updatedAt = now
	return account
}

// evictIfFull removes an arbitrary name if there are maxNames of them. It must be
// called with b.mu held.
func (b *Budgets) evictIfFull() {
	if len(b.balances) < maxNames {
		return
	}
	for name := range b.balances {
		delete(b.balances, name)
		return
	}
}

// Backoff returns the time to wait before a retry; the first retry has number 0. The
// delay doubles from base up to limit. The result is random between half the delay
// and the whole delay, so that clients do not retry together.
func Backoff(retry int, base, limit time.Duration) time.Duration {
	delay := limit
	if retry < 16 {
		delay = min(limit, base<<retry)
	}
	return delay/2 + rand.N(delay/2+1)
}
