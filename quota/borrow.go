package quota

import (
	"context"
	"math"
	"slices"
	"sync"
	"time"
)

const (
	// reportFraction of the burst is spending worth a message to a share that may
	// be full, if the customer asks at least reportAsks times a second.
	spendingReportFraction = 0.01
	frequentRequestRate    = 2
	// endingFraction of the burst makes a loan that is about to end worth a message.
	renewalFraction = 0.002
	// nearAhead and farAhead are the demand for which a pool borrows ahead in
	// its own region and in others.
	localLookahead  = 500 * time.Millisecond
	remoteLookahead = 5 * time.Second
	// nearlyFull is the fill from which a share may soon gain nothing.
	nearlyFullFraction = 0.6
	// sweepInterval spaces the asks to lenders that together seem to have too little.
	pollAllInterval = 100 * time.Millisecond
	// refundFraction of the burst makes a refund worth a message of its own.
	refundFraction = 0.02
)

// candidate is a lender that may have tokens.
type candidate struct {
	address  string
	loan     *loanState
	estimate float64
	// level is what it likely has, including what it may not lend at present.
	level float64
	// fill is the level of the share as a part of the highest it can have.
	fillFraction float64
	remote       bool
}

// draft is an ask on its way to a lender.
type loanRequest struct {
	address string
	account *poolAccount
	loan    *loanState
	request TokenRequest
}

// draw borrows until the stock has want tokens, in one round. It reports whether
// another round may help.
func (p *pool) borrow(ctx context.Context, a *poolAccount, want float64) bool {
	a.mu.Lock()
	now := p.options.Now()
	a.expireLoans(now)
	a.dropUnbacked(now)
	if a.grantable(now, spendTerm) >= want {
		a.mu.Unlock()
		return false
	}
	if inFlight := a.borrowing; inFlight != nil {
		a.mu.Unlock()
		select {
		case <-inFlight:
			return true
		case <-ctx.Done():
			return false
		}
	}
	requests := p.planRound(a, now, want)
	if len(requests) == 0 {
		a.mu.Unlock()
		return false
	}
	a.borrowing = make(chan struct{})
	a.mu.Unlock()
	p.sendAll(ctx, requests)
	a.mu.Lock()
	defer a.mu.Unlock()
	close(a.borrowing)
	a.borrowing = nil
	return a.grantable(p.options.Now(), spendTerm) < want
}

// plan chooses the lenders of a round: one that likely has enough, or else as
// many as it takes; lenders in other regions come last and lend more at once.
// When all together seem to have too little, they are asked only now and then.
func (p *pool) planRound(a *poolAccount, now time.Time, want float64) []loanRequest {
	candidates := p.candidates(a, now)
	missing := want - a.grantable(now, spendTerm)
	if sufficient := firstSufficient(candidates, missing); sufficient != nil {
		return []loanRequest{p.newLoanRequest(a, now, *sufficient, missing)}
	}
	short := totalEstimate(candidates) < missing
	if short && now.Sub(a.polledAllAt) < pollAllInterval {
		return nil
	}
	if short {
		a.polledAllAt = now
	}
	var requests []loanRequest
	for _, c := range candidates {
		if missing <= 0 && !short {
			break
		}
		tokens := max(1, missing)
		if !short {
			tokens = min(missing, c.estimate)
		}
		requests = append(requests, p.newLoanRequest(a, now, c, tokens))
		missing -= c.estimate
	}
	return requests
}

// draft prepares the ask to one lender for missing tokens.
func (p *pool) newLoanRequest(a *poolAccount, now time.Time, c candidate, missing float64) loanRequest {
	request := a.newTokenRequest(c.loan, now, p.options.GrantTerm, p.seq.Add(1), 0)
	request.Want = int64(math.Ceil(missing))
	lookahead := localLookahead
	if c.remote {
		lookahead = remoteLookahead
	}
	request.Extra = int64(a.demand.expectedTokens(lookahead))
	return loanRequest{c.address, a, c.loan, request}
}

// total is what all candidates together likely have.
func totalEstimate(candidates []candidate) float64 {
	var sum float64
	for _, c := range candidates {
		sum += c.estimate
	}
	return sum
}

// withheld is what all candidates together likely have and may not lend at present.
func totalWithheld(candidates []candidate) float64 {
	var sum float64
	for _, c := range candidates {
		sum += c.level - c.estimate
	}
	return sum
}

// single returns the first near lender that likely has enough.
func firstSufficient(candidates []candidate, missing float64) *candidate {
	for i := range candidates {
		if !candidates[i].remote && candidates[i].estimate >= missing {
			return &candidates[i]
		}
	}
	return nil
}

// candidates returns the lenders that may have tokens, near ones first. A share
// that is full gains nothing, so full ones come first, then this process, which
// costs no message, then the fullest.
func (p *pool) candidates(a *poolAccount, now time.Time) []candidate {
	regions := make(map[string]string)
	for _, router := range p.options.Directory.Routers() {
		regions[router.Address] = router.Region
	}
	regions[p.options.Address] = p.options.Region
	slots := SlotsOf(a.customer.Group(), p.options.Config.Slots())
	fractions := make(map[string]float64)
	for _, slot := range slots {
		fractions[p.options.Directory.Holder(slot)] += 1 / float64(len(slots))
	}
	var found []candidate
	for address, fraction := range fractions {
		region, isLive := regions[address]
		if !isLive {
			continue
		}
		loan := a.loan(address)
		if now.Before(loan.retryAfter) {
			continue
		}
		c := loan.estimate(now, a.limit, fraction, a.requiredBacking(loan, now, p.options.GrantTerm))
		c.address = address
		c.remote = region != p.options.Region
		found = append(found, c)
	}
	slices.SortFunc(found, func(a, b candidate) int { return p.compareCandidates(a, b) })
	return found
}

func (p *pool) compareCandidates(a, b candidate) int {
	if a.remote != b.remote {
		return firstIf(b.remote)
	}
	if isNearlyFull(a) != isNearlyFull(b) {
		return firstIf(isNearlyFull(a))
	}
	if own := a.address == p.options.Address; !isNearlyFull(a) && own != (b.address == p.options.Address) {
		return firstIf(own)
	}
	if a.fillFraction != b.fillFraction {
		return firstIf(a.fillFraction > b.fillFraction)
	}
	return firstIf(a.address < b.address)
}

// full reports whether a share may soon gain nothing.
func isNearlyFull(c candidate) bool { return c.fillFraction >= nearlyFullFraction }

func firstIf(first bool) int {
	if first {
		return -1
	}
	return 1
}

// send carries drafts to their lenders, one request each, and takes in the answers.
func (p *pool) sendAll(ctx context.Context, requests []loanRequest) {
	ctx = context.WithoutCancel(ctx)
	byLender := make(map[string][]loanRequest)
	for _, r := range requests {
		byLender[r.address] = append(byLender[r.address], r)
	}
	var calls sync.WaitGroup
	for address, requests := range byLender {
		calls.Go(func() { p.sendTo(ctx, address, requests) })
	}
	calls.Wait()
}

func (p *pool) sendTo(ctx context.Context, address string, requests []loanRequest) {
	request := &Request{Tier: TierLoan}
	for _, r := range requests {
		request.TokenRequests = append(request.TokenRequests, r.request)
	}
	sent := p.options.Now()
	reply, err := p.call(ctx, address, request)
	answered := err == nil && len(reply.TokenReplies) == len(requests)
	for i, r := range requests {
		r.account.mu.Lock()
		now := p.options.Now()
		if answered {
			r.account.applyReply(r.loan, r.request, sent, now, p.options.LoanTerm, reply.TokenReplies[i], reply.Clock)
		} else {
			r.loan.retryAfter = now.Add(lenderBackoff)
		}
		r.account.mu.Unlock()
	}
}

// settle returns the free tokens of idle customers, or of all, and renews the
// loans of the others.
func (p *pool) refreshLoans(ctx context.Context, all bool) {
	p.mu.Lock()
	accounts := make([]*poolAccount, 0, len(p.accounts))
	for _, a := range p.accounts {
		accounts = append(accounts, a)
	}
	p.mu.Unlock()
	var requests []loanRequest
	var refreshed []*poolAccount
	for _, a := range accounts {
		if accountRequests := p.prepareRefresh(a, all); len(accountRequests) > 0 {
			requests = append(requests, accountRequests...)
			refreshed = append(refreshed, a)
		}
	}
	if len(requests) == 0 {
		return
	}
	p.sendAll(ctx, requests)
	for _, a := range refreshed {
		a.mu.Lock()
		close(a.borrowing)
		a.borrowing = nil
		a.mu.Unlock()
	}
}

// prepare drafts the periodic asks of one stock and marks it as drawing if there are any.
func (p *pool) prepareRefresh(a *poolAccount, all bool) []loanRequest {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := p.options.Now()
	a.expireLoans(now)
	a.dropUnbacked(now)
	if a.borrowing != nil {
		return nil
	}
	idle := all || now.Sub(a.lastUsedAt) >= idleTimeout
	var requests []loanRequest
	for address, loan := range a.loans {
		if now.Before(loan.retryAfter) || !p.isRefreshDue(a, address, loan, now, idle) {
			continue
		}
		returnable := 0.0
		if idle || p.endsSoon(loan, now) {
			returnable = a.free
		}
		request := a.newTokenRequest(loan, now, p.options.GrantTerm, p.seq.Add(1), returnable)
		requests = append(requests, loanRequest{address, a, loan, request})
	}
	if len(requests) > 0 {
		a.borrowing = make(chan struct{})
	}
	return requests
}

// due reports whether a lot has tokens to return, a loan to renew, spending to
// report, or a refund worth a message. Tokens that were spent are first counted
// against the lot.
func (p *pool) isRefreshDue(a *poolAccount, address string, loan *loanState, now time.Time, idle bool) bool {
	if p.isSpendingReportDue(a, address, loan, now) {
		return true
	}
	if idle {
		loan.outstanding = math.Ceil(a.requiredBacking(loan, now, p.options.GrantTerm))
	}
	if a.refund.tokens >= refundFraction*a.limit.Burst && loan.anchor.reading.Incarnation != 0 {
		return true
	}
	if idle {
		return a.free >= 1 && loan.outstanding >= 1
	}
	dependent := a.free + a.grants.totalOutstanding(now) - a.lentBeyondGrant(loan, now, p.options.GrantTerm)
	return p.endsSoon(loan, now) && min(loan.outstanding, dependent) >= max(1, renewalFraction*a.limit.Burst)
}

// ending reports whether a lot will soon be of no use.
func (p *pool) endsSoon(loan *loanState, now time.Time) bool {
	return loan.expires.Sub(now) < p.options.GrantTerm+2*flushInterval
}

// spendingDue reports whether a lender should learn of spending before the next
// draw. A share counts what was lent as unspent, and gains nothing beyond that
// when it is nearly full. This process's own share learns at once.
func (p *pool) isSpendingReportDue(a *poolAccount, address string, loan *loanState, now time.Time) bool {
	spent := loan.outstanding - a.requiredBacking(loan, now, p.options.GrantTerm)
	if address == p.options.Address {
		return spent >= 1
	}
	return spent >= spendingReportFraction*a.limit.Burst && a.demand.requests >= frequentRequestRate && loan.remaining >= spendingReportFraction*a.limit.Burst
}
