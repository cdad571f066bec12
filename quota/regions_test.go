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

// TestRegionsCutForAnHour cuts two regions from each other and joins them again.
// Each region's pool is left with the shares of its own region, so refusals of
// the time of the cut are reported and have no bound.
func TestRegionsCutForAnHour(t *testing.T) {
	if testing.Short() {
		t.Skip("an hour of virtual time")
	}
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(8, 6, 6, "r1", "r2")
		f.farDelay = 40 * time.Millisecond
		limit := quota.Limit{Rate: 10_000, Burst: 100_000}
		f.config.set(harbour, limit)
		f.run()
		defer f.stopAll()
		time.Sleep(time.Second)
		all := newJudge(t, limit)
		phase := func(name string, seed uint64, length time.Duration) (wrong int) {
			before := all.counts()
			// Both regions' requests together are at 95% of the rate.
			load(f, all, harbour, seed, 0.95, 1000, length)
			after := all.counts()
			t.Logf("%s: %d requests, %d refused, %d wrongfully", name,
				after[0]-before[0], after[1]-before[1], after[2]-before[2])
			return after[2] - before[2]
		}
		phase("joined", 1, regionsJoinedFor)
		f.cutRegions(true)
		phase("cut", 2, regionsCutFor)
		f.cutRegions(false)
		phase("joined again, first 30 s", 3, 30*time.Second)
		if wrong := phase("joined again", 4, regionsJoinedFor); wrong > 0 {
			t.Errorf("%d requests refused wrongfully after the regions were joined again", wrong)
		}
		all.verify()
	})
}

// TestRegionsOverloadedWhileCut spends all that each side can get, while the
// regions are cut and joined over and over.
func TestRegionsOverloadedWhileCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(9, 6, 6, "r1", "r2")
		f.farDelay = 40 * time.Millisecond
		limit := quota.Limit{Rate: 10_000, Burst: 50_000}
		f.config.set(harbour, limit)
		f.run()
		defer f.stopAll()
		j := newJudge(t, limit)
		var work sync.WaitGroup
		work.Go(func() { load(f, j, harbour, 5, 4, 1000, time.Minute) })
		for i := range 20 {
			time.Sleep(2900 * time.Millisecond)
			f.cutRegions(i%2 == 0)
		}
		work.Wait()
		f.cutRegions(false)
		j.verify()
		if admitted := j.requests - j.refused; float64(admitted)*1000 < limit.Rate*60/2 {
			t.Errorf("%d requests of 1000 tokens admitted, fewer than half the rate gives", admitted)
		}
	})
}

// cutRegions cuts all members of different regions from each other, or joins them.
func (f *fleet) cutRegions(cut bool) {
	for _, a := range f.order {
		for _, b := range f.order {
			if f.members[a].region < f.members[b].region {
				f.setCut(a, b, cut)
			}
		}
	}
}

// counts returns the requests, refusals and wrongful refusals so far.
func (j *judge) counts() [3]int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return [3]int{j.requests, j.refused, j.wrong}
}
