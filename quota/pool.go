package quota

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// stockMemory is how long a pool remembers a customer that nobody asks for.
	poolAccountTTL = 10 * time.Second
	// idleAfter is how long a customer's tokens stay in the pool after the last ask.
	idleTimeout = 300 * time.Millisecond
	// maxDraws bounds the rounds of borrowing for one ask.
	maxBorrowRounds = 3
	// stopRounds and stopPause let asks in flight end before the last tokens are returned.
	stopRounds = 3
	stopPause  = 50 * time.Millisecond
	// minWaitHint and maxWaitHint bound the time after which a router is told to ask again.
	minWaitHint = 25 * time.Millisecond
	maxWaitHint = time.Minute
)

type callFunc func(ctx context.Context, address string, request *Request) (*Reply, error)

// pool grants to routers what it borrows from shares.
type pool struct {
	options *Options
	clock   *instantClock
	call    callFunc
	// seq grows with each ask to any lender.
	seq atomic.Uint64

	mu       sync.Mutex
	accounts map[CustomerID]*poolAccount
	stopped  bool
}

// stock is what a pool has of one customer. Tokens of different lenders are
// alike; lots say how many of them each lender may count on being unspent.
type poolAccount struct {
	mu       sync.Mutex
	customer CustomerID
	limit    Limit
	free     float64
	grants   ledger
	loans    map[string]*loanState
	demand   demand
	refund   unusedTokens
	// drawing is open while asks to lenders are in flight.
	borrowing chan struct{}
	// sweptAt is when all lenders were last asked for too much.
	polledAllAt time.Time
	lastUsedAt  time.Time
}

func newPool(o *Options, clock *instantClock, call callFunc) *pool {
	return &pool{options: o, clock: clock, call: call, accounts: make(map[CustomerID]*poolAccount)}
}

func (p *pool) handle(ctx context.Context, request *Request) *Reply {
	reply := &Reply{Clock: p.clock.read()}
	for i := range request.TokenRequests {
		a := p.account(request.TokenRequests[i].Customer)
		if a == nil {
			return reply
		}
		reply.TokenReplies = append(reply.TokenReplies, p.handleTokenRequest(ctx, a, request.Borrower, &request.TokenRequests[i]))
	}
	return reply
}

// stock returns the stock of a customer, or nil when the pool is closed or the
// customer unknown.
func (p *pool) account(customer CustomerID) *poolAccount {
	limit, ok := p.options.Config.Limit(customer)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopped || !ok {
		return nil
	}
	a := p.accounts[customer]
	if a == nil {
		a = &poolAccount{customer: customer, loans: make(map[string]*loanState)}
		p.accounts[customer] = a
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.limit = limit
	a.lastUsedAt = p.options.Now()
	return a
}

// grant answers a router's ask, and borrows first when there is too little.
func (p *pool) handleTokenRequest(ctx context.Context, a *poolAccount, borrowerID uint64, request *TokenRequest) TokenReply {
	a.mu.Lock()
	now := p.options.Now()
	returned, holdingKnown, isNew := a.grants.applyReport(now, borrowerID, request)
	if !isNew {
		a.mu.Unlock()
		return TokenReply{}
	}
	a.free += returned
	a.demand.record(now, float64(request.Want))
	a.addRefund(p.clock, request)
	a.mu.Unlock()
	for range maxBorrowRounds {
		if !p.borrow(ctx, a, float64(request.Want)) {
			break
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	now = p.options.Now()
	reply := a.grant(now, borrowerID, request, holdingKnown, p.options.GrantTerm)
	if reply.Granted < request.Want {
		reply.Wait = p.estimateWait(a, now, float64(request.Want))
	}
	a.checkInvariants(now)
	return reply
}

// answer renews a router's holding and grants what it wants, if there is as
// much. Tokens beyond that are granted only with a holding that was renewed,
// since one term holds for both.
func (a *poolAccount) grant(now time.Time, borrowerID uint64, request *TokenRequest, holdingKnown bool, grantTerm time.Duration) TokenReply {
	a.expireLoans(now)
	reply := TokenReply{Renewed: a.renewHolding(now, borrowerID, request.Holding, grantTerm) && holdingKnown}
	a.dropUnbacked(now)
	if a.grantable(now, spendTerm) >= float64(request.Want) {
		reply.Granted = request.Want
		a.free -= float64(request.Want)
		a.grants.issueImmediate(now, borrowerID, float64(request.Want))
	}
	if reply.Renewed && reply.Granted == request.Want {
		extra := grantableTokens(a.grantable(now, grantTerm), 0, request.Extra)
		reply.Granted += extra
		a.free -= float64(extra)
		a.grants.issue(now, borrowerID, float64(extra), grantTerm)
	}
	reply.Left = int64(a.free)
	return reply
}

// takeRefund keeps a router's refund until the next ask to a lender.
func (a *poolAccount) addRefund(clock *instantClock, request *TokenRequest) {
	since := clock.time(request.RefundSince)
	if request.Refund > 0 && !since.IsZero() {
		a.refund.add(float64(request.Refund), since)
	}
}

// waitFor estimates when tokens will be there: soon if lenders have enough that
// they may not lend at present, else from the customer's rate.
func (p *pool) estimateWait(a *poolAccount, now time.Time, want float64) time.Duration {
	candidates := p.candidates(a, now)
	missing := want - a.grantable(now, spendTerm) - totalEstimate(candidates)
	if missing <= totalWithheld(candidates) {
		return pollAllInterval
	}
	if a.limit.Rate <= 0 {
		return maxWaitHint
	}
	wait := time.Duration(missing / a.limit.Rate * float64(time.Second))
	return min(max(wait, minWaitHint), maxWaitHint)
}

// stop refuses further asks and returns all free tokens.
func (p *pool) stop(ctx context.Context) {
	p.mu.Lock()
	p.stopped = true
	p.mu.Unlock()
	for range stopRounds {
		p.refreshLoans(ctx, true)
		select {
		case <-time.After(stopPause):
		case <-ctx.Done():
			return
		}
	}
}

// flush returns the tokens of idle customers, renews those in use, and forgets
// customers that have been idle for long.
func (p *pool) flush(ctx context.Context) {
	p.refreshLoans(ctx, false)
	p.removeIdleAccounts()
}

func (p *pool) removeIdleAccounts() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.options.Now()
	for customer, a := range p.accounts {
		a.mu.Lock()
		if a.borrowing == nil && now.Sub(a.lastUsedAt) > poolAccountTTL {
			delete(p.accounts, customer)
		}
		a.mu.Unlock()
	}
}
