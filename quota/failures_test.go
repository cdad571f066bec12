package quota_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/greengagegate/greengagegate/quota"
)

// failureCase is a fault to inject. No more than the limit may be admitted
// during the fault, and requests must be admitted again after it.
type failureCase struct {
	name   string
	inject func(f *fleet)
	// clockDrift is the fraction by which m0's clock runs fast and m1's clock
	// runs slow.
	clockDrift float64
}

func failureCases() []failureCase {
	return []failureCase{
		{name: "partition between lender and pool", inject: func(f *fleet) {
			f.setPartitioned("m0", "m1", true)
			time.Sleep(4 * time.Second)
			f.setPartitioned("m0", "m1", false)
		}},
		{name: "two pools at once", inject: func(f *fleet) {
			// m0 and m1 cannot reach each other, so each runs a pool of its own and borrows from m2.
			f.setPartitioned("m0", "m1", true)
			time.Sleep(6 * time.Second)
			f.setPartitioned("m0", "m1", false)
		}},
		{name: "pool and lenders paused in turn across a term", inject: func(f *fleet) {
			for i := range f.order {
				f.at(i).pause(2 * quota.DefaultLoanTerm)
				time.Sleep(3 * quota.DefaultLoanTerm)
			}
		}},
		{name: "crash with outstanding loans", inject: func(f *fleet) {
			for i := range f.order {
				f.endAndRestart(f.at(i), false, 100*time.Millisecond)
				time.Sleep(time.Second)
			}
		}},
		{name: "all members restart at once", inject: func(f *fleet) {
			for i := range f.order {
				f.at(i).crash()
			}
			for i := range f.order {
				f.at(i).restart()
			}
			f.updateMembership()
		}},
		{name: "slot reclaimed by another member", inject: func(f *fleet) {
			f.at(2).crash()
			f.reassignSlots(f.at(2), f.at(0))
			f.updateMembership()
		}},
		{name: "duplicate, delayed and lost messages", inject: func(f *fleet) {
			f.mu.Lock()
			f.lossRate, f.duplicationRate = 0.05, 0.5
			f.mu.Unlock()
			time.Sleep(10 * time.Second)
			f.mu.Lock()
			f.lossRate, f.duplicationRate = 0, 0
			f.mu.Unlock()
		}},
		{name: "one clock 1% fast, one 1% slow", clockDrift: 0.01, inject: func(*fleet) { time.Sleep(10 * time.Second) }},
	}
}

// reassignSlots gives the slots of a crashed member to another member.
func (f *fleet) reassignSlots(from, to *member) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, slot := range from.slots {
		slot.Epoch++
		slot.Since = to.now()
		slot.Unused = false
		to.slots = append(to.slots, slot)
		f.holders[slot.Index] = to.address
	}
	from.slots = nil
}

// TestLimitHoldsAndRequestsAreAdmittedAfterFailures guards against admitting
// more than the limit during a fault and against refusing requests at 80% of
// the rate 5 s after it.
func TestLimitHoldsAndRequestsAreAdmittedAfterFailures(t *testing.T) {
	for _, c := range failureCases() {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(1, 3, 3)
				f.at(0).clockSpeed, f.at(1).clockSpeed = 1+c.clockDrift, 1-c.clockDrift
				limit := quota.Limit{Rate: 10_000, Burst: 20_000}
				f.config.set(testCustomer, limit)
				f.startAll()
				defer f.stopAll()
				checker := newLimitChecker(t, limit)
				faultDone := make(chan struct{})
				go func() {
					time.Sleep(2 * time.Second)
					c.inject(f)
					close(faultDone)
				}()
				// Load at five times the rate spends every available token.
				sendLoad(f, checker, testCustomer, 1, 5, 500, 25*time.Second)
				<-faultDone
				checker.verify()
				time.Sleep(5 * time.Second)
				afterFault := newLimitChecker(t, limit)
				sendLoad(f, afterFault, testCustomer, 2, 0.8, 500, 10*time.Second)
				if afterFault.refused > 0 {
					t.Errorf("%d of %d requests refused after the fault, want none", afterFault.refused, afterFault.requests)
				}
			})
		})
	}
}

// TestLoweredLimitAppliesAfterLoansExpire guards against spending under the old
// limit after it was lowered. Tokens are on loan at the time of the change, so
// the new limit applies once their term is over.
func TestLoweredLimitAppliesAfterLoansExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1, 3, 3)
		f.config.set(testCustomer, quota.Limit{Rate: 10_000, Burst: 40_000})
		f.startAll()
		defer f.stopAll()
		checker := newLimitChecker(t, quota.Limit{Rate: 10_000, Burst: 40_000})
		go sendLoad(f, checker, testCustomer, 3, 3, 500, 8*time.Second)
		time.Sleep(4 * time.Second)
		lowered := quota.Limit{Rate: 1000, Burst: 4000}
		f.config.set(testCustomer, lowered)
		time.Sleep(quota.DefaultLoanTerm + 100*time.Millisecond)
		// The checker has allowed the old, larger limit until now.
		checker.endLimitChange(lowered)
		time.Sleep(6 * time.Second)
		checker.verify()
	})
}

// TestSlotCountChangesAtDifferentTimes guards against over-admission while the
// number of slots changes. Members learn of the new number one after another
// and meanwhile compute different shares.
func TestSlotCountChangesAtDifferentTimes(t *testing.T) {
	for _, slots := range [][2]int{{3, 6}, {6, 3}, {2, 3}, {3, 2}} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(1, 3, max(slots[0], slots[1]))
			f.config.slots = slots[0]
			limit := quota.Limit{Rate: 10_000, Burst: 20_000}
			f.config.set(testCustomer, limit)
			f.separateConfigs()
			f.startAll()
			defer f.stopAll()
			checker := newLimitChecker(t, limit)
			go func() {
				for i := range f.order {
					time.Sleep(3 * time.Second)
					config := f.at(i).config
					config.mu.Lock()
					config.slots = slots[1]
					config.revision++
					config.mu.Unlock()
				}
			}()
			sendLoad(f, checker, testCustomer, 4, 3, 500, 40*time.Second)
			checker.verify()
		})
	}
}

// TestRefundsNeverExceedLimit guards against refunds that admit more than the
// limit in some window. Requests settle for fewer tokens than they were admitted with, and the
// check counts the tokens used.
func TestRefundsNeverExceedLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1, 3, 3)
		limit := quota.Limit{Rate: 1000, Burst: 10_000}
		f.config.set(testCustomer, limit)
		f.startAll()
		defer f.stopAll()
		time.Sleep(time.Second)
		checker := newLimitChecker(t, limit)
		var admitted, used int64
		for i := range 400 {
			ticket := checker.admit(f.at(i%3), testCustomer, 1000)
			if ticket != nil {
				admitted += 1000
				used += 400
				checker.correctUse(1000, 400)
				go func() {
					time.Sleep(time.Duration(i%7) * 300 * time.Millisecond)
					ticket.Settle(400)
				}()
			}
			time.Sleep(100 * time.Millisecond)
		}
		checker.verify()
		seconds := 40.0
		if gross := limit.Rate*seconds + limit.Burst; float64(admitted) < 1.2*gross {
			t.Errorf("admitted requests of %d tokens in total, too few for refunds to have had an effect (rate and burst alone give %.0f)", admitted, gross)
		}
	})
}

// TestOverloadedCustomerDoesNotAffectOthers guards against one customer's
// overload causing refusals for another customer, and against calls that grow
// with the overload. The same test runs at 20 and at 80 times the rate.
func TestOverloadedCustomerDoesNotAffectOthers(t *testing.T) {
	at20 := measureOverload(t, 20)
	at80 := measureOverload(t, 80)
	if float64(at80) > 1.25*float64(at20) {
		t.Errorf("%d calls at 80 times the rate and %d at 20 times, want at most 1.25 times as many", at80, at20)
	}
}

// measureOverload sends one customer's requests at a multiple of its rate and
// another's at 90% of its rate, and returns the number of calls between
// members.
func measureOverload(t *testing.T, factor float64) (calls int64) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1, 3, 3)
		limit := quota.Limit{Rate: 10_000, Burst: 100_000}
		normalCustomer := quota.CustomerIDOf("press")
		f.config.set(testCustomer, limit)
		f.config.set(normalCustomer, limit)
		f.startAll()
		defer f.stopAll()
		time.Sleep(time.Second)
		overloaded, normal := newLimitChecker(t, limit), newLimitChecker(t, limit)
		go sendLoad(f, overloaded, testCustomer, 5, factor, 500, 20*time.Second)
		f.resetCounts()
		sendLoad(f, normal, normalCustomer, 6, 0.9, 500, 20*time.Second)
		time.Sleep(2 * time.Second)
		normal.verify()
		overloaded.verify()
		calls = f.calls()
		t.Logf("%d requests at %.0f times the rate, %d calls in total, the other customer waited %v on average",
			overloaded.requests, factor, calls, normal.totalWait/time.Duration(normal.requests))
		if normal.refused > 0 {
			t.Errorf("%d requests of the other customer refused, want none", normal.refused)
		}
	})
	return calls
}

// TestPoolCrash guards against a customer getting no tokens for more than 2 s
// after the crash of its pool. Each member crashes in turn, since any of them may
// run the pool. It also logs how long the recovery took and how
// many tokens were lost.
func TestPoolCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1, 3, 3)
		limit := quota.Limit{Rate: 10_000, Burst: 100_000}
		f.config.set(testCustomer, limit)
		f.startAll()
		defer f.stopAll()
		time.Sleep(time.Second)
		for i := range f.order {
			checker := newLimitChecker(t, limit)
			sendLoad(f, checker, testCustomer, uint64(i), 0.9, 500, 5*time.Second)
			f.at(i).crash()
			crashedAt := time.Now()
			other := f.at((i + 1) % 3)
			for checker.admit(other, testCustomer, 500) == nil {
				if time.Since(crashedAt) > 2*time.Second {
					t.Fatal("no request admitted within 2 s of the crash of a pool")
				}
			}
			recovered := time.Since(crashedAt)
			available := checker.admitted.level
			var admitted float64
			for {
				ticket := checker.admit(other, testCustomer, 500)
				if ticket == nil || ticket.Waited > 20*time.Millisecond {
					break
				}
				admitted += 500
			}
			t.Logf("m%d crashed: first request admitted after %v, %.0f of %.0f tokens lost", i, recovered, available-admitted, available)
			f.at(i).restart()
			f.updateMembership()
			time.Sleep(15 * time.Second)
		}
	})
}
