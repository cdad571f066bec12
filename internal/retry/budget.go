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
	// earnedRetriesPerSecond is the number of retries that a name earns per second, also
	// without requests.
	earnedRetriesPerSecond = 1.0
	// maxBalance is the largest number of retries that the account of a name can hold.
	// New accounts start with it.
	maxBalance = 30.0
	// maxNames bounds the number of accounts in one Budgets, and so its memory.
	maxNames = 16384
)

// Budgets holds one retry budget per name of, for example, a customer or an upstream.
// It bounds the retries for a name to a fraction of its requests plus a small rate and
// burst. It is safe for concurrent use.
type Budgets struct {
	kind     string
	mu       sync.Mutex
	accounts map[string]*account
}

// account is the retry budget of one name.
type account struct {
	// retries is the number of retries that may be made now, rounded down.
	retries   float64
	updatedAt time.Time
}

// NewBudgets returns an empty set of budgets. kind is the label of their names in
// metrics.
func NewBudgets(kind string) *Budgets {
	return &Budgets{kind: kind, accounts: make(map[string]*account)}
}

// Earn credits the name with the part of a retry that one request earns.
func (b *Budgets) Earn(name string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.accountOf(name, time.Now())
	a.retries = min(maxBalance, a.retries+earnedRetriesPerRequest)
}

// Spend reports whether the name may retry once. If so, it deducts the retry from
// the name's account.
func (b *Budgets) Spend(name string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.accountOf(name, time.Now())
	if a.retries < 1 {
		metrics.Counter("retry.denied", b.kind, name).Inc(1)
		return false
	}
	a.retries--
	metrics.Counter("retry.spent", b.kind, name).Inc(1)
	return true
}

// accountOf returns the name's account after adding what the name has earned since its
// last use. It must be called with b.mu held.
func (b *Budgets) accountOf(name string, now time.Time) *account {
	a, ok := b.accounts[name]
	if !ok {
		b.evictIfFull()
		a = &account{retries: maxBalance, updatedAt: now}
		b.accounts[name] = a
	}
	earned := now.Sub(a.updatedAt).Seconds() * earnedRetriesPerSecond
	a.retries = min(maxBalance, a.retries+earned)
	a.updatedAt = now
	return a
}

// evictIfFull removes an arbitrary account if there are maxNames of them. The name of a
// removed account starts again with maxBalance. evictIfFull must be called with b.mu
// held.
func (b *Budgets) evictIfFull() {
	if len(b.accounts) < maxNames {
		return
	}
	for name := range b.accounts {
		delete(b.accounts, name)
		return
	}
}

// Backoff returns the time to wait before a retry; the first retry has number 0. The
// delay doubles from base up to limit. The result is random between half the delay
// and the whole delay, so that clients do not retry together.
func Backoff(number int, base, limit time.Duration) time.Duration {
	delay := limit
	// A larger shift could overflow.
	if number < 16 {
		delay = min(limit, base<<number)
	}
	return delay/2 + rand.N(delay/2+1)
}
