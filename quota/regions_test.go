package quota_test

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/greengagegate/greengagegate/quota"
)

const (
	regionsCutFor    = time.Hour
	regionsJoinedFor = 10 * time.Minute
)

// TestRegionsCutForAnHour guards against over-admission and against wrongful
// refusals that persist after a network partition between two regions has
// ended. During the partition each region's pool has only the shares of its own
// region, so refusals in that time are logged and not bounded.
func TestRegionsCutForAnHour(t *testing.T) {
	if testing.Short() {
		t.Skip("simulates more than one hour of virtual time")
	}
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(8, 6, 6, "r1", "r2")
		f.remoteDelay = 40 * time.Millisecond
		limit := quota.Limit{Rate: 10_000, Burst: 100_000}
		f.config.set(testCustomer, limit)
		f.startAll()
		defer f.stopAll()
		time.Sleep(time.Second)
		checker := newLimitChecker(t, limit)
		phase := func(name string, seed uint64, length time.Duration) (wrongful int) {
			before := checker.counts()
			// The requests of both regions together need 95% of the rate.
			sendLoad(f, checker, testCustomer, seed, 0.95, 1000, length)
			after := checker.counts()
			t.Logf("%s: %d requests, %d refused, %d wrongfully", name,
				after[0]-before[0], after[1]-before[1], after[2]-before[2])
			return after[2] - before[2]
		}
		phase("joined", 1, regionsJoinedFor)
		f.partitionRegions(true)
		phase("cut", 2, regionsCutFor)
		f.partitionRegions(false)
		phase("joined again, first 30 s", 3, 30*time.Second)
		if wrongful := phase("joined again", 4, regionsJoinedFor); wrongful > 0 {
			t.Errorf("%d requests refused wrongfully more than 30 s after the regions were joined again, want none", wrongful)
		}
		checker.verify()
	})
}

// TestRegionsOverloadedWhileCut guards against over-admission when both sides
// of a partition spend all tokens they can get, while the regions are
// partitioned and joined again every 2.9 s.
func TestRegionsOverloadedWhileCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(9, 6, 6, "r1", "r2")
		f.remoteDelay = 40 * time.Millisecond
		limit := quota.Limit{Rate: 10_000, Burst: 50_000}
		f.config.set(testCustomer, limit)
		f.startAll()
		defer f.stopAll()
		checker := newLimitChecker(t, limit)
		var work sync.WaitGroup
		work.Go(func() { sendLoad(f, checker, testCustomer, 5, 4, 1000, time.Minute) })
		for i := range 20 {
			time.Sleep(2900 * time.Millisecond)
			f.partitionRegions(i%2 == 0)
		}
		work.Wait()
		f.partitionRegions(false)
		checker.verify()
		if admitted := checker.requests - checker.refused; float64(admitted)*1000 < limit.Rate*60/2 {
			t.Errorf("%d requests of 1000 tokens admitted, want at least half of what the rate allows", admitted)
		}
	})
}

// partitionRegions cuts the links between members of different regions, or
// restores them.
func (f *fleet) partitionRegions(partitioned bool) {
	for _, a := range f.order {
		for _, b := range f.order {
			if f.members[a].region < f.members[b].region {
				f.setPartitioned(a, b, partitioned)
			}
		}
	}
}

// counts returns the requests, refusals and wrongful refusals so far.
func (checker *limitChecker) counts() [3]int {
	checker.mu.Lock()
	defer checker.mu.Unlock()
	return [3]int{checker.requests, checker.refused, checker.wrongful}
}
