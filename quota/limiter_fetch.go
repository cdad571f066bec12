package quota

import (
	"context"
	"math"
	"sync"
	"time"
)

// fetch requests tokens from pools while requests wait. Only one fetch runs per
// account. It returns when no request waits or the limiter's context has ended.
func (a *account) fetch() {
	for {
		tokenRequest, pool, ok := a.nextRequest()
		if !ok {
			return
		}
		sent := a.limiter.options.Now()
		request := &Request{Kind: KindGrant, TokenRequests: []TokenRequest{tokenRequest}}
		reply, err := a.limiter.call(a.limiter.ctx, pool, request)
		var pause time.Duration
		if err != nil || len(reply.TokenReplies) != 1 {
			a.limiter.avoidPool(pool)
			pause = a.handlePoolFailure()
		} else {
			pause = a.applyReply(sent, tokenRequest, reply)
		}
		if pause > 0 {
			time.Sleep(pause)
		}
	}
}

// nextRequest returns the next request and the pool to send it to. It reports
// false, and marks fetching as ended, if no request waits or the limiter's
// context has ended.
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
	required := a.waiters[0].tokens + a.debt
	tokenRequest.Want = int64(math.Ceil(max(0, required-a.balance)))
	extra := a.demand.expectedTokens(grantLookahead)
	for _, w := range a.waiters[1:] {
		extra += w.tokens
	}
	tokenRequest.Extra = int64(math.Ceil(extra))
	return tokenRequest, pool, true
}

// switchPool makes the account use a pool. Tokens from a different previous
// pool are given up. The caller holds a.mu.
func (a *account) switchPool(pool string) {
	if pool == a.pool {
		return
	}
	a.pool = pool
	a.balance = 0
	a.poolBalance = 0
	a.expires = time.Time{}
	a.clockAnchor = clockAnchor{}
	a.reportPeriod++
	a.refund = unusedTokens{}
}

// newReport returns a token request that reports the present balance to the
// pool, and starts a new report period. The caller holds a.mu.
func (a *account) newReport(now time.Time) TokenRequest {
	if !a.isGrantValid(now) {
		a.balance = 0
	}
	a.reportPeriod++
	a.balance = math.Floor(a.balance)
	a.poolBalance = a.balance
	tokenRequest := TokenRequest{Customer: a.customer, Seq: a.limiter.seq.Add(1), Holding: int64(a.balance)}
	if since := a.clockAnchor.instant(a.refund.earliestSpent); a.refund.tokens >= 1 && since.Incarnation != 0 {
		tokenRequest.Refund = int64(a.refund.takeAll().tokens)
		tokenRequest.RefundSince = since
	}
	return tokenRequest
}

// applyReply processes a pool's reply to a request that was sent at the given
// time. It returns how long to pause before the next request.
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
	if now.Add(tokenReply.Wait).Sub(head.queuedAt) <= a.limiter.options.MaxWait {
		return max(tokenReply.Wait, minWaitHint)
	}
	a.refuseWaiters(now, tokenReply.Wait)
	return 0
}

// recordShortage records that tokens are missing, so that requests that would
// wait longer than MaxWait are refused without asking the pool. The caller
// holds a.mu.
func (a *account) recordShortage(now time.Time, tokens float64, wait time.Duration) {
	a.shortageTokens = tokens
	a.availableAt = now.Add(wait)
	refusePeriod := max(0, wait-a.limiter.options.MaxWait)
	a.refuseUntil = now.Add(min(refusePeriod, maxRefusePeriod))
}

// refuseWaiters refuses waiting requests in order. It stops at the first one
// that wants fewer than shortageTokens tokens or that would not wait longer than
// MaxWait. The caller holds a.mu.
func (a *account) refuseWaiters(now time.Time, wait time.Duration) {
	for len(a.waiters) > 0 {
		head := a.waiters[0]
		if head.tokens < a.shortageTokens || now.Add(wait).Sub(head.queuedAt) <= a.limiter.options.MaxWait {
			return
		}
		a.waiters = a.waiters[1:]
		head.result <- result{refusal: shortageRefusal(wait)}
	}
}

// addGranted adds granted tokens to the balance. The wanted tokens are not
// added to poolBalance: they are valid only for the requests that wait now, and
// only if the reply came within spendTerm. applyReply checks this and drops what
// is left of them. The caller holds a.mu.
func (a *account) addGranted(sent, now time.Time, tokenRequest TokenRequest, tokenReply TokenReply, reading Instant) {
	a.clockAnchor = clockAnchor{at: now, reading: reading}
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

// admitWaiters admits waiting requests in order for as long as the balance
// suffices. The balance is valid until expires. The caller holds a.mu.
func (a *account) admitWaiters(now, expires time.Time) {
	for len(a.waiters) > 0 {
		head := a.waiters[0]
		ticket := a.spend(now, expires, head.tokens, head.queuedAt)
		if ticket == nil {
			return
		}
		a.waiters = a.waiters[1:]
		head.result <- result{ticket: ticket}
	}
}

// handlePoolFailure refuses the requests that have waited longer than
// maxPoolWait, and returns how long to pause before the next pool is tried.
func (a *account) handlePoolFailure() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.limiter.options.Now()
	for len(a.waiters) > 0 && now.Sub(a.waiters[0].queuedAt) > maxPoolWait {
		a.waiters[0].result <- result{refusal: &Refusal{
			Reason: ReasonNoPool, RetryAfter: poolBackoff, Message: "no pool of the customer's group answers",
		}}
		a.waiters = a.waiters[1:]
	}
	return poolRetryPause
}

// choosePool returns the address of the pool for a group. Among the live
// routers of the region it prefers holders of the group's shares and then the
// highest rendezvous score. It returns this process's address if all of them are
// being avoided. Different routers may choose different pools.
func (l *limiter) choosePool(group int, now time.Time) string {
	holders := make(map[string]bool)
	for _, slot := range SlotsOf(group, l.options.Config.Slots()) {
		holders[l.options.Directory.Holder(slot)] = true
	}
	best := l.options.Address
	bestHoldsShare, bestScore := false, uint64(0)
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, router := range l.options.Directory.Routers() {
		if router.Region != l.options.Region || now.Before(l.avoidUntil[router.Address]) {
			continue
		}
		holdsShare, score := holders[router.Address], rendezvousScore(group, router.Address)
		// A holder is better than any other router; among equals the score decides.
		if holdsShare == bestHoldsShare && score <= bestScore || bestHoldsShare && !holdsShare {
			continue
		}
		best, bestHoldsShare, bestScore = router.Address, holdsShare, score
	}
	return best
}

// avoidPool keeps a pool from being chosen for poolBackoff.
func (l *limiter) avoidPool(pool string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.options.Log.Debug().Str("peer", pool).Msg("quota: pool did not answer; asking the next pool")
	l.avoidUntil[pool] = l.options.Now().Add(poolBackoff)
}

// flush returns grants that are about to expire unspent, sends refunds that are
// large enough for a message, and removes accounts that have not been used for
// accountTTL.
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

// isReturnDue reports whether a grant is about to expire unspent or a refund is
// large enough for a message. The caller holds a.mu.
func (a *account) isReturnDue(now time.Time) bool {
	limit, _ := a.limiter.options.Config.Limit(a.customer)
	if a.refund.tokens >= refundFraction*limit.Burst && a.clockAnchor.reading.Incarnation != 0 {
		return true
	}
	endsSoon := a.expires.Sub(now) < 2*flushInterval
	return endsSoon && a.balance >= 1 && a.isGrantValid(now)
}

// returnGrants returns the balances and refunds of the accounts for which
// shouldReturn returns true, one message per pool. It blocks until the pools
// have replied or timed out. Accounts that are fetching are skipped.
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
			requests[a.pool] = &Request{Kind: KindGrant}
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
