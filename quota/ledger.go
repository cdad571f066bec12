package quota

import "time"

// holderMemory is how long a holder's last sequence number is remembered.
const holderMemory = 2 * time.Minute

// holder is what one borrower may have unspent.
type holder struct {
	outstanding float64
	expires     time.Time
	lastSeq     uint64
	seen        time.Time
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
		if !now.Before(h.expires) {
			h.outstanding = 0
		}
		if h.outstanding == 0 && now.Sub(h.seen) > holderMemory {
			delete(l.holders, borrower)
		}
		sum += h.outstanding
	}
	return sum
}

// report takes in what a borrower says it keeps and gives back. It returns the
// tokens that come back, whether all of the holding is known, and whether the
// ask is new; nothing changes if it is not.
func (l *ledger) report(now time.Time, borrower uint64, ask *Ask) (returned float64, known, fresh bool) {
	h := l.holder(borrower)
	if ask.Seq <= h.lastSeq {
		return 0, false, false
	}
	h.lastSeq = ask.Seq
	h.seen = now
	if !now.Before(h.expires) {
		h.outstanding = 0
	}
	holding := max(0, float64(ask.Holding))
	known = holding <= h.outstanding
	kept := min(holding, h.outstanding)
	returned = min(max(0, float64(ask.Returned)), h.outstanding-kept)
	h.outstanding = kept
	return returned, known, true
}

// issue adds tokens to a borrower's account and starts its term anew.
func (l *ledger) issue(borrower uint64, tokens float64, expires time.Time) {
	h := l.holder(borrower)
	h.outstanding += tokens
	if expires.After(h.expires) {
		h.expires = expires
	}
}
