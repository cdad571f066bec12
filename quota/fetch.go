package quota

import (
	"context"
	"math"
	"sync"
	"time"
)

// fetch asks pools for tokens while requests wait. It is one account's only
// task that asks for more, and ends with the last waiter.
func (a *account) fetch() {
	for {
		ask, pool, ok := a.prepare()
		if !ok {
			return
		}
		sent := a.limiter.options.Now()
		request := &Request{Tier: TierGrant, TokenRequests: []TokenRequest{ask}}
		reply, err := a.limiter.call(a.limiter.ctx, pool, request)
		var pause time.Duration
		if err != nil || len(reply.TokenReplies) != 1 {
			a.limiter.shun(pool)
			pause = a.unanswered()
		} else {
			pause = a.answered(sent, ask, reply)
		}
		if pause > 0 {
			time.Sleep(pause)
		}
	}
}

// prepare drafts the next ask, or ends the task when nobody waits.
func (a *account) prepare() (TokenRequest, string, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.limiter.options.Now()
	a.serve(now, a.expires)
	if len(a.waiters) == 0 || a.limiter.ctx.Err() != nil {
		a.fetching = false
		return TokenRequest{}, "", false
	}
	pool := a.limiter.poolOf(a.customer.Group(), now)
	a.move(pool)
	ask := a.report(now)
	head := a.waiters[0].tokens + a.debt
	ask.Want = int64(math.Ceil(max(0, head-a.balance)))
	queued := a.demand.expect(grantAhead)
	for _, w := range a.waiters[1:] {
		queued += w.tokens
	}
	ask.Extra = int64(math.Ceil(queued))
	return ask, pool, true
}

// move directs the account to another pool. Tokens of the former pool are given up.
func (a *account) move(pool string) {
	if pool == a.pool {
		return
	}
	a.pool = pool
	a.balance = 0
	a.covered = 0
	a.expires = time.Time{}
	a.anchor = anchor{}
	a.period++
	a.refund = refund{}
}

// report drafts an ask that tells the pool the present balance, and begins a new period.
func (a *account) report(now time.Time) TokenRequest {
	if !a.valid(now) {
		a.balance = 0
	}
	a.period++
	a.balance = math.Floor(a.balance)
	a.covered = a.balance
	ask := TokenRequest{Customer: a.customer, Seq: a.limiter.seq.Add(1), Holding: int64(a.balance)}
	if since := a.anchor.instant(a.refund.since); a.refund.tokens >= 1 && since.Incarnation != 0 {
		ask.Refund = int64(a.refund.take().tokens)
		ask.RefundSince = since
	}
	return ask
}

// answered takes in a pool's answer and returns how long to pause before the next ask.
func (a *account) answered(sent time.Time, ask TokenRequest, reply *Reply) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.limiter.options.Now()
	answer := reply.TokenReplies[0]
	a.take(sent, now, ask, answer, reply.Clock)
	a.serve(now, sent.Add(ownTerm(spendTerm)))
	a.balance = min(a.balance, a.covered)
	if answer.Granted > 0 || len(a.waiters) == 0 {
		return 0
	}
	head := a.waiters[0]
	a.noteShort(now, head.tokens, answer.Wait)
	if now.Add(answer.Wait).Sub(head.since) <= a.limiter.options.MaxWait {
		return max(answer.Wait, minWaitHint)
	}
	a.refuseShort(now, answer.Wait)
	return 0
}

// noteShort remembers that tokens are missing, so that requests that would wait
// too long need no ask of their own.
func (a *account) noteShort(now time.Time, tokens float64, wait time.Duration) {
	a.shortTokens = tokens
	a.availableAt = now.Add(wait)
	hopeless := max(0, wait-a.limiter.options.MaxWait)
	a.refuseUntil = now.Add(min(hopeless, maxRefuse))
}

// refuseShort refuses the waiters, from the first on, that the wait would keep too long.
func (a *account) refuseShort(now time.Time, wait time.Duration) {
	for len(a.waiters) > 0 {
		head := a.waiters[0]
		if head.tokens < a.shortTokens || now.Add(wait).Sub(head.since) <= a.limiter.options.MaxWait {
			return
		}
		a.waiters = a.waiters[1:]
		head.result <- result{refusal: shortOf(wait)}
	}
}

// take adds granted tokens to the balance. Those that were wanted at once are
// good for the requests that wait now, if the answer came soon enough.
func (a *account) take(sent, now time.Time, ask TokenRequest, answer TokenReply, clock Instant) {
	a.anchor = anchor{at: now, peer: clock}
	if !answer.Renewed {
		// One term holds for the whole balance, so a holding that was not renewed is given up.
		a.balance = 0
		a.covered = 0
	}
	if !answer.Renewed && answer.Granted == 0 {
		return
	}
	wanted := min(answer.Granted, ask.Want)
	a.covered += float64(answer.Granted - wanted)
	a.balance += float64(answer.Granted - wanted)
	a.expires = sent.Add(ownTerm(a.limiter.options.GrantTerm))
	a.balance += float64(wanted)
}

// serve admits waiters in their order while the balance, good until expires, lasts.
func (a *account) serve(now, expires time.Time) {
	for len(a.waiters) > 0 {
		head := a.waiters[0]
		ticket := a.spend(now, expires, head.tokens, head.since)
		if ticket == nil {
			return
		}
		a.waiters = a.waiters[1:]
		head.result <- result{ticket: ticket}
	}
}

// unanswered refuses the waiters that have waited too long for any pool.
func (a *account) unanswered() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.limiter.options.Now()
	for len(a.waiters) > 0 && now.Sub(a.waiters[0].since) > maxPoolTime {
		a.waiters[0].result <- result{refusal: &Refusal{
			Reason: ReasonNoPool, RetryAfter: poolRetryInterval, Message: "no pool of the customer's group answers",
		}}
		a.waiters = a.waiters[1:]
	}
	return poolPause
}

// poolOf returns the pool of a group: among the live routers of the region, the
// holders of the group's shares come first, then the order is by hash. Routers
// may differ in their choice.
func (l *limiter) poolOf(group int, now time.Time) string {
	holders := make(map[string]bool)
	for _, slot := range SlotsOf(group, l.options.Config.Slots()) {
		holders[l.options.Directory.Holder(slot)] = true
	}
	best := l.options.Address
	bestHolds, bestScore := false, uint64(0)
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, router := range l.options.Directory.Routers() {
		if router.Region != l.options.Region || now.Before(l.avoid[router.Address]) {
			continue
		}
		holds, score := holders[router.Address], poolScore(group, router.Address)
		if holds == bestHolds && score <= bestScore || bestHolds && !holds {
			continue
		}
		best, bestHolds, bestScore = router.Address, holds, score
	}
	return best
}

// shun leaves a pool alone for a while.
func (l *limiter) shun(pool string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.options.Log.Debug().Str("peer", pool).Msg("quota: pool lost")
	l.avoid[pool] = l.options.Now().Add(poolRetryInterval)
}

// flush returns unspent grants of customers without demand, sends refunds that
// are worth a message, and forgets customers.
func (l *limiter) flush(ctx context.Context) {
	l.mu.Lock()
	now := l.options.Now()
	accounts := make([]*account, 0, len(l.accounts))
	for customer, a := range l.accounts {
		if now.Sub(a.usedAt) > accountMemory {
			delete(l.accounts, customer)
			continue
		}
		accounts = append(accounts, a)
	}
	l.mu.Unlock()
	l.giveBack(ctx, accounts, func(a *account, now time.Time) bool { return a.due(now) })
}

// due reports whether a grant is about to end unspent or a refund is worth a message.
func (a *account) due(now time.Time) bool {
	limit, _ := a.limiter.options.Config.Limit(a.customer)
	if a.refund.tokens >= refundFraction*limit.Burst && a.anchor.peer.Incarnation != 0 {
		return true
	}
	ending := a.expires.Sub(now) < 2*flushInterval
	return ending && a.balance >= 1 && a.valid(now)
}

// giveBack returns the balances and refunds of the chosen accounts.
func (l *limiter) giveBack(ctx context.Context, accounts []*account, choose func(*account, time.Time) bool) {
	requests := make(map[string]*Request)
	for _, a := range accounts {
		a.mu.Lock()
		now := l.options.Now()
		if a.fetching || a.pool == "" || !choose(a, now) {
			a.mu.Unlock()
			continue
		}
		ask := a.report(now)
		ask.Holding, ask.Returned = 0, ask.Holding
		a.balance = 0
		a.covered = 0
		if requests[a.pool] == nil {
			requests[a.pool] = &Request{Tier: TierGrant}
		}
		requests[a.pool].TokenRequests = append(requests[a.pool].TokenRequests, ask)
		a.mu.Unlock()
	}
	var calls sync.WaitGroup
	for pool, request := range requests {
		calls.Go(func() { _, _ = l.call(ctx, pool, request) })
	}
	calls.Wait()
}
