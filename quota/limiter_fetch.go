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
		tokenRequest, pool, ok := a.nextRequest()
		if !ok {
			return
		}
		sent := a.limiter.options.Now()
		request := &Request{Tier: TierGrant, TokenRequests: []TokenRequest{tokenRequest}}
		reply, err := a.limiter.call(a.limiter.ctx, pool, request)
		var pause time.Duration
		if err != nil || len(reply.TokenReplies) != 1 {
			a.limiter.avoidPool(pool)
			pause = a.applyNoReply()
		} else {
			pause = a.applyReply(sent, tokenRequest, reply)
		}
		if pause > 0 {
			time.Sleep(pause)
		}
	}
}

// prepare drafts the next ask, or ends the task when nobody waits.
func (a *account) nextRequest() (TokenRequest, string, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.limiter.options.Now()
	a.admitWaiters(now, a.expires)
	if len(a.waiters) == 0 || a.limiter.ctx.Err() != nil {
		a.fetching = false
		return TokenRequest{}, "", false
	}
	pool := a.limiter.choosePool(a.customer.Group(), now)
	a.switchPool(pool)
	tokenRequest := a.newReport(now)
	head := a.waiters[0].tokens + a.debt
	tokenRequest.Want = int64(math.Ceil(max(0, head-a.balance)))
	queued := a.demand.expectedTokens(grantLookahead)
	for _, w := range a.waiters[1:] {
		queued += w.tokens
	}
	tokenRequest.Extra = int64(math.Ceil(queued))
	return tokenRequest, pool, true
}

// move directs the account to another pool. Tokens of the former pool are given up.
func (a *account) switchPool(pool string) {
	if pool == a.pool {
		return
	}
	a.pool = pool
	a.balance = 0
	a.poolBalance = 0
	a.expires = time.Time{}
	a.anchor = anchor{}
	a.reportPeriod++
	a.refund = unusedTokens{}
}

// report drafts an ask that tells the pool the present balance, and begins a new period.
func (a *account) newReport(now time.Time) TokenRequest {
	if !a.isGrantValid(now) {
		a.balance = 0
	}
	a.reportPeriod++
	a.balance = math.Floor(a.balance)
	a.poolBalance = a.balance
	tokenRequest := TokenRequest{Customer: a.customer, Seq: a.limiter.seq.Add(1), Holding: int64(a.balance)}
	if since := a.anchor.instant(a.refund.spentSince); a.refund.tokens >= 1 && since.Incarnation != 0 {
		tokenRequest.Refund = int64(a.refund.takeAll().tokens)
		tokenRequest.RefundSince = since
	}
	return tokenRequest
}

// answered takes in a pool's answer and returns how long to pause before the next ask.
func (a *account) applyReply(sent time.Time, tokenRequest TokenRequest, reply *Reply) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.limiter.options.Now()
	tokenReply := reply.TokenReplies[0]
	a.addGranted(sent, now, tokenRequest, tokenReply, reply.Clock)
	a.admitWaiters(now, sent.Add(borrowerTerm(spendTerm)))
	a.balance = min(a.balance, a.poolBalance)
	if tokenReply.Granted > 0 || len(a.waiters) == 0 {
		return 0
	}
	head := a.waiters[0]
	a.recordShortage(now, head.tokens, tokenReply.Wait)
	if now.Add(tokenReply.Wait).Sub(head.since) <= a.limiter.options.MaxWait {
		return max(tokenReply.Wait, minWaitHint)
	}
	a.refuseWaiters(now, tokenReply.Wait)
	return 0
}

// noteShort remembers that tokens are missing, so that requests that would wait
// too long need no ask of their own.
func (a *account) recordShortage(now time.Time, tokens float64, wait time.Duration) {
	a.shortageTokens = tokens
	a.availableAt = now.Add(wait)
	refusePeriod := max(0, wait-a.limiter.options.MaxWait)
	a.refuseUntil = now.Add(min(refusePeriod, maxRefusePeriod))
}

// refuseShort refuses the waiters, from the first on, that the wait would keep too long.
func (a *account) refuseWaiters(now time.Time, wait time.Duration) {
	for len(a.waiters) > 0 {
		head := a.waiters[0]
		if head.tokens < a.shortageTokens || now.Add(wait).Sub(head.since) <= a.limiter.options.MaxWait {
			return
		}
		a.waiters = a.waiters[1:]
		head.result <- result{refusal: shortageRefusal(wait)}
	}
}

// take adds granted tokens to the balance. Those that were wanted at once are
// good for the requests that wait now, if the answer came soon enough.
func (a *account) addGranted(sent, now time.Time, tokenRequest TokenRequest, tokenReply TokenReply, reading Instant) {
	a.anchor = anchor{at: now, reading: reading}
	if !tokenReply.Renewed {
		// One term holds for the whole balance, so a holding that was not renewed is given up.
		a.balance = 0
		a.poolBalance = 0
	}
	if !tokenReply.Renewed && tokenReply.Granted == 0 {
		return
	}
	wanted := min(tokenReply.Granted, tokenRequest.Want)
	a.poolBalance += float64(tokenReply.Granted - wanted)
	a.balance += float64(tokenReply.Granted - wanted)
	a.expires = sent.Add(borrowerTerm(a.limiter.options.GrantTerm))
	a.balance += float64(wanted)
}

// serve admits waiters in their order while the balance, good until expires, lasts.
func (a *account) admitWaiters(now, expires time.Time) {
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
func (a *account) applyNoReply() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.limiter.options.Now()
	for len(a.waiters) > 0 && now.Sub(a.waiters[0].since) > maxPoolWait {
		a.waiters[0].result <- result{refusal: &Refusal{
			Reason: ReasonNoPool, RetryAfter: poolBackoff, Message: "no pool of the customer's group answers",
		}}
		a.waiters = a.waiters[1:]
	}
	return poolRetryPause
}

// poolOf returns the pool of a group: among the live routers of the region, the
// holders of the group's shares come first, then the order is by hash. Routers
// may differ in their choice.
func (l *limiter) choosePool(group int, now time.Time) string {
	holders := make(map[string]bool)
	for _, slot := range SlotsOf(group, l.options.Config.Slots()) {
		holders[l.options.Directory.Holder(slot)] = true
	}
	best := l.options.Address
	bestHolds, bestScore := false, uint64(0)
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, router := range l.options.Directory.Routers() {
		if router.Region != l.options.Region || now.Before(l.avoidUntil[router.Address]) {
			continue
		}
		holds, score := holders[router.Address], rendezvousScore(group, router.Address)
		if holds == bestHolds && score <= bestScore || bestHolds && !holds {
			continue
		}
		best, bestHolds, bestScore = router.Address, holds, score
	}
	return best
}

// shun leaves a pool alone for a while.
func (l *limiter) avoidPool(pool string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.options.Log.Debug().Str("peer", pool).Msg("quota: pool lost")
	l.avoidUntil[pool] = l.options.Now().Add(poolBackoff)
}

// flush returns unspent grants of customers without demand, sends refunds that
// are worth a message, and forgets customers.
func (l *limiter) flush(ctx context.Context) {
	l.mu.Lock()
	now := l.options.Now()
	accounts := make([]*account, 0, len(l.accounts))
	for customer, a := range l.accounts {
		if now.Sub(a.lastUsedAt) > accountTTL {
			delete(l.accounts, customer)
			continue
		}
		accounts = append(accounts, a)
	}
	l.mu.Unlock()
	l.returnGrants(ctx, accounts, func(a *account, now time.Time) bool { return a.isReturnDue(now) })
}

// due reports whether a grant is about to end unspent or a refund is worth a message.
func (a *account) isReturnDue(now time.Time) bool {
	limit, _ := a.limiter.options.Config.Limit(a.customer)
	if a.refund.tokens >= refundFraction*limit.Burst && a.anchor.reading.Incarnation != 0 {
		return true
	}
	endsSoon := a.expires.Sub(now) < 2*flushInterval
	return endsSoon && a.balance >= 1 && a.isGrantValid(now)
}

// giveBack returns the balances and refunds of the chosen accounts.
func (l *limiter) returnGrants(ctx context.Context, accounts []*account, shouldReturn func(*account, time.Time) bool) {
	requests := make(map[string]*Request)
	for _, a := range accounts {
		a.mu.Lock()
		now := l.options.Now()
		if a.fetching || a.pool == "" || !shouldReturn(a, now) {
			a.mu.Unlock()
			continue
		}
		tokenRequest := a.newReport(now)
		tokenRequest.Holding, tokenRequest.Returned = 0, tokenRequest.Holding
		a.balance = 0
		a.poolBalance = 0
		if requests[a.pool] == nil {
			requests[a.pool] = &Request{Tier: TierGrant}
		}
		requests[a.pool].TokenRequests = append(requests[a.pool].TokenRequests, tokenRequest)
		a.mu.Unlock()
	}
	var calls sync.WaitGroup
	for pool, request := range requests {
		calls.Go(func() { _, _ = l.call(ctx, pool, request) })
	}
	calls.Wait()
}
