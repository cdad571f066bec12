package quota

import (
	"context"
	"math"
	"slices"
	"sync"
	"time"
)

const (
	// spendingReportFraction is the fraction of the burst that a pool must have
	// spent before it sends a report to a share that may be full, if the
	// customer makes at least frequentRequestRate requests per second.
	spendingReportFraction = 0.01
	frequentRequestRate    = 2
	// renewalFraction is the fraction of the burst that must still depend on a
	// loan for the loan to be renewed before it ends. Smaller remainders are
	// not worth a message.
	renewalFraction = 0.002
	// localLookahead and remoteLookahead are how far ahead a pool borrows for
	// expected demand from lenders in its own region and in other regions.
	localLookahead  = 500 * time.Millisecond
	remoteLookahead = 5 * time.Second
	// nearlyFullFraction is the fill level above which a share may soon be full
	// and gain no more tokens.
	nearlyFullFraction = 0.6
	// pollAllInterval is the least time between two requests to all lenders
	// when they together seem to have too few tokens.
	pollAllInterval = 100 * time.Millisecond
	// refundFraction is the fraction of the burst that a refund must reach to
	// be sent in a message of its own.
	refundFraction = 0.02
)

// candidate is a lender that may have tokens. estimate is how many it can
// probably lend now.
type candidate struct {
	address  string
	loan     *loanState
	estimate float64
	// level is how many tokens it probably has, including those that it may not
	// lend now.
	level float64
	// fillFraction is the level divided by the highest level the share can
	// have.
	fillFraction float64
	remote       bool
}

// loanRequest is a token request to a lender with the state that its reply
// changes.
type loanRequest struct {
	address string
	account *poolAccount
	loan    *loanState
	request TokenRequest
}

// borrow sends one round of requests to lenders if fewer than want tokens can
// be granted. It blocks until the lenders have replied; if a round for the
// account is already in flight, it waits for that round instead, or until ctx
// ends. It reports whether another round may help.
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

// planRound chooses the lenders of a round: one local lender that probably has
// enough or, if there is none, as many lenders as are needed, remote ones last.
// Remote lenders are asked for demand further ahead. If all lenders together
// seem to have too little, all of them are asked, but at most once per
// pollAllInterval. The caller holds a.mu.
func (p *pool) planRound(a *poolAccount, now time.Time, want float64) []loanRequest {
	candidates := p.candidates(a, now)
	missing := want - a.grantable(now, spendTerm)
	if sufficient := firstSufficient(candidates, missing); sufficient != nil {
		return []loanRequest{p.newLoanRequest(a, now, *sufficient, missing)}
	}
	insufficient := totalEstimate(candidates) < missing
	if insufficient && now.Sub(a.polledAllAt) < pollAllInterval {
		return nil
	}
	if insufficient {
		a.polledAllAt = now
	}
	var requests []loanRequest
	for _, c := range candidates {
		if missing <= 0 && !insufficient {
			break
		}
		tokens := max(1, missing)
		if !insufficient {
			tokens = min(missing, c.estimate)
		}
		requests = append(requests, p.newLoanRequest(a, now, c, tokens))
		missing -= c.estimate
	}
	return requests
}

// newLoanRequest returns a request to one lender for the missing tokens and for
// the expected demand. The caller holds a.mu.
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

// totalEstimate returns how many tokens all candidates together can probably
// lend now.
func totalEstimate(candidates []candidate) float64 {
	var sum float64
	for _, c := range candidates {
		sum += c.estimate
	}
	return sum
}

// totalWithheld returns how many tokens all candidates together probably have
// but may not lend now.
func totalWithheld(candidates []candidate) float64 {
	var sum float64
	for _, c := range candidates {
		sum += c.level - c.estimate
	}
	return sum
}

// firstSufficient returns the first local lender that probably has enough, or
// nil.
func firstSufficient(candidates []candidate, missing float64) *candidate {
	for i := range candidates {
		if !candidates[i].remote && candidates[i].estimate >= missing {
			return &candidates[i]
		}
	}
	return nil
}

// candidates returns the lenders that may have tokens, in the order in which to
// ask them. Local lenders come before remote ones. Among these, nearly full
// shares come first, since a full share gains no tokens; then this process,
// which costs no message; then the others by fill level. The caller holds a.mu.
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
		c := loan.estimate(now, a.limit, fraction, a.unspentTokens(loan, now, p.options.GrantTerm))
		c.address = address
		c.remote = region != p.options.Region
		found = append(found, c)
	}
	slices.SortFunc(found, func(a, b candidate) int { return p.compareCandidates(a, b) })
	return found
}

// compareCandidates orders candidates as described at candidates.
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

// isNearlyFull reports whether a share may soon be full and gain no more
// tokens.
func isNearlyFull(c candidate) bool { return c.fillFraction >= nearlyFullFraction }

// firstIf returns the result of a comparison function in which a comes before b
// if first is true, and after b otherwise.
func firstIf(first bool) int {
	if first {
		return -1
	}
	return 1
}

// sendAll sends the requests to their lenders, one message per lender in
// parallel, and applies the replies. It blocks until all lenders have replied
// or timed out, also when ctx ends before.
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

// sendTo sends requests to one lender and applies its reply. A lender that does
// not reply is not asked again for lenderBackoff.
func (p *pool) sendTo(ctx context.Context, address string, requests []loanRequest) {
	request := &Request{Kind: KindLoan}
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

// refreshLoans sends the periodic requests to lenders. It returns the free
// tokens of idle customers, or of all customers if all is true. For other
// customers it renews loans that end soon and that still back free tokens or
// grants; such a request also returns free tokens. It also reports spending and
// sends refunds where that is due.
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

// prepareRefresh returns the periodic requests for one account. If there are
// any, it marks the account as borrowing.
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
		if now.Before(loan.retryAfter) || !p.prepareLoanRefresh(a, address, loan, now, idle) {
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

// prepareLoanRefresh reports whether a loan has tokens to return, has to be
// renewed, has spending to report, or has a refund large enough for a message.
// If no spending report is due and the customer is idle, it subtracts the spent
// tokens from the loan. The caller holds a.mu.
func (p *pool) prepareLoanRefresh(a *poolAccount, address string, loan *loanState, now time.Time, idle bool) bool {
	if p.isSpendingReportDue(a, address, loan, now) {
		return true
	}
	if idle {
		loan.unspent = math.Ceil(a.unspentTokens(loan, now, p.options.GrantTerm))
	}
	if a.refund.tokens >= refundFraction*a.limit.Burst && loan.clockAnchor.reading.Incarnation != 0 {
		return true
	}
	if idle {
		return a.free >= 1 && loan.unspent >= 1
	}
	dependent := a.free + a.grants.totalHeld(now) - a.lentBeyondGrant(loan, now, p.options.GrantTerm)
	return p.endsSoon(loan, now) && min(loan.unspent, dependent) >= max(1, renewalFraction*a.limit.Burst)
}

// endsSoon reports whether a loan ends too soon to back a new grant after the
// next two flushes.
func (p *pool) endsSoon(loan *loanState, now time.Time) bool {
	return loan.expires.Sub(now) < p.options.GrantTerm+2*flushInterval
}

// isSpendingReportDue reports whether a lender should learn of spending before
// the next request to it. A share counts lent tokens as unspent and stops
// gaining tokens when its level and loans reach the burst. Spending is reported
// to this process's own share from one token on, since that costs no message.
// The caller holds a.mu.
func (p *pool) isSpendingReportDue(a *poolAccount, address string, loan *loanState, now time.Time) bool {
	spent := loan.unspent - a.unspentTokens(loan, now, p.options.GrantTerm)
	if address == p.options.Address {
		return spent >= 1
	}
	return spent >= spendingReportFraction*a.limit.Burst && a.demand.requests >= frequentRequestRate && loan.remaining >= spendingReportFraction*a.limit.Burst
}
