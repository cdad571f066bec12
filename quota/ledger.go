package quota

import "time"

// borrowerTTL is how long the last sequence number of a borrower without tokens
// is kept.
const borrowerTTL = 2 * time.Minute

// borrowerAccount records the tokens that one borrower may still have unspent:
// the held tokens, which it may spend until expires, and the immediate ones.
type borrowerAccount struct {
	held    float64
	expires time.Time
	// immediate is the number of further tokens, granted for waiting requests,
	// that the borrower may spend until immediateExpires.
	immediate        float64
	immediateExpires time.Time
	lastSeq          uint64
	lastSeenAt       time.Time
}

// ledger is the lender's record of the tokens that its borrowers may still
// spend. A borrower's tokens in the ledger are never fewer than those it has
// unspent within their terms. Its owner's mutex guards it.
type ledger struct {
	borrowers map[uint64]*borrowerAccount
}

// borrower returns the account of a borrower and creates it if needed.
func (l *ledger) borrower(id uint64) *borrowerAccount {
	if l.borrowers == nil {
		l.borrowers = make(map[uint64]*borrowerAccount)
	}
	b := l.borrowers[id]
	if b == nil {
		b = new(borrowerAccount)
		l.borrowers[id] = b
	}
	return b
}

// totalUnspent returns how many tokens all borrowers may still spend. It
// removes accounts that have been empty and unused for longer than borrowerTTL.
func (l *ledger) totalUnspent(now time.Time) float64 {
	var sum float64
	for id, b := range l.borrowers {
		b.expire(now)
		if b.held+b.immediate == 0 && now.Sub(b.lastSeenAt) > borrowerTTL {
			delete(l.borrowers, id)
		}
		sum += b.held + b.immediate
	}
	return sum
}

// unspentAt returns how many tokens all borrowers may still spend at a time,
// which must not be in the past.
func (l *ledger) unspentAt(at time.Time) float64 {
	var sum float64
	for _, b := range l.borrowers {
		if at.Before(b.expires) {
			sum += b.held
		}
		if at.Before(b.immediateExpires) {
			sum += b.immediate
		}
	}
	return sum
}

// totalHeld returns how many tokens all borrowers may still spend, without
// immediate tokens.
func (l *ledger) totalHeld(now time.Time) float64 {
	var sum float64
	for _, b := range l.borrowers {
		b.expire(now)
		sum += b.held
	}
	return sum
}

// applyReport records how many tokens a borrower says it keeps and returns. It
// returns the number of tokens that come back, whether the borrower's whole
// holding is still recorded, and whether the request is new. A request that is
// not new changes nothing.
func (l *ledger) applyReport(now time.Time, borrowerID uint64, request *TokenRequest) (returned float64, holdingKnown, isNew bool) {
	b := l.borrower(borrowerID)
	if request.Seq <= b.lastSeq {
		return 0, false, false
	}
	b.lastSeq = request.Seq
	b.lastSeenAt = now
	b.expire(now)
	unspent := b.held + b.immediate
	holding := max(0, float64(request.Holding))
	holdingKnown = holding <= b.held
	b.held = min(holding, b.held)
	b.immediate = 0
	returned = min(max(0, float64(request.Returned)), unspent-b.held)
	return returned, holdingKnown, true
}

// expire clears the tokens whose term is over.
func (b *borrowerAccount) expire(now time.Time) {
	if !now.Before(b.expires) {
		b.held = 0
	}
	if !now.Before(b.immediateExpires) {
		b.immediate = 0
	}
}

// issue adds tokens to a borrower's account and restarts its term.
func (l *ledger) issue(now time.Time, borrowerID uint64, tokens float64, term time.Duration) {
	b := l.borrower(borrowerID)
	b.held += tokens
	b.expires = now.Add(term)
	b.lastSeenAt = now
}

// issueImmediate adds tokens that the borrower must spend within spendTerm or
// lose.
func (l *ledger) issueImmediate(now time.Time, borrowerID uint64, tokens float64) {
	b := l.borrower(borrowerID)
	b.immediate += tokens
	b.immediateExpires = now.Add(spendTerm)
	b.lastSeenAt = now
}
