package quota

import (
	"math"
	"time"
)

// lenderBackoff is how long a lender that did not reply is not asked again.
const lenderBackoff = 2 * time.Second

// loanState is the pool's state for one lender. unspent is the number of tokens
// that the lender counts as unspent by the pool, until expires.
type loanState struct {
	unspent float64
	expires time.Time
	// remaining is how many tokens the lender had left at the time of its last
	// reply.
	remaining   float64
	remainingAt time.Time
	retryAfter  time.Time
	// blockedUntil is the time until which the lender is assumed unable to lend
	// the tokens it has, because they are reserved or too many are on loan.
	blockedUntil time.Time
	clockAnchor  clockAnchor
}

// loan returns the state for a lender and creates it if needed. The caller
// holds a.mu.
func (a *poolAccount) loan(address string) *loanState {
	loan := a.loans[address]
	if loan == nil {
		loan = new(loanState)
		a.loans[address] = loan
	}
	return loan
}

// expireLoans clears the loans whose term has ended. The caller holds a.mu.
func (a *poolAccount) expireLoans(now time.Time) {
	for _, loan := range a.loans {
		if !now.Before(loan.expires) {
			loan.unspent = 0
		}
	}
}

// newTokenRequest builds a request to a lender that reports the unspent tokens
// to keep and gives back up to returnable free ones, which it subtracts from
// a.free. Tokens of the loan that nothing needs are reported as spent. If the
// lender's clock is known, the refund moves from the account into the request,
// and is lost if the request fails. The caller holds a.mu.
func (a *poolAccount) newTokenRequest(loan *loanState, now time.Time, grantTerm time.Duration, seq uint64, returnable float64) TokenRequest {
	a.expireLoans(now)
	unspent := a.unspentTokens(loan, now, grantTerm)
	returned := math.Floor(max(0, min(returnable, a.free, unspent)))
	a.free -= returned
	loan.unspent = math.Ceil(unspent - returned)
	request := TokenRequest{Customer: a.customer, Seq: seq, Holding: int64(loan.unspent), Returned: int64(returned)}
	if since := loan.clockAnchor.instant(a.refund.earliestSpent); a.refund.tokens >= 1 && since.Incarnation != 0 {
		request.Refund = int64(a.refund.takeAll().tokens)
		request.RefundSince = since
	}
	return request
}

// applyReply updates the account with a lender's reply to a request that was
// sent at the given time. The loan's term counts from that time. The caller
// holds a.mu.
func (a *poolAccount) applyReply(loan *loanState, request TokenRequest, sent, now time.Time, term time.Duration, reply TokenReply, clock Instant) {
	if !reply.Renewed {
		loan.unspent = 0
	}
	loan.unspent += float64(reply.Granted)
	a.free += float64(reply.Granted)
	if reply.Renewed || reply.Granted > 0 {
		loan.expires = sent.Add(borrowerTerm(term))
	}
	loan.remaining = float64(reply.Remaining)
	loan.remainingAt = now
	loan.retryAfter = time.Time{}
	if reply.Granted < request.Want && reply.Remaining >= 1 {
		loan.blockedUntil = now.Add(pollAllInterval)
	}
	loan.clockAnchor = clockAnchor{at: now, reading: clock}
}

// estimate returns how many tokens a lender with a fraction of the limit can
// probably lend and how full its share probably is. unspent is the result of
// unspentTokens for the loan.
func (loan *loanState) estimate(now time.Time, limit Limit, fraction, unspent float64) candidate {
	burst := fraction * limit.Burst
	room := max(1, burst-unspent)
	level := room
	if !loan.remainingAt.IsZero() {
		gained := now.Sub(loan.remainingAt).Seconds() * limit.Rate * fraction
		level = min(loan.remaining+gained, room)
	}
	c := candidate{loan: loan, level: level, fillFraction: level / room}
	if !now.Before(loan.blockedUntil) {
		c.estimate = min(level, max(0, MaxLentFraction*burst-unspent))
	}
	return c
}
