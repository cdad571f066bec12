package quota

import (
	"math"
	"time"

	"github.com/greengagegate/greengagegate/internal/invariant"
)

// lentExcept returns how many tokens are still on loan at a time, not counting
// the excluded loan. excluded may be nil. The caller holds a.mu.
func (a *poolAccount) lentExcept(excluded *loanState, at time.Time) float64 {
	var sum float64
	for _, loan := range a.loans {
		if loan != excluded && at.Before(loan.expires) {
			sum += loan.unspent
		}
	}
	return sum
}

// forEachExpiry calls visit for now and for each expiry of a loan after now and
// before until. Between these times the lent tokens do not decrease and the
// granted tokens do not increase, so a minimum or maximum over the period
// occurs at one of them. The caller holds a.mu.
func (a *poolAccount) forEachExpiry(now, until time.Time, visit func(at time.Time)) {
	visit(now)
	for _, loan := range a.loans {
		if loan.unspent > 0 && now.Before(loan.expires) && loan.expires.Before(until) {
			visit(loan.expires)
		}
	}
}

// headroom returns the smallest number of tokens by which loans exceed grants
// at any time between now and until. It is negative when grants are not
// covered. The caller holds a.mu.
func (a *poolAccount) headroom(now, until time.Time) float64 {
	headroom := math.Inf(1)
	a.forEachExpiry(now, until, func(at time.Time) {
		headroom = min(headroom, a.lentExcept(nil, at)-a.grants.unspentAt(at))
	})
	return headroom
}

// grantable returns how many free tokens may be granted for a term. The caller
// holds a.mu.
func (a *poolAccount) grantable(now time.Time, term time.Duration) float64 {
	return max(0, min(a.free, a.headroom(now, now.Add(term))))
}

// unspentTokens returns how many tokens of a loan count as unspent: those
// without which free tokens and grants would not be backed, after all other
// loans have been counted. The rest of the loan counts as spent. Free tokens
// need no backing after grantTerm. The caller holds a.mu.
func (a *poolAccount) unspentTokens(loan *loanState, now time.Time, grantTerm time.Duration) float64 {
	var required float64
	free := a.free
	a.forEachExpiry(now, loan.expires, func(at time.Time) {
		if at.Sub(now) >= grantTerm {
			free = 0
		}
		required = max(required, free+a.grants.unspentAt(at)-a.lentExcept(loan, at))
	})
	return min(loan.unspent, required)
}

// renewHolding extends the term of a router's holding to end one term from now.
// It reports false, and leaves the term as it is, if the holding has expired or
// the loans do not cover it for that long. The caller holds a.mu.
func (a *poolAccount) renewHolding(now time.Time, borrowerID uint64, holding int64, term time.Duration) bool {
	b := a.grants.borrower(borrowerID)
	b.expire(now)
	if holding > 0 && b.held == 0 {
		return false
	}
	previous := b.expires
	b.expires = now.Add(term)
	if b.held > 0 && a.headroom(now, b.expires) < 0 {
		b.expires = previous
		return false
	}
	return true
}

// lentBeyondGrant returns the tokens of loans, not counting the excluded one,
// that last at least as long as a grant given now. The caller holds a.mu.
func (a *poolAccount) lentBeyondGrant(excluded *loanState, now time.Time, grantTerm time.Duration) float64 {
	var sum float64
	for _, loan := range a.loans {
		if loan != excluded && loan.expires.Sub(now) >= grantTerm {
			sum += loan.unspent
		}
	}
	return sum
}

// dropUnbacked discards free tokens that no loan backs any more. The caller
// holds a.mu.
func (a *poolAccount) dropUnbacked(now time.Time) {
	a.free = a.grantable(now, 0)
}

// checkInvariants checks that the free tokens are not negative and that loans
// back them. The caller holds a.mu.
func (a *poolAccount) checkInvariants(now time.Time) {
	invariant.Check(a.free >= 0, "quota.pool_negative", "free %f", a.free)
	invariant.Check(a.free <= roundingTolerance || a.free <= a.headroom(now, now)+roundingTolerance,
		"quota.pool_above_loans", "free %f, granted %f, lent %f", a.free, a.grants.unspentAt(now), a.lentExcept(nil, now))
}
