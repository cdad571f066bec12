package quota

import (
	"testing"
	"time"
)

const shortTerm = 400 * time.Millisecond

// newStock returns a stock with one loan that ends soon and one that lasts.
func newStock(now time.Time, soon, lasting float64) *stock {
	return &stock{free: soon + lasting, lots: map[string]*lot{
		"soon":    {held: soon, expires: now.Add(300 * time.Millisecond)},
		"lasting": {held: lasting, expires: now.Add(900 * time.Millisecond)},
	}}
}

// TestLoansBackGrantsUntilTheyEnd spends one loan on a waiting request. The
// other one stays whole, since the first one outlasts that grant.
func TestLoansBackGrantsUntilTheyEnd(t *testing.T) {
	now := time.Now()
	s := newStock(now, 60, 100)
	s.answer(now, 1, &TokenRequest{Want: 60}, true, shortTerm)
	if got := s.grantable(now, shortTerm); got != 100 {
		t.Errorf("%.0f tokens may be granted for the term, want 100", got)
	}
	if got := s.needed(s.lots["lasting"], now, shortTerm); got != 100 {
		t.Errorf("%.0f of the lasting loan are unspent, want 100", got)
	}
	later := now.Add(300 * time.Millisecond)
	s.expire(later)
	s.trim(later)
	if s.free != 100 {
		t.Errorf("%.0f free tokens after the first loan ended, want 100", s.free)
	}
}

// TestNoGrantOutlastsItsLoan asks for more than the lasting loan backs.
func TestNoGrantOutlastsItsLoan(t *testing.T) {
	now := time.Now()
	s := newStock(now, 60, 100)
	answer := s.answer(now, 1, &TokenRequest{Extra: 1000}, true, shortTerm)
	if answer.Granted > 100 {
		t.Errorf("%d tokens granted for the term, at most 100 are lent for it", answer.Granted)
	}
	if again := s.answer(now, 2, &TokenRequest{Want: 161 - answer.Granted}, true, shortTerm); again.Granted > 0 {
		t.Errorf("%d tokens granted beyond the loans", again.Granted)
	}
}

// TestEndedHoldingIsNotRenewed answers a router whose holding ended while the
// pool borrowed for it. The pool counts it as spent, so the router must drop it.
func TestEndedHoldingIsNotRenewed(t *testing.T) {
	now := time.Now()
	s := newStock(now, 60, 100)
	answer := s.answer(now, 1, &TokenRequest{Extra: 40}, true, shortTerm)
	_, known, _ := s.grants.report(now, 1, &TokenRequest{Seq: 1, Holding: answer.Granted})
	ended := now.Add(shortTerm)
	if s.answer(ended, 1, &TokenRequest{Holding: answer.Granted}, known, shortTerm).Renewed {
		t.Error("a holding that the pool has counted as spent was renewed")
	}
}
