package quota

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// stockMemory is how long a pool remembers a customer that nobody asks for.
	stockMemory = 10 * time.Second
	// idleAfter is how long a customer's tokens stay in the pool after the last ask.
	idleAfter = 300 * time.Millisecond
	// maxDraws bounds the rounds of borrowing for one ask.
	maxDraws = 3
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

	mu      sync.Mutex
	stocks  map[CustomerID]*stock
	stopped bool
}

// stock is what a pool has of one customer. Tokens of different lenders are
// alike; lots say how many of them each lender may count on being unspent.
type stock struct {
	mu       sync.Mutex
	customer CustomerID
	limit    Limit
	free     float64
	grants   ledger
	lots     map[string]*lot
	demand   demand
	refund   refund
	// drawing is open while asks to lenders are in flight.
	drawing chan struct{}
	// sweptAt is when all lenders were last asked for too much.
	sweptAt time.Time
	usedAt  time.Time
}

func newPool(o *Options, clock *instantClock, call callFunc) *pool {
	return &pool{options: o, clock: clock, call: call, stocks: make(map[CustomerID]*stock)}
}

func (p *pool) handle(ctx context.Context, request *Request) *Reply {
	reply := &Reply{Clock: p.clock.read()}
	for i := range request.TokenRequests {
		s := p.stock(request.TokenRequests[i].Customer)
		if s == nil {
			return reply
		}
		reply.TokenReplies = append(reply.TokenReplies, p.grant(ctx, s, request.Borrower, &request.TokenRequests[i]))
	}
	return reply
}

// stock returns the stock of a customer, or nil when the pool is closed or the
// customer unknown.
func (p *pool) stock(customer CustomerID) *stock {
	limit, ok := p.options.Config.Limit(customer)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopped || !ok {
		return nil
	}
	s := p.stocks[customer]
	if s == nil {
		s = &stock{customer: customer, lots: make(map[string]*lot)}
		p.stocks[customer] = s
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limit = limit
	s.usedAt = p.options.Now()
	return s
}

// grant answers a router's ask, and borrows first when there is too little.
func (p *pool) grant(ctx context.Context, s *stock, borrower uint64, ask *TokenRequest) TokenReply {
	s.mu.Lock()
	now := p.options.Now()
	returned, known, fresh := s.grants.report(now, borrower, ask)
	if !fresh {
		s.mu.Unlock()
		return TokenReply{}
	}
	s.free += returned
	s.demand.add(now, float64(ask.Want))
	s.takeRefund(p.clock, ask)
	s.mu.Unlock()
	for range maxDraws {
		if !p.draw(ctx, s, float64(ask.Want)) {
			break
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now = p.options.Now()
	answer := s.answer(now, borrower, ask, known, p.options.GrantTerm)
	if answer.Granted < ask.Want {
		answer.Wait = p.waitFor(s, now, float64(ask.Want))
	}
	s.check(now)
	return answer
}

// answer renews a router's holding and grants what it wants, if there is as
// much. Tokens beyond that are granted only with a holding that was renewed,
// since one term holds for both.
func (s *stock) answer(now time.Time, borrower uint64, ask *TokenRequest, known bool, term time.Duration) TokenReply {
	s.expire(now)
	answer := TokenReply{Renewed: s.renew(now, borrower, ask.Holding, term) && known}
	s.trim(now)
	if s.grantable(now, spendTerm) >= float64(ask.Want) {
		answer.Granted = ask.Want
		s.free -= float64(ask.Want)
		s.grants.issueBrief(now, borrower, float64(ask.Want))
	}
	if answer.Renewed && answer.Granted == ask.Want {
		extra := portion(s.grantable(now, term), 0, ask.Extra)
		answer.Granted += extra
		s.free -= float64(extra)
		s.grants.issue(now, borrower, float64(extra), term)
	}
	answer.Left = int64(s.free)
	return answer
}

// takeRefund keeps a router's refund until the next ask to a lender.
func (s *stock) takeRefund(clock *instantClock, ask *TokenRequest) {
	since := clock.time(ask.RefundSince)
	if ask.Refund > 0 && !since.IsZero() {
		s.refund.add(float64(ask.Refund), since)
	}
}

// waitFor estimates when tokens will be there: soon if lenders have enough that
// they may not lend at present, else from the customer's rate.
func (p *pool) waitFor(s *stock, now time.Time, want float64) time.Duration {
	candidates := p.candidates(s, now)
	missing := want - s.grantable(now, spendTerm) - total(candidates)
	if missing <= withheld(candidates) {
		return sweepInterval
	}
	if s.limit.Rate <= 0 {
		return maxWaitHint
	}
	wait := time.Duration(missing / s.limit.Rate * float64(time.Second))
	return min(max(wait, minWaitHint), maxWaitHint)
}

// stop refuses further asks and returns all free tokens.
func (p *pool) stop(ctx context.Context) {
	p.mu.Lock()
	p.stopped = true
	p.mu.Unlock()
	for range stopRounds {
		p.settle(ctx, true)
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
	p.settle(ctx, false)
	p.forget()
}

func (p *pool) forget() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.options.Now()
	for customer, s := range p.stocks {
		s.mu.Lock()
		if s.drawing == nil && now.Sub(s.usedAt) > stockMemory {
			delete(p.stocks, customer)
		}
		s.mu.Unlock()
	}
}
