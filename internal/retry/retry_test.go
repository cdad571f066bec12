package retry

import (
	"testing"
	"testing/synctest"
	"time"
)

func TestBudgetBoundsRetriesByRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		budgets := NewBudgets("test")
		granted := 0
		for range 1000 {
			budgets.Earn("limon")
			for budgets.Spend("limon") {
				granted++
			}
		}
		limit := int(1000*earnedRetriesPerRequest + maxBalance)
		if granted > limit || granted < limit-2 {
			t.Fatalf("got %d retries for 1000 requests, want about %d", granted, limit)
		}
		if budgets.Spend("limon") {
			t.Fatal("an empty budget granted a retry")
		}
		if !budgets.Spend("letak") {
			t.Fatal("one name spent the budget of another")
		}
		time.Sleep(time.Second)
		if !budgets.Spend("limon") {
			t.Fatal("no retry was earned after a second without requests")
		}
	})
}

func TestBackoffIsBoundedAndJittered(t *testing.T) {
	seen := make(map[time.Duration]bool)
	for retry := range 40 {
		delay := Backoff(retry, 10*time.Millisecond, time.Second)
		if delay < 5*time.Millisecond || delay > time.Second {
			t.Fatalf("delay before retry %d is %v, want 5 ms to 1 s", retry, delay)
		}
		seen[delay] = true
	}
	if len(seen) < 20 {
		t.Fatalf("40 retries have only %d different delays, want at least 20", len(seen))
	}
}

func TestBreakerOpensProbesAndCloses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := new(Breaker)
		for range failuresToOpen {
			if ok, _ := b.Allow(); !ok {
				t.Fatal("breaker opened before failuresToOpen failures")
			}
			b.Failure()
		}
		ok, wait := b.Allow()
		if ok || wait <= 0 {
			t.Fatal("breaker stayed closed after failuresToOpen failures")
		}
		time.Sleep(wait)
		if ok, _ := b.Allow(); !ok {
			t.Fatal("breaker refused a probe after its pause")
		}
		if ok, _ := b.Allow(); ok {
			t.Fatal("breaker allowed two concurrent probes")
		}
		b.Failure()
		if ok, _ := b.Allow(); ok {
			t.Fatal("a failed probe closed the breaker")
		}
		time.Sleep(breakerMaxPause)
		if ok, _ := b.Allow(); !ok {
			t.Fatal("breaker refused another probe after the maximum pause")
		}
		b.Success()
		if ok, _ := b.Allow(); !ok || b.OpenFor() != 0 {
			t.Fatal("a successful probe did not close the breaker")
		}
	})
}
