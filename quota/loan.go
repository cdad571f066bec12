package quota

import (
	"math"
	"time"
)

// lenderRetryInterval is how long a lender that did not answer is left alone.
const lenderBackoff = 2 * time.Second

// lot is what one lender believes that the pool has unspent.
type loanState struct {
	outstanding float64
	expires     time.Time
	// left is what the lender had left at the time of its last answer.
	remaining   float64
	remainingAt time.Time
	retryAfter  time.Time
	// blockedUntil is set when a lender had tokens that it may not lend, since
	// too many are out on loan.
	blockedUntil time.Time
	anchor       anchor
}

// lot returns the lot of a lender.
func (a *poolAccount) loan(address string) *loanState {
	loan := a.loans[address]
	if loan == nil {
		loan = new(loanState)
		a.loans[address] = loan
	}
	return loan
}

// expire empties the lots whose term is over.
func (a *poolAccount) expireLoans(now time.Time) {
	for _, loan := range a.loans {
		if !now.Before(loan.expires) {
			loan.outstanding = 0
		}
	}
}

// ask prepares an ask to the lender of a lot. The tokens that were spent are
// counted against this lender, and up to giveBack free ones are returned.
func (a *poolAccount) newTokenRequest(loan *loanState, now time.Time, grantTerm time.Duration, seq uint64, returnable float64) TokenRequest {
	a.expireLoans(now)
	required := a.requiredBacking(loan, now, grantTerm)
	returned := math.Floor(max(0, min(returnable, a.free, required)))
	a.free -= returned
	loan.outstanding = math.Ceil(required - returned)
	request := TokenRequest{Customer: a.customer, Seq: seq, Holding: int64(loan.outstanding), Returned: int64(returned)}
	if since := loan.anchor.instant(a.refund.spentSince); a.refund.tokens >= 1 && since.Incarnation != 0 {
		request.Refund = int64(a.refund.takeAll().tokens)
		request.RefundSince = since
	}
	return request
}

// apply takes in a lender's answer to an ask that was sent at a time.
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
	loan.anchor = anchor{at: now, reading: clock}
}

// outlook is what a lender with a part of the limit can likely lend, and how
// full its share likely is. Of what the pool has on loan from it, needed has not
// been spent.
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
