package quota_test

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/greengagegate/greengagegate/quota"
)

var testCustomer = quota.CustomerIDOf("harbour")

// sendLoad sends requests of a customer to random members at a fraction of its
// rate, and returns when all have been answered.
func sendLoad(f *fleet, checker *limitChecker, id quota.CustomerID, seed uint64, fraction float64, tokens int64, duration time.Duration) {
	limit, _ := f.config.Limit(id)
	random := rand.New(rand.NewPCG(seed, 2))
	meanInterval := float64(tokens) / (fraction * limit.Rate)
	end := time.Now().Add(duration)
	answered := make(chan struct{})
	sent := 0
	for time.Now().Before(end) {
		time.Sleep(time.Duration(random.ExpFloat64() * meanInterval * float64(time.Second)))
		m := f.at(random.IntN(len(f.order)))
		if m.isStopped() {
			m = f.at(random.IntN(len(f.order)))
		}
		if m.isStopped() {
			continue
		}
		sent++
		cost := tokens/2 + random.Int64N(tokens)
		go func() {
			m.waitWhilePaused()
			if ticket := checker.admit(m, id, cost); ticket != nil {
				time.Sleep(100 * time.Millisecond)
				ticket.Settle(cost)
			}
			answered <- struct{}{}
		}()
	}
	for range sent {
		<-answered
	}
}

// TestNoWrongfulRefusalsAt95PercentWithoutFaults guards against wrongful refusals
// when the load is below the rate and nothing fails. They come about when tokens
// stay with routers or pools that do not need them.
func TestNoWrongfulRefusalsAt95PercentWithoutFaults(t *testing.T) {
	for _, size := range []int{3, 12} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(1, size, size)
			limit := quota.Limit{Rate: 10_000, Burst: 100_000}
			f.config.set(testCustomer, limit)
			f.startAll()
			defer f.stopAll()
			time.Sleep(time.Second)
			checker := newLimitChecker(t, limit)
			sendLoad(f, checker, testCustomer, 1, 0.95, 500, 2*time.Minute)
			checker.verify()
			t.Logf("%d members: %d requests, %d refused, %d wrongfully, %d although the bucket of admitted requests had the tokens, mean wait %v", size, checker.requests, checker.refused, checker.wrongful, checker.wrongfulByAdmitted, checker.totalWait/time.Duration(checker.requests))
			if checker.wrongful != 0 {
				t.Errorf("%d of %d requests refused wrongfully, want none", checker.wrongful, checker.requests)
			}
		})
	}
}

// TestLargeRequestBorrowsFromAllShares guards against refusing a request that
// no single share can serve. It needs 79% of the burst at once, which is spread
// over three shares.
func TestLargeRequestBorrowsFromAllShares(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1, 3, 3)
		limit := quota.Limit{Rate: 10, Burst: 10_000}
		f.config.set(testCustomer, limit)
		f.startAll()
		defer f.stopAll()
		time.Sleep(time.Second)
		checker := newLimitChecker(t, limit)
		for _, tokens := range []int64{7900, 500, 500, 500} {
			if checker.admit(f.at(0), testCustomer, tokens) == nil {
				t.Errorf("request of %d tokens refused, want admitted", tokens)
			}
		}
		if checker.admit(f.at(0), testCustomer, 1000) != nil {
			t.Error("more than the burst was admitted")
		}
		checker.verify()
	})
}

// TestRestOfBurstIsGrantedToOtherRouters guards against refusals of a
// customer's last tokens when its requests arrive at different routers. The
// tokens granted to the first router count as unspent, and keep lenders from
// lending the rest, until that router reports or its grant ends.
func TestRestOfBurstIsGrantedToOtherRouters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1, 3, 3)
		limit := quota.Limit{Rate: 1, Burst: 10_000}
		f.config.set(testCustomer, limit)
		f.startAll()
		defer f.stopAll()
		time.Sleep(time.Second)
		checker := newLimitChecker(t, limit)
		for i, tokens := range []int64{7500, 500, 500, 500, 500} {
			if checker.admit(f.at(i%3), testCustomer, tokens) == nil {
				t.Errorf("request %d of %d tokens refused, want admitted", i, tokens)
			}
		}
		if checker.admit(f.at(1), testCustomer, 1000) != nil {
			t.Error("more than the burst was admitted")
		}
		checker.verify()
	})
}
