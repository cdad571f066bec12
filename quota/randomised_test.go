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

// soakFor is how long randomised runs go on in real time, from the environment.
func soakDuration(t *testing.T) time.Duration {
	text := os.Getenv("GREENGAGE_SOAK")
	if text == "" {
		return 0
	}
	d, err := time.ParseDuration(text)
	if err != nil {
		t.Fatalf("GREENGAGE_SOAK: %v", err)
	}
	return d
}

// TestRandomised runs customers through routers under all faults at once and
// checks that no window admits more than rate*w + burst. Invariants inside the
// program panic.
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
		synctest.Test(t, func(t *testing.T) { randomised(t, seed, length) })
	}
	end := time.Now().Add(soakDuration(t))
	for seed := uint64(time.Now().UnixNano()); time.Now().Before(end) && !t.Failed(); seed++ {
		synctest.Test(t, func(t *testing.T) { randomised(t, seed, length) })
	}
}

// tenant is one customer of a randomised run.
type customerLoad struct {
	id       quota.CustomerID
	limit    quota.Limit
	fraction float64
	tokens   int64
	checker  *limitChecker
}

func randomised(t *testing.T, seed uint64, length time.Duration) {
	random := rand.New(rand.NewPCG(seed, 3))
	size := 3 + random.IntN(4)
	f := newFleet(seed, size, 3+random.IntN(4), []string{"r1", "r2"}[:1+random.IntN(2)]...)
	f.loss = 0.02 * random.Float64()
	f.duplication = 0.1 * random.Float64()
	f.remoteDelay = 40 * time.Millisecond
	for _, address := range f.order {
		f.members[address].clockSpeed = 0.99 + 0.02*random.Float64()
	}
	loads := newCustomerLoads(t, f, random)
	f.separateConfigs()
	f.startAll()
	defer f.stopAll()
	var work sync.WaitGroup
	for i, customer := range loads {
		work.Go(func() {
			sendLoad(f, customer.checker, customer.id, seed+uint64(i), customer.fraction, customer.tokens, length)
		})
	}
	end := time.Now().Add(length)
	for time.Now().Before(end) {
		time.Sleep(time.Duration(random.Float64() * float64(time.Second)))
		f.injectFault(random, loads, &work)
	}
	work.Wait()
	for _, customer := range loads {
		customer.checker.verify()
		checker := customer.checker
		t.Logf("seed %d: %d members, %.0f%% of the rate: %d requests, %d refused, %d wrong, reasons %v, lowest level %.0f of %.0f",
			seed, size, 100*customer.fraction, checker.requests, checker.refused, checker.wrongful, checker.reasons, checker.lowestLevel, customer.limit.Burst)
	}
}

func newCustomerLoads(t *testing.T, f *fleet, random *rand.Rand) []*customerLoad {
	var loads []*customerLoad
	for _, fraction := range []float64{0.5, 0.95, 5} {
		rate := 1000 * (1 + 9*random.Float64())
		limit := quota.Limit{Rate: rate, Burst: rate * (1 + 9*random.Float64())}
		load := &customerLoad{
			id:       quota.IDOf(string(rune('a' + len(loads)))),
			limit:    limit,
			fraction: fraction,
			tokens:   int64(limit.Burst * (0.02 + 0.2*random.Float64())),
			checker:  newLimitChecker(t, limit),
		}
		f.config.set(load.id, limit)
		loads = append(loads, load)
	}
	return loads
}

// separate gives each member a configuration of its own, as it lags.
func (f *fleet) separateConfigs() {
	for _, address := range f.order {
		config := &limits{slots: f.config.slots, byID: make(map[quota.CustomerID]quota.Limit)}
		for id, limit := range f.config.byID {
			config.set(id, limit)
		}
		f.members[address].config = config
	}
}

// breakSomething brings about one fault.
func (f *fleet) injectFault(random *rand.Rand, loads []*customerLoad, work *sync.WaitGroup) {
	m := f.at(random.IntN(len(f.order)))
	after := func(d time.Duration, undo func()) {
		work.Go(func() {
			time.Sleep(d)
			undo()
		})
	}
	lag := time.Duration(random.Float64() * 3 * float64(time.Second))
	switch random.IntN(6) {
	case 0, 1:
		f.restartMember(random, m, after)
		after(lag, f.updateMembership)
	case 2:
		m.pause(time.Duration(random.Float64() * 6 * float64(time.Second)))
	case 3:
		other := f.at(random.IntN(len(f.order)))
		f.setPartitioned(m.address, other.address, true)
		after(2*lag, func() { f.setPartitioned(m.address, other.address, false) })
	case 4:
		f.changeLimit(random, loads[random.IntN(len(loads))], after)
	case 5:
		if random.IntN(4) > 0 {
			return
		}
		for _, address := range f.order {
			f.restartMember(random, f.members[address], after)
		}
	}
}

// bounce ends a member, gracefully or not, and starts it again.
func (f *fleet) restartMember(random *rand.Rand, m *member, after func(time.Duration, func())) {
	graceful := random.IntN(2) == 0
	delay := time.Duration(random.Float64() * 2 * float64(time.Second))
	after(0, func() {
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

// changeLimit publishes a limit that members take up one after another.
func (f *fleet) changeLimit(random *rand.Rand, customer *customerLoad, after func(time.Duration, func())) {
	const settleTime = 3*time.Second + quota.DefaultLoanTerm
	changed := customer.checker.beginLimitChange(0.5 + random.Float64())
	if changed == nil {
		return
	}
	for _, address := range f.order {
		config := f.members[address].config
		after(time.Duration(random.Float64()*3*float64(time.Second)), func() { config.set(customer.id, *changed) })
	}
	after(settleTime+time.Second, func() { customer.checker.endLimitChange(*changed) })
}
