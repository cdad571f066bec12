package quota

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxWaiters bounds the requests of one customer that wait at one router.
	maxWaiters = 64
	// poolRetryInterval is how long a pool that did not answer is left alone.
	poolBackoff = 2 * time.Second
	// maxPoolTime is how long a request waits while no pool answers.
	maxPoolWait = 2500 * time.Millisecond
	// poolPause spaces the attempts to find a pool that answers.
	poolRetryPause = 50 * time.Millisecond
	// accountMemory is how long a router remembers a customer without requests.
	accountTTL = 30 * time.Second
	// grantAhead is the demand for which a router asks ahead.
	grantLookahead = 250 * time.Millisecond
	// maxRefuse bounds how long requests are refused on the word of one answer.
	maxRefusePeriod = 250 * time.Millisecond
	// retryMargin is added to the time after which a refused caller may come back.
	retryMargin = 100 * time.Millisecond
)

// limiter admits requests with tokens that pools grant.
type limiter struct {
	options *Options
	call    callFunc
	seq     atomic.Uint64
	ctx     context.Context
	fetches sync.WaitGroup

	mu       sync.Mutex
	accounts map[CustomerID]*account
	stopped  bool
	// avoid holds pools that did not answer, until they are tried again.
	avoidUntil map[string]time.Time
}

// waiter is a request that waits for tokens. Its channel gets one result.
type waiter struct {
	tokens float64
	since  time.Time
	result chan result
}

type result struct {
	ticket  *Ticket
	refusal *Refusal
}

// account is what a router has of one customer.
type account struct {
	limiter  *limiter
	customer CustomerID

	mu      sync.Mutex
	balance float64
	// covered is what the pool counts as unspent until the grant expires. The
	// balance is above it only while waiting requests are being served.
	poolBalance float64
	// expires is the end of the grant on this process's clock.
	expires time.Time
	pool    string
	anchor  anchor
	// period counts the reports to the pool. Tokens that were spent in the
	// current period are still counted as unspent by the pool.
	reportPeriod uint64
	debt         float64
	refund       unusedTokens
	demand       demand
	waiters      []*waiter
	fetching     bool
	// Requests of shortTokens or more are refused until refuseUntil without
	// asking. The pool expects that many tokens at availableAt.
	shortageTokens float64
	refuseUntil    time.Time
	availableAt    time.Time
	stopped        bool
	lastUsedAt     time.Time
}

func newLimiter(o *Options, call callFunc) *limiter {
	return &limiter{
		options:    o,
		call:       call,
		accounts:   make(map[CustomerID]*account),
		avoidUntil: make(map[string]time.Time),
		stopped:    true,
	}
}

func (l *limiter) start(ctx context.Context) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ctx = ctx
	l.stopped = false
}

func (l *limiter) account(customer CustomerID) *account {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stopped {
		return nil
	}
	a := l.accounts[customer]
	if a == nil {
		a = &account{limiter: l, customer: customer}
		l.accounts[customer] = a
	}
	a.lastUsedAt = l.options.Now()
	return a
}

func (l *limiter) admit(ctx context.Context, customer CustomerID, tokens int64) (*Ticket, error) {
	limit, ok := l.options.Config.Limit(customer)
	if !ok {
		return nil, &Refusal{Reason: ReasonNoLimit, Message: "the customer has no limit"}
	}
	if float64(tokens) > MaxLent*limit.Burst {
		return nil, &Refusal{Reason: ReasonAboveBurst, Message: "the request costs more than the customer's burst allows"}
	}
	a := l.account(customer)
	if a == nil {
		return nil, stoppedRefusal()
	}
	ticket, w, refusal := a.admitOrQueue(float64(tokens))
	if refusal != nil {
		return nil, refusal
	}
	if ticket != nil {
		return ticket, nil
	}
	return a.wait(ctx, w)
}

// wait blocks until the fetch task has decided on a waiter or its caller leaves.
func (a *account) wait(ctx context.Context, w *waiter) (*Ticket, error) {
	var r result
	select {
	case r = <-w.result:
	case <-ctx.Done():
		if a.removeWaiter(w) {
			return nil, &Refusal{Reason: ReasonCanceled, RetryAfter: time.Second, Message: "the caller left"}
		}
		r = <-w.result
	}
	if r.refusal != nil {
		return nil, r.refusal
	}
	return r.ticket, nil
}

// enter admits a request at once, refuses it at once, or queues it.
func (a *account) admitOrQueue(tokens float64) (*Ticket, *waiter, *Refusal) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.limiter.options.Now()
	if a.stopped {
		return nil, nil, stoppedRefusal()
	}
	a.demand.record(now, tokens)
	if len(a.waiters) == 0 {
		if ticket := a.spend(now, a.expires, tokens, now); ticket != nil {
			return ticket, nil, nil
		}
	}
	isShort := tokens >= a.shortageTokens && now.Before(a.refuseUntil)
	if isShort || len(a.waiters) >= maxWaiters {
		return nil, nil, shortageRefusal(a.availableAt.Sub(now))
	}
	w := &waiter{tokens: tokens, since: now, result: make(chan result, 1)}
	a.waiters = append(a.waiters, w)
	if !a.fetching {
		a.fetching = true
		a.limiter.fetches.Go(func() { a.fetch() })
	}
	return nil, w, nil
}

// shortOf refuses a request that lacks tokens for a time.
func shortageRefusal(wait time.Duration) *Refusal {
	return &Refusal{
		Reason:     ReasonShort,
		RetryAfter: max(wait, 0) + retryMargin,
		Message:    "the customer's rate is used up",
	}
}

// stopping refuses a request of a router that is about to end or has not begun.
func stoppedRefusal() *Refusal {
	return &Refusal{Reason: ReasonStopped, RetryAfter: time.Second, Message: "the router takes no requests"}
}

// valid reports whether the balance may be spent.
func (a *account) isGrantValid(now time.Time) bool { return now.Before(a.expires) }

// spend takes tokens that are good until expires from the balance, or returns
// nil. The clock is read once more before the tokens are taken, so that a pause
// since the first reading is noticed.
func (a *account) spend(now, expires time.Time, tokens float64, since time.Time) *Ticket {
	if !now.Before(expires) {
		a.balance = 0
		return nil
	}
	if a.balance < tokens+a.debt {
		return nil
	}
	rechecked := a.limiter.options.Now()
	if !rechecked.Before(expires) {
		a.balance = 0
		return nil
	}
	a.balance -= tokens + a.debt
	a.debt = 0
	return &Ticket{
		account: a, tokens: int64(tokens), reportPeriod: a.reportPeriod, admittedAt: rechecked, Waited: rechecked.Sub(since),
	}
}

// leave removes a waiter, and reports whether it was still waiting.
func (a *account) removeWaiter(w *waiter) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	i := slices.Index(a.waiters, w)
	if i < 0 {
		return false
	}
	a.waiters = slices.Delete(a.waiters, i, i+1)
	return true
}

// stop refuses further requests, ends the waiting ones and returns the grants.
func (l *limiter) stop(ctx context.Context) {
	l.mu.Lock()
	l.stopped = true
	accounts := make([]*account, 0, len(l.accounts))
	for _, a := range l.accounts {
		accounts = append(accounts, a)
	}
	l.mu.Unlock()
	for _, a := range accounts {
		a.stop()
	}
	l.fetches.Wait()
	l.returnGrants(ctx, accounts, func(*account, time.Time) bool { return true })
}

// stop ends all waiters and lets no more in.
func (a *account) stop() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.stopped = true
	for _, w := range a.waiters {
		w.result <- result{refusal: stoppedRefusal()}
	}
	a.waiters = nil
}
