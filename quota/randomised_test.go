package quota_test

import (
	"flag"
	"math/rand/v2"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/greengagegate/greengagegate/quota"
)

var (
	seedFlag         = flag.Uint64("seed", 0, "seed of the randomised run; 0 runs a few fixed ones")
	simulateDuration = flag.Duration("simulate", 0, "virtual time of each randomised run")
)

// soakDuration returns the real time for which randomised runs continue, from
// the environment variable GREENGAGE_SOAK.
func soakDuration(t *testing.T) time.Duration {
	value := os.Getenv("GREENGAGE_SOAK")
	if value == "" {
		return 0
	}
	d, err := time.ParseDuration(value)
	if err != nil {
		t.Fatalf("GREENGAGE_SOAK: %v", err)
	}
	return d
}

// TestRandomised guards against over-admission under combinations of faults.
// Customers send requests through routers while members crash, restart, pause,
// lose connections and learn of limits late. No window w may admit more than
// rate*w + burst. Violated invariants inside the package panic.
func TestRandomised(t *testing.T) {
	length := 40 * time.Second
	if testing.Short() {
		length = 15 * time.Second
	}
	if *simulateDuration > 0 {
		length = *simulateDuration
	}
	seeds := []uint64{1, 2, 3, 4}
	if *seedFlag != 0 {
		seeds = []uint64{*seedFlag}
	}
	for _, seed := range seeds {
		synctest.Test(t, func(t *testing.T) { runRandomised(t, seed, length) })
	}
	end := time.Now().Add(soakDuration(t))
	for seed := uint64(time.Now().UnixNano()); time.Now().Before(end) && !t.Failed(); seed++ {
		synctest.Test(t, func(t *testing.T) { runRandomised(t, seed, length) })
	}
}

// customerLoad is one customer of a randomised run with its load. rateFraction is
// the requested tokens as a fraction of the customer's rate.
type customerLoad struct {
	id           quota.CustomerID
	limit        quota.Limit
	rateFraction float64
	tokens       int64
	checker      *limitChecker
}

// runRandomised runs one fleet whose size, faults and clocks follow from the
// seed.
func runRandomised(t *testing.T, seed uint64, length time.Duration) {
	random := rand.New(rand.NewPCG(seed, 3))
	size := 3 + random.IntN(4)
	f := newFleet(seed, size, 3+random.IntN(4), []string{"r1", "r2"}[:1+random.IntN(2)]...)
	f.lossRate = 0.02 * random.Float64()
	f.duplicationRate = 0.1 * random.Float64()
	f.remoteDelay = 40 * time.Millisecond
	for _, address := range f.order {
		f.members[address].clockSpeed = 0.99 + 0.02*random.Float64()
	}
	loads := newCustomerLoads(t, f, random)
	f.separateConfigs()
	f.startAll()
	defer f.stopAll()
	var work sync.WaitGroup
	for i, load := range loads {
		work.Go(func() {
			sendLoad(f, load.checker, load.id, seed+uint64(i), load.rateFraction, load.tokens, length)
		})
	}
	end := time.Now().Add(length)
	for time.Now().Before(end) {
		time.Sleep(time.Duration(random.Float64() * float64(time.Second)))
		f.injectFault(random, loads, &work)
	}
	work.Wait()
	for _, load := range loads {
		load.checker.verify()
		checker := load.checker
		t.Logf("seed %d: %d members, %.0f%% of the rate: %d requests, %d refused, %d wrongfully, reasons %v, lowest level %.0f of %.0f",
			seed, size, 100*load.rateFraction, checker.requests, checker.refused, checker.wrongful, checker.reasons, checker.lowestLevel, load.limit.Burst)
	}
}

// newCustomerLoads configures three customers, with load at 50%, 95% and 500%
// of the rate.
func newCustomerLoads(t *testing.T, f *fleet, random *rand.Rand) []*customerLoad {
	var loads []*customerLoad
	for _, rateFraction := range []float64{0.5, 0.95, 5} {
		rate := 1000 * (1 + 9*random.Float64())
		limit := quota.Limit{Rate: rate, Burst: rate * (1 + 9*random.Float64())}
		load := &customerLoad{
			id:           quota.CustomerIDOf(string(rune('a' + len(loads)))),
			limit:        limit,
			rateFraction: rateFraction,
			tokens:       int64(limit.Burst * (0.02 + 0.2*random.Float64())),
			checker:      newLimitChecker(t, limit),
		}
		f.config.set(load.id, limit)
		loads = append(loads, load)
	}
	return loads
}

// separateConfigs gives each member its own copy of the configuration, so that
// members can learn of changes at different times.
func (f *fleet) separateConfigs() {
	for _, address := range f.order {
		config := &limits{slots: f.config.slots, byID: make(map[quota.CustomerID]quota.Limit)}
		for id, limit := range f.config.byID {
			config.set(id, limit)
		}
		f.members[address].config = config
	}
}

// injectFault injects one random fault.
func (f *fleet) injectFault(random *rand.Rand, loads []*customerLoad, work *sync.WaitGroup) {
	m := f.at(random.IntN(len(f.order)))
	schedule := func(d time.Duration, run func()) {
		work.Go(func() {
			time.Sleep(d)
			run()
		})
	}
	delay := time.Duration(random.Float64() * 3 * float64(time.Second))
	switch random.IntN(6) {
	case 0, 1:
		f.restartMember(random, m, schedule)
		schedule(delay, f.updateMembership)
	case 2:
		m.pause(time.Duration(random.Float64() * 6 * float64(time.Second)))
	case 3:
		other := f.at(random.IntN(len(f.order)))
		f.setPartitioned(m.address, other.address, true)
		schedule(2*delay, func() { f.setPartitioned(m.address, other.address, false) })
	case 4:
		f.changeLimit(random, loads[random.IntN(len(loads))], schedule)
	case 5:
		if random.IntN(4) > 0 {
			return
		}
		for _, address := range f.order {
			f.restartMember(random, f.members[address], schedule)
		}
	}
}

// restartMember ends a member, gracefully or not, and starts it again.
func (f *fleet) restartMember(random *rand.Rand, m *member, schedule func(time.Duration, func())) {
	graceful := random.IntN(2) == 0
	delay := time.Duration(random.Float64() * 2 * float64(time.Second))
	schedule(0, func() {
		if !m.beginRestart() {
			return
		}
		if graceful {
			m.stop()
		} else {
			m.crash()
		}
		time.Sleep(delay)
		m.restart()
		m.endRestart()
		f.updateMembership()
	})
}

// changeLimit changes a limit. Members learn of the change one after another,
// within three seconds.
func (f *fleet) changeLimit(random *rand.Rand, load *customerLoad, schedule func(time.Duration, func())) {
	const settleTime = 3*time.Second + quota.DefaultLoanTerm
	changed := load.checker.beginLimitChange(0.5 + random.Float64())
	if changed == nil {
		return
	}
	for _, address := range f.order {
		config := f.members[address].config
		schedule(time.Duration(random.Float64()*3*float64(time.Second)), func() { config.set(load.id, *changed) })
	}
	schedule(settleTime+time.Second, func() { load.checker.endLimitChange(*changed) })
}
