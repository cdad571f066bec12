package retry

import "testing"

// A pool whose requests all fail could multiply its own load. Retries must stay
// within the ratio plus the slack, and pools must not share a balance.
func TestSharedBudgetBoundsRetries(t *testing.T) {
	const requests, ratio, slack = 1000, 0.2, 10.0
	b := NewSharedBudget(ratio, slack)
	retries := 0
	for range requests {
		b.Earn("p")
		for range 3 {
			if b.Spend("p") {
				retries++
			}
		}
	}
	if maxRetries := int(requests*ratio + slack); retries > maxRetries || retries < maxRetries-2 {
		t.Errorf("%d retries were allowed, want %d", retries, maxRetries)
	}
	if b.Spend("p") {
		t.Error("a spent budget allowed another retry")
	}
	if !b.Spend("other") {
		t.Error("one pool spent the budget of another")
	}
}

// When more gateways start, each one's part of the slack shrinks. A balance from
// before must not exceed the new part.
func TestSmallerSlackLimitsExistingBalances(t *testing.T) {
	b := NewSharedBudget(0.2, 10)
	b.Earn("p")
	b.SetSlack(2)
	retries := 0
	for b.Spend("p") {
		retries++
	}
	if retries != 2 {
		t.Errorf("%d retries were allowed, want 2", retries)
	}
}
