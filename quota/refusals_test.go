package quota_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/greengagegate/greengagegate/quota"
)

var (
	measureDuration = flag.Duration("measure", 0, "virtual time of each measurement of refusals")
	arrivalsSeed    = flag.Uint64("arrivals", 4, "seed of the requests in measurements of refusals")
)

// profile is a load combined with a pattern of faults.
type profile struct {
	name string
	// trafficFractions are the customers' parts of the traffic. loadFraction is the
	// traffic as a fraction of the customers' rates.
	trafficFractions []float64
	loadFraction     float64
	// requestsPerSecond is the total for all customers. A request costs between
	// 0.5 and 1.5 times tokens.
	requestsPerSecond float64
	tokens            int64
	faults            func(*fleet, *rand.Rand, func(*member), time.Duration)
	// maxWrongful is the largest allowed fraction of wrongful refusals.
	maxWrongful float64
}

// variant is one way to enforce limits, with a checker for each customer.
type variant struct {
	name     string
	admitter admitter
	checkers []*limitChecker
}

// trafficFractions returns the parts of five customers in the traffic.
func trafficFractions() []float64 { return []float64{0.5, 0.25, 0.12, 0.08, 0.05} }

func profiles() []profile {
	return []profile{
		{"no faults, 95% of the rate", trafficFractions(), 0.95, 100, 3200, noFaults, 0},
		{"graceful restart every 10 s, 95% of the rate", trafficFractions(), 0.95, 100, 3200, periodicRestarts(true, 10*time.Second), 0.001},
		{"graceful restart every 10 s, 77% of the rate, few large requests", trafficFractions(), 0.77, 11, 32_000, periodicRestarts(true, 10*time.Second), 0.001},
		{"crash every 10 s, 77% of the rate", trafficFractions(), 0.77, 100, 3200, periodicRestarts(false, 10*time.Second), 0.001},
		{"crash every 10 s, 95% of the rate", trafficFractions(), 0.95, 100, 3200, periodicRestarts(false, 10*time.Second), 0.001},
		{"all faults, 77% of the rate", trafficFractions(), 0.77, 100, 3200, allFaults, 0.001},
	}
}

func noFaults(*fleet, *rand.Rand, func(*member), time.Duration) {}

// periodicRestarts returns a fault pattern that ends one member after another
// and starts each again within a second.
func periodicRestarts(graceful bool, every time.Duration) func(*fleet, *rand.Rand, func(*member), time.Duration) {
	return func(f *fleet, random *rand.Rand, restarted func(*member), length time.Duration) {
		for i := 0; time.Duration(i+1)*every <= length; i++ {
			time.Sleep(every)
			m := f.at(i % len(f.order))
			f.endAndRestart(m, graceful, time.Duration(300+random.IntN(700))*time.Millisecond)
			restarted(m)
		}
	}
}

// endAndRestart ends a member and starts it again after downtime. Membership
// learns of a crash only after the restart.
func (f *fleet) endAndRestart(m *member, graceful bool, downtime time.Duration) {
	if graceful {
		m.drain(200 * time.Millisecond)
		m.stop()
		f.updateMembership()
	} else {
		m.crash()
	}
	time.Sleep(downtime)
	m.restart()
	f.updateMembership()
}

// allFaults injects a crash, a pause, a graceful restart and a partition in
// turn, one every 5 s, with lost and duplicate messages throughout.
func allFaults(f *fleet, random *rand.Rand, restarted func(*member), length time.Duration) {
	f.mu.Lock()
	f.lossRate, f.duplicationRate = 0.002, 0.01
	f.mu.Unlock()
	for i := 0; time.Duration(i+1)*5*time.Second <= length; i++ {
		time.Sleep(5 * time.Second)
		m, other := f.at(i%len(f.order)), f.at((i+1)%len(f.order))
		switch i % 4 {
		case 0, 2:
			f.endAndRestart(m, i%4 == 2, 500*time.Millisecond)
			restarted(m)
		case 1:
			m.pause(time.Duration(random.IntN(3000)) * time.Millisecond)
		case 3:
			f.setPartitioned(m.address, other.address, true)
			time.Sleep(3 * time.Second)
			f.setPartitioned(m.address, other.address, false)
		}
	}
}

// TestWrongfulRefusals guards against refusing requests that an exact token
// bucket would admit, which happens when faults leave tokens unusable, and
// against over-admission. It logs the results of two baselines under the same
// requests and faults for comparison.
func TestWrongfulRefusals(t *testing.T) {
	length := time.Minute
	if testing.Short() {
		length = 25 * time.Second
	}
	if *measureDuration > 0 {
		length = *measureDuration
	}
	t.Logf("| profile | limits kept by | requests | refused | wrongful | over-admitted tokens |")
	for _, p := range profiles() {
		t.Run(p.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { compareVariants(t, p, length) })
		})
	}
}

// compareVariants sends the same requests to all variants under a profile's
// faults and reports each variant's refusals.
func compareVariants(t *testing.T, p profile, length time.Duration) {
	f := newFleet(7, 3, 3)
	var ids []quota.CustomerID
	for i, fraction := range p.trafficFractions {
		rate := fraction * p.requestsPerSecond * float64(p.tokens) / p.loadFraction
		ids = append(ids, quota.CustomerIDOf(fmt.Sprint("customer-", i)))
		f.config.set(ids[i], quota.Limit{Rate: rate, Burst: 10 * rate})
	}
	f.startAll()
	defer f.stopAll()
	time.Sleep(time.Second)
	variants := []*variant{
		{name: "lending", admitter: &lendingAdmitter{}},
		{name: "fixed shares", admitter: &fixedShares{members: 3, config: f.config, buckets: make(map[*member]map[quota.CustomerID]*bucket)}},
		{name: "central bucket", admitter: &centralBucket{owner: f.at(0), config: f.config, buckets: make(map[quota.CustomerID]*bucket)}},
	}
	for _, v := range variants {
		for _, id := range ids {
			limit, _ := f.config.Limit(id)
			v.checkers = append(v.checkers, newLimitChecker(t, limit))
		}
	}
	var work sync.WaitGroup
	work.Go(func() {
		p.faults(f, rand.New(rand.NewPCG(5, 5)), func(m *member) {
			for _, v := range variants {
				v.admitter.restarted(m)
			}
		}, length)
	})
	sendRequests(f, p, variants, ids, length, &work)
	work.Wait()
	for _, v := range variants {
		reportVariant(t, p, v)
	}
}

// sendRequests sends the same requests to all variants until length has passed.
func sendRequests(f *fleet, p profile, variants []*variant, ids []quota.CustomerID, length time.Duration, work *sync.WaitGroup) {
	random := rand.New(rand.NewPCG(11, *arrivalsSeed))
	end := time.Now().Add(length)
	for time.Now().Before(end) {
		time.Sleep(time.Duration(random.ExpFloat64() / p.requestsPerSecond * float64(time.Second)))
		customer := pickWeighted(random, p.trafficFractions)
		tokens := p.tokens/2 + random.Int64N(p.tokens)
		m := f.pickMember(random)
		for _, v := range variants {
			work.Go(func() {
				v.checkers[customer].check(tokens, func() bool { return v.admitter.admit(m, ids[customer], tokens) })
			})
		}
	}
}

// pickWeighted returns a random index, distributed by weights that sum to 1.
func pickWeighted(random *rand.Rand, weights []float64) int {
	remaining := random.Float64()
	for i, weight := range weights {
		if remaining -= weight; remaining < 0 {
			return i
		}
	}
	return 0
}

// reportVariant logs a variant's results. It fails the test if lending
// over-admitted or refused too many requests wrongfully.
func reportVariant(t *testing.T, p profile, v *variant) {
	var requests, refused, wrongful int
	var overAdmitted float64
	for _, checker := range v.checkers {
		requests += checker.requests
		refused += checker.refused
		wrongful += checker.wrongful
		overAdmitted += max(0, -checker.lowestLevel)
	}
	wrongfulFraction := float64(wrongful) / float64(requests)
	t.Logf("| %s | %s | %d | %d | %.3f%% | %.0f |", p.name, v.name, requests, refused, 100*wrongfulFraction, overAdmitted)
	if v.name != "lending" {
		return
	}
	if overAdmitted > 1 {
		t.Errorf("%s: %.0f tokens admitted above the limit", p.name, overAdmitted)
	}
	if wrongfulFraction > p.maxWrongful {
		t.Errorf("%s: %d of %d requests refused wrongfully, want at most %.1f%%", p.name, wrongful, requests, 100*p.maxWrongful)
	}
}
