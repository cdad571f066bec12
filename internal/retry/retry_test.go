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
			budgets.Deposit("limon")
			for budgets.Withdraw("limon") {
				granted++
			}
		}
		limit := int(1000*depositPerRequest + maxBalance)
		if granted > limit || granted < limit-2 {
			t.Fatalf("got %d retries for 1000 requests, want about %d", granted, limit)
		}
		if budgets.Withdraw("limon") {
			t.Fatal("an empty budget granted a retry")
		}
		if !budgets.Withdraw("letak") {
			t.Fatal("one name spent the budget of another")
		}
		time.Sleep(time.Second)
		if !budgets.Withdraw("limon") {
			t.Fatal("nothing was earned by time")
		}
	})
}

func TestPauseIsBoundedAndSpread(t *testing.T) {
	seen := make(map[time.Duration]bool)
	for number := range 40 {
		pause := Backoff(number, 10*time.Millisecond, time.Second)
		if pause < 5*time.Millisecond || pause > time.Second {
			t.Fatalf("pause %d is %v", number, pause)
		}
		seen[pause] = true
	}
	if len(seen) < 20 {
		t.Fatalf("only %d different pauses", len(seen))
	}
}

func TestBreakerOpensProbesAndCloses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := new(Breaker)
		for range breakerFailures {
			if ok, _ := b.Allow(); !ok {
				t.Fatal("opened too early")
			}
			b.Failure()
		}
		ok, wait := b.Allow()
		if ok || wait <= 0 {
			t.Fatal("did not open")
		}
		time.Sleep(wait)
		if ok, _ := b.Allow(); !ok {
			t.Fatal("no probe after the pause")
		}
		if ok, _ := b.Allow(); ok {
			t.Fatal("two probes at once")
		}
		b.Failure()
		if ok, _ := b.Allow(); ok {
			t.Fatal("a failed probe closed the breaker")
		}
		time.Sleep(breakerMaxPause)
		if ok, _ := b.Allow(); !ok {
			t.Fatal("no second probe")
		}
		b.Success()
		if ok, _ := b.Allow(); !ok || b.OpenFor() != 0 {
			t.Fatal("a successful probe did not close the breaker")
		}
	})
}
