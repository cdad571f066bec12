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
	// poolBackoff is how long a pool that did not reply is not chosen again.
	poolBackoff = 2 * time.Second
	// maxPoolWait bounds how long a request waits while no pool replies.
	maxPoolWait = 2500 * time.Millisecond
	// poolRetryPause is the pause between attempts to reach a pool.
	poolRetryPause = 50 * time.Millisecond
	// accountTTL is how long a router keeps the account of a customer without
	// requests.
	accountTTL = 30 * time.Second
	// grantLookahead is how far ahead a router requests tokens for expected
	// demand.
	grantLookahead = 250 * time.Millisecond
	// maxRefusePeriod bounds how long requests are refused without asking,
	// based on one reply.
	maxRefusePeriod = 250 * time.Millisecond
	// retryMargin is added to the time after which a refused caller may retry.
	retryMargin = 100 * time.Millisecond
)

// limiter admits requests with tokens that pools grant. It is safe for
// concurrent use.
type limiter struct {
	options *Options
	call    callFunc
	seq     atomic.Uint64
	ctx     context.Context
	fetches sync.WaitGroup

	mu       sync.Mutex
	accounts map[CustomerID]*account
	stopped  bool
	// avoidUntil holds the pools that did not reply and when each may be chosen
	// again.
	avoidUntil map[string]time.Time
}

// waiter is a request that waits for tokens. result receives one result, unless
// removeWaiter has removed the waiter.
type waiter struct {
	tokens   float64
	queuedAt time.Time
	result   chan result
}

// result has either a ticket or a refusal.
type result struct {
	ticket  *Ticket
	refusal *Refusal
}

// account is a router's state for one customer.
type account struct {
	limiter  *limiter
	customer CustomerID

	mu      sync.Mutex
	balance float64
	// poolBalance is how many tokens the pool counts as unspent until the grant
	// expires. The balance is higher only while waiting requests are being
	// admitted.
	poolBalance float64
	// expires is the end of the grant on this process's clock.
	expires     time.Time
	pool        string
	clockAnchor clockAnchor
	// reportPeriod counts the reports to the pool. The pool still counts tokens
	// that were spent in the current period as unspent.
	reportPeriod uint64
	// debt is the number of tokens used beyond those of tickets. The next admitted
	// request pays for them.
	debt     float64
	refund   unusedTokens
	demand   demand
	waiters  []*waiter
	fetching bool
	// Requests for at least shortageTokens are refused until refuseUntil
	// without asking the pool. The pool expects to have that many tokens at
	// availableAt.
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

// account returns the account of a customer and marks it as used, or returns
// nil if the limiter is stopped.
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

// admit takes tokens for a request. It blocks while the request waits for
// tokens. Its error is a *Refusal.
func (l *limiter) admit(ctx context.Context, customer CustomerID, tokens int64) (*Ticket, error) {
	limit, ok := l.options.Config.Limit(customer)
	if !ok {
		return nil, &Refusal{Reason: ReasonNoLimit, Message: "the customer has no limit"}
	}
	if float64(tokens) > MaxLentFraction*limit.Burst {
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

// wait blocks until the fetch task has admitted or refused the waiter, or ctx
// ends.
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

// admitOrQueue admits a request, refuses it, or queues it as a waiter. Exactly
// one of the results is not nil.
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
	mustRefuse := tokens >= a.shortageTokens && now.Before(a.refuseUntil)
	if mustRefuse || len(a.waiters) >= maxWaiters {
		return nil, nil, shortageRefusal(a.availableAt.Sub(now))
	}
	w := &waiter{tokens: tokens, queuedAt: now, result: make(chan result, 1)}
	a.waiters = append(a.waiters, w)
	if !a.fetching {
		a.fetching = true
		a.limiter.fetches.Go(func() { a.fetch() })
	}
	return nil, w, nil
}

// shortageRefusal returns the refusal for a request whose tokens are expected
// after the given wait.
func shortageRefusal(wait time.Duration) *Refusal {
	return &Refusal{
		Reason:     ReasonRateExceeded,
		RetryAfter: max(wait, 0) + retryMargin,
		Message:    "the customer's rate is used up",
	}
}

// stoppedRefusal returns the refusal for a request to a router that is stopping
// or has not started.
func stoppedRefusal() *Refusal {
	return &Refusal{Reason: ReasonStopped, RetryAfter: time.Second, Message: "the router takes no requests"}
}

// isGrantValid reports whether the balance may be spent. The caller holds a.mu.
func (a *account) isGrantValid(now time.Time) bool { return now.Before(a.expires) }

// spend takes tokens from the balance, which is valid until expires, and
// returns a ticket, or nil if the balance has expired or is too small. It reads
// the clock again just before it takes the tokens, so that a pause of the
// process after the first reading cannot make it spend expired tokens. The
// caller holds a.mu.
func (a *account) spend(now, expires time.Time, tokens float64, queuedAt time.Time) *Ticket {
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
		account: a, tokens: int64(tokens), reportPeriod: a.reportPeriod, admittedAt: rechecked, Waited: rechecked.Sub(queuedAt),
	}
}

// removeWaiter removes a waiter and reports whether it was still waiting.
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

// stop refuses further and waiting requests and returns the grants. It blocks
// until fetches have ended and the pools have replied.
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

// stop refuses all waiting requests and all further ones.
func (a *account) stop() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.stopped = true
	for _, w := range a.waiters {
		w.result <- result{refusal: stoppedRefusal()}
	}
	a.waiters = nil
}
