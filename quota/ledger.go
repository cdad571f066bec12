package quota

import "time"

// holderMemory is how long a holder's last sequence number is remembered.
const borrowerTTL = 2 * time.Minute

// holder is what one borrower may have unspent.
type borrowerAccount struct {
	outstanding float64
	expires     time.Time
	// brief is what the borrower must spend at once.
	immediate        float64
	immediateExpires time.Time
	lastSeq          uint64
	lastSeenAt       time.Time
}

// ledger is the issuer's account of what its borrowers may still spend.
// outstanding is never less than what a borrower has unspent within its term.
type ledger struct {
	borrowers map[uint64]*borrowerAccount
}

// holder returns the account of a borrower.
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

// total returns what all borrowers may still spend, and forgets what is over.
func (l *ledger) totalUnspent(now time.Time) float64 {
	var sum float64
	for id, b := range l.borrowers {
		b.expire(now)
		if b.outstanding+b.immediate == 0 && now.Sub(b.lastSeenAt) > borrowerTTL {
			delete(l.borrowers, id)
		}
		sum += b.outstanding + b.immediate
	}
	return sum
}

// at returns what all borrowers may still spend at a time that is not past.
func (l *ledger) unspentAt(at time.Time) float64 {
	var sum float64
	for _, b := range l.borrowers {
		if at.Before(b.expires) {
			sum += b.outstanding
		}
		if at.Before(b.immediateExpires) {
			sum += b.immediate
		}
	}
	return sum
}

// lasting is total without what must be spent at once.
func (l *ledger) totalOutstanding(now time.Time) float64 {
	var sum float64
	for _, b := range l.borrowers {
		b.expire(now)
		sum += b.outstanding
	}
	return sum
}

// report takes in what a borrower says it keeps and gives back. It returns the
// tokens that come back, whether all of the holding is known, and whether the
// ask is new; nothing changes if it is not.
func (l *ledger) applyReport(now time.Time, borrowerID uint64, request *TokenRequest) (returned float64, holdingKnown, isNew bool) {
	b := l.borrower(borrowerID)
	if request.Seq <= b.lastSeq {
		return 0, false, false
	}
	b.lastSeq = request.Seq
	b.lastSeenAt = now
	b.expire(now)
	unspent := b.outstanding + b.immediate
	holding := max(0, float64(request.Holding))
	holdingKnown = holding <= b.outstanding
	b.outstanding = min(holding, b.outstanding)
	b.immediate = 0
	returned = min(max(0, float64(request.Returned)), unspent-b.outstanding)
	return returned, holdingKnown, true
}

// expire forgets the tokens whose term is over.
func (b *borrowerAccount) expire(now time.Time) {
	if !now.Before(b.expires) {
		b.outstanding = 0
	}
	if !now.Before(b.immediateExpires) {
		b.immediate = 0
	}
}

// issue adds tokens to a borrower's account and starts its term anew.
func (l *ledger) issue(now time.Time, borrowerID uint64, tokens float64, term time.Duration) {
	b := l.borrower(borrowerID)
	b.outstanding += tokens
	b.expires = now.Add(term)
	b.lastSeenAt = now
}

// issueBrief adds tokens that the borrower spends at once or not at all.
func (l *ledger) issueImmediate(now time.Time, borrowerID uint64, tokens float64) {
	b := l.borrower(borrowerID)
	b.immediate += tokens
	b.immediateExpires = now.Add(spendTerm)
	b.lastSeenAt = now
}
