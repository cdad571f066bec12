package retry

import "testing"

// However gateways come and go, repeats stay within the ratio and the slack.
func TestAllowanceBoundsRepeats(t *testing.T) {
	const requests, ratio, slack = 1000, 0.2, 10.0
	a := NewAllowance(ratio, slack)
	spent := 0
	for range requests {
		a.Earn("p")
		for range 3 {
			if a.Spend("p") {
				spent++
			}
		}
	}
	if most := int(requests*ratio + slack); spent > most || spent < most-2 {
		t.Errorf("%d repeats, want %d", spent, most)
	}
	if a.Spend("p") {
		t.Error("one more was allowed")
	}
	if !a.Spend("other") {
		t.Error("another pool has none")
	}
}

func TestSmallerSlackBindsAtOnce(t *testing.T) {
	a := NewAllowance(0.2, 10)
	a.Earn("p")
	a.SetSlack(2)
	count := 0
	for a.Spend("p") {
		count++
	}
	if count != 2 {
		t.Errorf("%d repeats, want 2", count)
	}
}
