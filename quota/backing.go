package quota

import (
	"math"
	"time"

	"github.com/greengagegate/greengagegate/internal/invariant"
)

// lent is what lots that have not ended at a time hold, without one lot.
func (s *stock) lent(but *lot, at time.Time) float64 {
	var sum float64
	for _, lot := range s.lots {
		if lot != but && at.Before(lot.expires) {
			sum += lot.held
		}
	}
	return sum
}

// instants calls visit for now and for each end of a lot before a time. Between
// these, what is lent does not shrink and what is granted does not grow.
func (s *stock) instants(now, until time.Time, visit func(at time.Time)) {
	visit(now)
	for _, lot := range s.lots {
		if lot.held > 0 && now.Before(lot.expires) && lot.expires.Before(until) {
			visit(lot.expires)
		}
	}
}

// headroom is how many tokens lots back, from now until a time, beyond the grants.
func (s *stock) headroom(now, until time.Time) float64 {
	least := math.Inf(1)
	s.instants(now, until, func(at time.Time) {
		least = min(least, s.lent(nil, at)-s.grants.at(at))
	})
	return least
}

// grantable is how many free tokens may be granted for a term.
func (s *stock) grantable(now time.Time, term time.Duration) float64 {
	return max(0, min(s.free, s.headroom(now, now.Add(term))))
}

// needed is the part of a lot that free tokens and grants still need, given
// that other lots back them as far as they can. The rest has been spent.
func (s *stock) needed(l *lot, now time.Time, grantTerm time.Duration) float64 {
	var most float64
	free := s.free
	s.instants(now, l.expires, func(at time.Time) {
		if at.Sub(now) >= grantTerm {
			free = 0
		}
		most = max(most, free+s.grants.at(at)-s.lent(l, at))
	})
	return min(l.held, most)
}

// renew extends a router's holding to a term from now if it has not ended, and
// lots back it for so long.
func (s *stock) renew(now time.Time, borrower uint64, holding int64, term time.Duration) bool {
	h := s.grants.holder(borrower)
	h.expire(now)
	if holding > 0 && h.outstanding == 0 {
		return false
	}
	former := h.expires
	h.expires = now.Add(term)
	if h.outstanding > 0 && s.headroom(now, h.expires) < 0 {
		h.expires = former
		return false
	}
	return true
}

// lasting is the sum of the lots, without one, that outlast a grant given now.
func (s *stock) lasting(but *lot, now time.Time, grantTerm time.Duration) float64 {
	var sum float64
	for _, lot := range s.lots {
		if lot != but && lot.expires.Sub(now) >= grantTerm {
			sum += lot.held
		}
	}
	return sum
}

// trim drops free tokens that no lot backs any more.
func (s *stock) trim(now time.Time) {
	s.free = s.grantable(now, 0)
}

func (s *stock) check(now time.Time) {
	invariant.Check(s.free >= 0, "quota.pool_negative", "free %f", s.free)
	invariant.Check(s.free <= slack || s.free <= s.headroom(now, now)+slack,
		"quota.pool_above_loans", "free %f, granted %f, lent %f", s.free, s.grants.at(now), s.lent(nil, now))
}
