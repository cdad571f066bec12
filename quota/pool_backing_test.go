package quota

import (
	"testing"
	"time"
)

const testGrantTerm = 400 * time.Millisecond

// newStock returns a stock with one loan that ends soon and one that lasts.
func newTestAccount(now time.Time, shortLived, longLived float64) *poolAccount {
	return &poolAccount{free: shortLived + longLived, loans: map[string]*loanState{
		"soon":    {outstanding: shortLived, expires: now.Add(300 * time.Millisecond)},
		"lasting": {outstanding: longLived, expires: now.Add(900 * time.Millisecond)},
	}}
}

// TestLoansBackGrantsUntilTheyEnd spends one loan on a waiting request. The
// other one stays whole, since the first one outlasts that grant.
func TestLoansBackGrantsUntilExpiry(t *testing.T) {
	now := time.Now()
	a := newTestAccount(now, 60, 100)
	a.grant(now, 1, &TokenRequest{Want: 60}, true, testGrantTerm)
	if got := a.grantable(now, testGrantTerm); got != 100 {
		t.Errorf("%.0f tokens may be granted for the term, want 100", got)
	}
	if got := a.requiredBacking(a.loans["lasting"], now, testGrantTerm); got != 100 {
		t.Errorf("%.0f of the lasting loan are unspent, want 100", got)
	}
	later := now.Add(300 * time.Millisecond)
	a.expireLoans(later)
	a.dropUnbacked(later)
	if a.free != 100 {
		t.Errorf("%.0f free tokens after the first loan ended, want 100", a.free)
	}
}

// TestNoGrantOutlastsItsLoan asks for more than the lasting loan backs.
func TestGrantDoesNotOutlastLoan(t *testing.T) {
	now := time.Now()
	a := newTestAccount(now, 60, 100)
	answer := a.grant(now, 1, &TokenRequest{Extra: 1000}, true, testGrantTerm)
	if answer.Granted > 100 {
		t.Errorf("%d tokens granted for the term, at most 100 are lent for it", answer.Granted)
	}
	if again := a.grant(now, 2, &TokenRequest{Want: 161 - answer.Granted}, true, testGrantTerm); again.Granted > 0 {
		t.Errorf("%d tokens granted beyond the loans", again.Granted)
	}
}

// TestEndedHoldingIsNotRenewed answers a router whose holding ended while the
// pool borrowed for it. The pool counts it as spent, so the router must drop it.
func TestExpiredHoldingIsNotRenewed(t *testing.T) {
	now := time.Now()
	a := newTestAccount(now, 60, 100)
	answer := a.grant(now, 1, &TokenRequest{Extra: 40}, true, testGrantTerm)
	_, known, _ := a.grants.applyReport(now, 1, &TokenRequest{Seq: 1, Holding: answer.Granted})
	ended := now.Add(testGrantTerm)
	if a.grant(ended, 1, &TokenRequest{Holding: answer.Granted}, known, testGrantTerm).Renewed {
		t.Error("a holding that the pool has counted as spent was renewed")
	}
}
