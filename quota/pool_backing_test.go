package quota

import (
	"testing"
	"time"
)

// testGrantTerm is the grant term in these tests.
const testGrantTerm = 400 * time.Millisecond

// newTestAccount returns an account with one loan that ends after 300 ms and
// one that ends after 900 ms, all of whose tokens are free.
func newTestAccount(now time.Time, shortLived, longLived float64) *poolAccount {
	return &poolAccount{free: shortLived + longLived, loans: map[string]*loanState{
		"soon":    {unspent: shortLived, expires: now.Add(300 * time.Millisecond)},
		"lasting": {unspent: longLived, expires: now.Add(900 * time.Millisecond)},
	}}
}

// TestShortGrantUsesShortLivedLoan guards against backing a grant with a loan
// that is still needed for longer. A waiting request takes as many tokens as
// the short-lived loan has. Wanted tokens are granted for spendTerm only, which
// the short-lived loan outlasts, so the long-lived loan must stay unspent.
func TestShortGrantUsesShortLivedLoan(t *testing.T) {
	now := time.Now()
	a := newTestAccount(now, 60, 100)
	a.grant(now, 1, &TokenRequest{Want: 60}, true, testGrantTerm)
	if got := a.grantable(now, testGrantTerm); got != 100 {
		t.Errorf("%.0f tokens may be granted for the term, want 100", got)
	}
	if got := a.unspentTokens(a.loans["lasting"], now, testGrantTerm); got != 100 {
		t.Errorf("%.0f tokens of the long-lived loan are unspent, want 100", got)
	}
	later := now.Add(300 * time.Millisecond)
	a.expireLoans(later)
	a.dropUnbacked(later)
	if a.free != 100 {
		t.Errorf("%.0f free tokens after the short-lived loan ended, want 100", a.free)
	}
}

// TestGrantDoesNotOutlastLoan guards against grants whose term ends after that
// of the loans behind them. It requests more extra tokens than the long-lived
// loan backs.
func TestGrantDoesNotOutlastLoan(t *testing.T) {
	now := time.Now()
	a := newTestAccount(now, 60, 100)
	reply := a.grant(now, 1, &TokenRequest{Extra: 1000}, true, testGrantTerm)
	if reply.Granted > 100 {
		t.Errorf("%d tokens granted for the term, want at most the 100 that are lent for it", reply.Granted)
	}
	if second := a.grant(now, 2, &TokenRequest{Want: 161 - reply.Granted}, true, testGrantTerm); second.Granted > 0 {
		t.Errorf("%d tokens granted that no loan backs, want none", second.Granted)
	}
}

// TestExpiredHoldingIsNotRenewed guards against renewing a holding that expired
// while the pool borrowed tokens for the router. The pool already counts the
// holding as spent, so the router must drop it.
func TestExpiredHoldingIsNotRenewed(t *testing.T) {
	now := time.Now()
	a := newTestAccount(now, 60, 100)
	reply := a.grant(now, 1, &TokenRequest{Extra: 40}, true, testGrantTerm)
	_, holdingKnown, _ := a.grants.applyReport(now, 1, &TokenRequest{Seq: 1, Holding: reply.Granted})
	expiry := now.Add(testGrantTerm)
	if a.grant(expiry, 1, &TokenRequest{Holding: reply.Granted}, holdingKnown, testGrantTerm).Renewed {
		t.Error("a holding that the pool has counted as spent was renewed")
	}
}
