package quota

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// poolAccountTTL is how long a pool keeps an account that no router uses.
	poolAccountTTL = 10 * time.Second
	// idleTimeout is how long a pool keeps a customer's tokens after the last
	// request for them.
	idleTimeout = 300 * time.Millisecond
	// maxBorrowRounds bounds the rounds of borrowing for one request.
	maxBorrowRounds = 3
	// stopRounds and stopPause let requests in flight finish before the last
	// tokens are returned.
	stopRounds = 3
	stopPause  = 50 * time.Millisecond
	// minWaitHint and maxWaitHint bound the time after which a router requests
	// again, as stated in the pool's reply.
	minWaitHint = 25 * time.Millisecond
	maxWaitHint = time.Minute
)

// callFunc sends a request to a peer and returns its reply.
type callFunc func(ctx context.Context, address string, request *Request) (*Reply, error)

// pool borrows tokens from shares and grants them to routers. It is safe for
// concurrent use.
type pool struct {
	options *Options
	clock   *instantClock
	call    callFunc
	// seq is the last sequence number of requests to lenders.
	seq atomic.Uint64

	mu       sync.Mutex
	accounts map[CustomerID]*poolAccount
	stopped  bool
}

// poolAccount is the pool's state for one customer. Tokens from different
// lenders are interchangeable; loans records how many of them each lender
// counts as unspent.
type poolAccount struct {
	mu       sync.Mutex
	customer CustomerID
	limit    Limit
	// free is the number of borrowed tokens that are not granted to a router.
	free   float64
	grants ledger
	loans  map[string]*loanState
	demand demand
	refund unusedTokens
	// borrowing is non-nil while requests to lenders are in flight, and closed
	// when they have ended.
	borrowing chan struct{}
	// polledAllAt is when all lenders were last asked for more than they seemed
	// to have.
	polledAllAt time.Time
	lastUsedAt  time.Time
}

func newPool(o *Options, clock *instantClock, call callFunc) *pool {
	return &pool{options: o, clock: clock, call: call, accounts: make(map[CustomerID]*poolAccount)}
}

// handle processes a router's token requests in order. The reply ends early if
// the pool is stopped or a customer has no limit.
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

// account returns the account of a customer and marks it as used. It returns
// nil if the pool is stopped or the customer has no limit.
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

// handleTokenRequest answers a router's request for one customer. It borrows
// from lenders first if there are too few tokens, and blocks meanwhile. A
// request that is not newer than the router's last one gets an empty reply.
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

// grant renews a router's holding and grants the tokens it wants if all of them
// are available. Extra tokens are granted only if the holding was renewed,
// because both share one term. The caller holds a.mu.
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
	reply.Remaining = int64(a.free)
	return reply
}

// addRefund keeps a router's refund until the next request to a lender. A
// refund with a time from another incarnation of this process is dropped. The
// caller holds a.mu.
func (a *poolAccount) addRefund(clock *instantClock, request *TokenRequest) {
	since := clock.time(request.RefundSince)
	if request.Refund > 0 && !since.IsZero() {
		a.refund.add(float64(request.Refund), since)
	}
}

// estimateWait estimates when tokens will be available: after pollAllInterval
// if lenders have enough tokens that they may not lend now, and otherwise by
// the customer's rate. The caller holds a.mu.
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

// stop refuses further requests and returns all free tokens. It blocks for
// stopRounds rounds of requests and pauses. If ctx ends, it returns after the
// requests of the round in progress.
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

// flush returns the tokens of idle customers, renews loans in use, and removes
// accounts that have been idle for longer than poolAccountTTL.
func (p *pool) flush(ctx context.Context) {
	p.refreshLoans(ctx, false)
	p.removeIdleAccounts()
}

// removeIdleAccounts removes accounts that have not been used for
// poolAccountTTL and have no requests in flight.
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
