package quota

import (
	"math"
	"time"

	"github.com/greengagegate/greengagegate/internal/invariant"
)

// lent is what lots that have not ended at a time hold, without one lot.
func (a *poolAccount) lentExcept(excluded *loanState, at time.Time) float64 {
	var sum float64
	for _, loan := range a.loans {
		if loan != excluded && at.Before(loan.expires) {
			sum += loan.outstanding
		}
	}
	return sum
}

// instants calls visit for now and for each end of a lot before a time. Between
// these, what is lent does not shrink and what is granted does not grow.
func (a *poolAccount) forEachExpiry(now, until time.Time, visit func(at time.Time)) {
	visit(now)
	for _, loan := range a.loans {
		if loan.outstanding > 0 && now.Before(loan.expires) && loan.expires.Before(until) {
			visit(loan.expires)
		}
	}
}

// headroom is how many tokens lots back, from now until a time, beyond the grants.
func (a *poolAccount) headroom(now, until time.Time) float64 {
	headroom := math.Inf(1)
	a.forEachExpiry(now, until, func(at time.Time) {
		headroom = min(headroom, a.lentExcept(nil, at)-a.grants.unspentAt(at))
	})
	return headroom
}

// grantable is how many free tokens may be granted for a term.
func (a *poolAccount) grantable(now time.Time, term time.Duration) float64 {
	return max(0, min(a.free, a.headroom(now, now.Add(term))))
}

// needed is the part of a lot that free tokens and grants still need, given
// that other lots back them as far as they can. The rest has been spent.
func (a *poolAccount) requiredBacking(loan *loanState, now time.Time, grantTerm time.Duration) float64 {
	var required float64
	free := a.free
	a.forEachExpiry(now, loan.expires, func(at time.Time) {
		if at.Sub(now) >= grantTerm {
			free = 0
		}
		required = max(required, free+a.grants.unspentAt(at)-a.lentExcept(loan, at))
	})
	return min(loan.outstanding, required)
}

// renew extends a router's holding to a term from now if it has not ended, and
// lots back it for so long.
func (a *poolAccount) renewHolding(now time.Time, borrowerID uint64, holding int64, term time.Duration) bool {
	b := a.grants.borrower(borrowerID)
	b.expire(now)
	if holding > 0 && b.outstanding == 0 {
		return false
	}
	previous := b.expires
	b.expires = now.Add(term)
	if b.outstanding > 0 && a.headroom(now, b.expires) < 0 {
		b.expires = previous
		return false
	}
	return true
}

// lasting is the sum of the lots, without one, that outlast a grant given now.
func (a *poolAccount) lentBeyondGrant(excluded *loanState, now time.Time, grantTerm time.Duration) float64 {
	var sum float64
	for _, loan := range a.loans {
		if loan != excluded && loan.expires.Sub(now) >= grantTerm {
			sum += loan.outstanding
		}
	}
	return sum
}

// trim drops free tokens that no lot backs any more.
func (a *poolAccount) dropUnbacked(now time.Time) {
	a.free = a.grantable(now, 0)
}

func (a *poolAccount) checkInvariants(now time.Time) {
	invariant.Check(a.free >= 0, "quota.pool_negative", "free %f", a.free)
	invariant.Check(a.free <= roundingTolerance || a.free <= a.headroom(now, now)+roundingTolerance,
		"quota.pool_above_loans", "free %f, granted %f, lent %f", a.free, a.grants.unspentAt(now), a.lentExcept(nil, now))
}
