package quota

import (
	"math"
	"time"
)

// lenderBackoff is how long a lender that did not reply is not asked again.
const lenderBackoff = 2 * time.Second

// loanState is the pool's state for one lender. outstanding is the number of
// tokens that the lender counts as unspent by the pool, until expires.
type loanState struct {
	outstanding float64
	expires     time.Time
	// remaining is how many tokens the lender had left at the time of its last
	// reply.
	remaining   float64
	remainingAt time.Time
	retryAfter  time.Time
	// blockedUntil is set when a lender has tokens that it may not lend because
	// too many are already on loan.
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
			loan.outstanding = 0
		}
	}
}

// newTokenRequest returns a request to a lender that reports the tokens still
// held, returns up to returnable free tokens, and includes the refund if the
// lender's clock is known. Tokens of the loan that nothing needs are reported
// as spent. The caller holds a.mu.
func (a *poolAccount) newTokenRequest(loan *loanState, now time.Time, grantTerm time.Duration, seq uint64, returnable float64) TokenRequest {
	a.expireLoans(now)
	required := a.requiredBacking(loan, now, grantTerm)
	returned := math.Floor(max(0, min(returnable, a.free, required)))
	a.free -= returned
	loan.outstanding = math.Ceil(required - returned)
	request := TokenRequest{Customer: a.customer, Seq: seq, Holding: int64(loan.outstanding), Returned: int64(returned)}
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
		loan.outstanding = 0
	}
	loan.outstanding += float64(reply.Granted)
	a.free += float64(reply.Granted)
	if reply.Renewed || reply.Granted > 0 {
		loan.expires = sent.Add(borrowerTerm(term))
	}
	loan.remaining = float64(reply.Left)
	loan.remainingAt = now
	loan.retryAfter = time.Time{}
	if reply.Granted < request.Want && reply.Left >= 1 {
		loan.blockedUntil = now.Add(pollAllInterval)
	}
	loan.clockAnchor = clockAnchor{at: now, reading: clock}
}

// estimate returns how many tokens a lender with a fraction of the limit can
// probably lend and how full its share probably is. required is the number of
// unspent tokens that the pool has on loan from it.
func (loan *loanState) estimate(now time.Time, limit Limit, fraction, required float64) candidate {
	burst := fraction * limit.Burst
	room := max(1, burst-required)
	level := room
	if !loan.remainingAt.IsZero() {
		gained := now.Sub(loan.remainingAt).Seconds() * limit.Rate * fraction
		level = min(loan.remaining+gained, room)
	}
	c := candidate{loan: loan, level: level, fillFraction: level / room}
	if !now.Before(loan.blockedUntil) {
		c.estimate = min(level, max(0, MaxLent*burst-required))
	}
	return c
}
