package quota_test

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/greengagegate/greengagegate/quota"
)

var harbour = quota.IDOf("harbour")

// load sends requests of a customer to random members at a part of its rate, and
// returns when all are answered.
func load(f *fleet, j *judge, id quota.CustomerID, seed uint64, part float64, tokens int64, duration time.Duration) {
	limit, _ := f.config.Limit(id)
	random := rand.New(rand.NewPCG(seed, 2))
	mean := float64(tokens) / (part * limit.Rate)
	end := time.Now().Add(duration)
	done := make(chan struct{})
	count := 0
	for time.Now().Before(end) {
		time.Sleep(time.Duration(random.ExpFloat64() * mean * float64(time.Second)))
		m := f.at(random.IntN(len(f.order)))
		if m.isDown() {
			m = f.at(random.IntN(len(f.order)))
		}
		if m.isDown() {
			continue
		}
		count++
		cost := tokens/2 + random.Int64N(tokens)
		go func() {
			m.awake()
			if ticket := j.admit(m, id, cost); ticket != nil {
				time.Sleep(100 * time.Millisecond)
				ticket.Settle(cost)
			}
			done <- struct{}{}
		}()
	}
	for range count {
		<-done
	}
}

func TestNothingRefusedAt95PercentWithoutFaults(t *testing.T) {
	for _, size := range []int{3, 12} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(1, size, size)
			limit := quota.Limit{Rate: 10_000, Burst: 100_000}
			f.config.set(harbour, limit)
			f.run()
			defer f.stopAll()
			time.Sleep(time.Second)
			j := newJudge(t, limit)
			load(f, j, harbour, 1, 0.95, 500, 2*time.Minute)
			j.verify()
			t.Logf("%d members: %d requests, %d refused, %d wrong, %d wrong by merged history, mean wait %v", size, j.requests, j.refused, j.wrong, j.wrongMerged, j.waited/time.Duration(j.requests))
			if j.wrong != 0 {
				t.Errorf("%d of %d requests were refused wrongly", j.wrong, j.requests)
			}
		})
	}
}

func TestLargeRequestIsGatheredFromAllShares(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1, 3, 3)
		limit := quota.Limit{Rate: 10, Burst: 10_000}
		f.config.set(harbour, limit)
		f.run()
		defer f.stopAll()
		time.Sleep(time.Second)
		j := newJudge(t, limit)
		for _, tokens := range []int64{7900, 500, 500, 500} {
			if j.admit(f.at(0), harbour, tokens) == nil {
				t.Errorf("%d tokens were refused", tokens)
			}
		}
		if j.admit(f.at(0), harbour, 1000) != nil {
			t.Error("more than the burst was admitted")
		}
		j.verify()
	})
}

// TestRestOfBurstIsGrantedToOtherRouters asks through each router in turn. What
// the first was granted counts as unspent, and keeps lenders from lending the
// rest, until it reports or its grant ends.
func TestRestOfBurstIsGrantedToOtherRouters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1, 3, 3)
		limit := quota.Limit{Rate: 1, Burst: 10_000}
		f.config.set(harbour, limit)
		f.run()
		defer f.stopAll()
		time.Sleep(time.Second)
		j := newJudge(t, limit)
		for i, tokens := range []int64{7500, 500, 500, 500, 500} {
			if j.admit(f.at(i%3), harbour, tokens) == nil {
				t.Errorf("request %d of %d tokens was refused", i, tokens)
			}
		}
		if j.admit(f.at(1), harbour, 1000) != nil {
			t.Error("more than the burst was admitted")
		}
		j.verify()
	})
}
