package retry

import "testing"

// However gateways come and go, repeats stay within the ratio and the slack.
func TestAllowanceBoundsRepeats(t *testing.T) {
	const requests, ratio, slack = 1000, 0.2, 10.0
	b := NewSharedBudget(ratio, slack)
	spent := 0
	for range requests {
		b.Earn("p")
		for range 3 {
			if b.Spend("p") {
				spent++
			}
		}
	}
	if most := int(requests*ratio + slack); spent > most || spent < most-2 {
		t.Errorf("%d repeats, want %d", spent, most)
	}
	if b.Spend("p") {
		t.Error("one more was allowed")
	}
	if !b.Spend("other") {
		t.Error("another pool has none")
	}
}

func TestSmallerSlackBindsAtOnce(t *testing.T) {
	b := NewSharedBudget(0.2, 10)
	b.Earn("p")
	b.SetSlack(2)
	count := 0
	for b.Spend("p") {
		count++
	}
	if count != 2 {
		t.Errorf("%d repeats, want 2", count)
	}
}
