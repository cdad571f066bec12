package quota

import "time"

// holderMemory is how long a holder's last sequence number is remembered.
const holderMemory = 2 * time.Minute

// holder is what one borrower may have unspent.
type holder struct {
	outstanding float64
	expires     time.Time
	// brief is what the borrower must spend at once.
	brief        float64
	briefExpires time.Time
	lastSeq      uint64
	seen         time.Time
}

// ledger is the issuer's account of what its borrowers may still spend.
// outstanding is never less than what a borrower has unspent within its term.
type ledger struct {
	holders map[uint64]*holder
}

// holder returns the account of a borrower.
func (l *ledger) holder(borrower uint64) *holder {
	if l.holders == nil {
		l.holders = make(map[uint64]*holder)
	}
	found := l.holders[borrower]
	if found == nil {
		found = new(holder)
		l.holders[borrower] = found
	}
	return found
}

// total returns what all borrowers may still spend, and forgets what is over.
func (l *ledger) total(now time.Time) float64 {
	var sum float64
	for borrower, h := range l.holders {
		h.expire(now)
		if h.outstanding+h.brief == 0 && now.Sub(h.seen) > holderMemory {
			delete(l.holders, borrower)
		}
		sum += h.outstanding + h.brief
	}
	return sum
}

// at returns what all borrowers may still spend at a time that is not past.
func (l *ledger) at(at time.Time) float64 {
	var sum float64
	for _, h := range l.holders {
		if at.Before(h.expires) {
			sum += h.outstanding
		}
		if at.Before(h.briefExpires) {
			sum += h.brief
		}
	}
	return sum
}

// lasting is total without what must be spent at once.
func (l *ledger) lasting(now time.Time) float64 {
	var sum float64
	for _, h := range l.holders {
		h.expire(now)
		sum += h.outstanding
	}
	return sum
}

// report takes in what a borrower says it keeps and gives back. It returns the
// tokens that come back, whether all of the holding is known, and whether the
// ask is new; nothing changes if it is not.
func (l *ledger) report(now time.Time, borrower uint64, ask *TokenRequest) (returned float64, known, fresh bool) {
	h := l.holder(borrower)
	if ask.Seq <= h.lastSeq {
		return 0, false, false
	}
	h.lastSeq = ask.Seq
	h.seen = now
	h.expire(now)
	unspent := h.outstanding + h.brief
	holding := max(0, float64(ask.Holding))
	known = holding <= h.outstanding
	h.outstanding = min(holding, h.outstanding)
	h.brief = 0
	returned = min(max(0, float64(ask.Returned)), unspent-h.outstanding)
	return returned, known, true
}

// expire forgets the tokens whose term is over.
func (h *holder) expire(now time.Time) {
	if !now.Before(h.expires) {
		h.outstanding = 0
	}
	if !now.Before(h.briefExpires) {
		h.brief = 0
	}
}

// issue adds tokens to a borrower's account and starts its term anew.
func (l *ledger) issue(now time.Time, borrower uint64, tokens float64, term time.Duration) {
	h := l.holder(borrower)
	h.outstanding += tokens
	h.expires = now.Add(term)
	h.seen = now
}

// issueBrief adds tokens that the borrower spends at once or not at all.
func (l *ledger) issueBrief(now time.Time, borrower uint64, tokens float64) {
	h := l.holder(borrower)
	h.brief += tokens
	h.briefExpires = now.Add(spendTerm)
	h.seen = now
}
