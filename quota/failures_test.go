package quota_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/greengagegate/greengagegate/quota"
)

// failure is a run with a fault, after which the customer must not have been
// admitted too much and must be admitted again.
type failureCase struct {
	name  string
	fault func(f *fleet)
	// drift is how much m0's clock is fast and m1's slow.
	clockDrift float64
}

func failureCases() []failureCase {
	return []failureCase{
		{name: "partition between lender and pool", fault: func(f *fleet) {
			f.setPartitioned("m0", "m1", true)
			time.Sleep(4 * time.Second)
			f.setPartitioned("m0", "m1", false)
		}},
		{name: "two pools at once", fault: func(f *fleet) {
			// Each of m0 and m1 takes the other for dead and asks m2 for its share.
			f.setPartitioned("m0", "m1", true)
			time.Sleep(6 * time.Second)
			f.setPartitioned("m0", "m1", false)
		}},
		{name: "pool and lenders paused in turn across a term", fault: func(f *fleet) {
			for i := range f.order {
				f.at(i).pause(2 * quota.DefaultLoanTerm)
				time.Sleep(3 * quota.DefaultLoanTerm)
			}
		}},
		{name: "crash with loans out", fault: func(f *fleet) {
			for i := range f.order {
				f.endAndRestart(f.at(i), false, 100*time.Millisecond)
				time.Sleep(time.Second)
			}
		}},
		{name: "herd of restarts", fault: func(f *fleet) {
			for i := range f.order {
				f.at(i).crash()
			}
			for i := range f.order {
				f.at(i).restart()
			}
			f.updateMembership()
		}},
		{name: "slot reclaimed by another host", fault: func(f *fleet) {
			f.at(2).crash()
			f.reassignSlots(f.at(2), f.at(0))
			f.updateMembership()
		}},
		{name: "duplicate, delayed and lost messages", fault: func(f *fleet) {
			f.mu.Lock()
			f.loss, f.duplication = 0.05, 0.5
			f.mu.Unlock()
			time.Sleep(10 * time.Second)
			f.mu.Lock()
			f.loss, f.duplication = 0, 0
			f.mu.Unlock()
		}},
		{name: "one clock 1% fast, one 1% slow", clockDrift: 0.01, fault: func(*fleet) { time.Sleep(10 * time.Second) }},
	}
}

// reclaim gives the slots of a lost member to another one.
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
					c.fault(f)
					close(faultDone)
				}()
				// Five times the rate spends every token that is anywhere.
				sendLoad(f, checker, testCustomer, 1, 5, 500, 25*time.Second)
				<-faultDone
				checker.verify()
				time.Sleep(5 * time.Second)
				afterFault := newLimitChecker(t, limit)
				sendLoad(f, afterFault, testCustomer, 2, 0.8, 500, 10*time.Second)
				if afterFault.refused > 0 {
					t.Errorf("%d of %d requests were refused after the fault", afterFault.refused, afterFault.requests)
				}
			})
		})
	}
}

// TestLoweredLimitTakesBackWhatIsLent lowers a limit while its tokens are lent.
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
		checker.endLimitChange(lowered)
		time.Sleep(6 * time.Second)
		checker.verify()
	})
}

// TestSlotsChangedAtDifferentTimes changes the number of slots while members
// learn of it one after another.
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

// TestRefundNeverRaisesAWindow settles requests for less than they reserved, and
// judges by what was used.
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
			t.Errorf("reserved %d tokens in all, so little was returned (rate and burst give %.0f)", admitted, gross)
		}
	})
}

// TestOverloadedCustomerCostsOthersNothing sends one customer at many times its
// rate. Another one waits no longer for it, and the calls for the first one do
// not grow with its load.
func TestOverloadedCustomerDoesNotAffectOthers(t *testing.T) {
	at20 := measureOverload(t, 20)
	at80 := measureOverload(t, 80)
	if float64(at80) > 1.25*float64(at20) {
		t.Errorf("%d calls at 80 times the rate, %d at 20 times", at80, at20)
	}
}

func measureOverload(t *testing.T, factor float64) (calls int64) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1, 3, 3)
		limit := quota.Limit{Rate: 10_000, Burst: 100_000}
		normalCustomer := quota.IDOf("press")
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
		t.Logf("%d requests at %.0f times the rate, %d calls in all, the other customer waited %v on average",
			overloaded.requests, factor, calls, normal.waited/time.Duration(normal.requests))
		if normal.refused > 0 {
			t.Errorf("%d requests of the other customer were refused", normal.refused)
		}
	})
	return calls
}

// TestPoolDeath measures how soon a customer is granted tokens again after its
// pool has crashed, and what was lost with it.
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
					t.Fatal("nothing was granted within 2 s")
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
			t.Logf("m%d crashed: granted again after %v, %.0f of %.0f tokens lost", i, recovered, available-admitted, available)
			f.at(i).restart()
			f.updateMembership()
			time.Sleep(15 * time.Second)
		}
	})
}
