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
	measureFor   = flag.Duration("measure", 0, "virtual time of each measurement of refusals")
	arrivalsFlag = flag.Uint64("arrivals", 4, "seed of the requests in measurements of refusals")
)

// profile is a load with a pattern of faults.
type profile struct {
	name string
	// customers' parts of the traffic, and the traffic as a part of the rates.
	parts []float64
	load  float64
	// requests a second in all, with tokens each, between half and one and a half of it.
	perSecond float64
	tokens    int64
	faults    func(*fleet, *rand.Rand, func(*member), time.Duration)
	most      float64
}

// arm is one way of keeping limits with its judges.
type arm struct {
	name     string
	admitter admitter
	judges   []*judge
}

func deskParts() []float64 { return []float64{0.5, 0.25, 0.12, 0.08, 0.05} }

func profiles() []profile {
	return []profile{
		{"no faults, 95% of the rate", deskParts(), 0.95, 100, 3200, noFaults, 0},
		{"graceful restart every 10 s, 95% of the rate", deskParts(), 0.95, 100, 3200, restarts(true, 10*time.Second), 0.001},
		{"graceful restart every 10 s, 77% of the rate, few large requests", deskParts(), 0.77, 11, 32_000, restarts(true, 10*time.Second), 0.001},
		{"crash every 10 s, 77% of the rate", deskParts(), 0.77, 100, 3200, restarts(false, 10*time.Second), 0.001},
		{"crash every 10 s, 95% of the rate", deskParts(), 0.95, 100, 3200, restarts(false, 10*time.Second), 0.001},
		{"all faults, 77% of the rate", deskParts(), 0.77, 100, 3200, allFaults, 0.001},
	}
}

func noFaults(*fleet, *rand.Rand, func(*member), time.Duration) {}

// restarts ends one member after another and starts it again within a second.
func restarts(graceful bool, every time.Duration) func(*fleet, *rand.Rand, func(*member), time.Duration) {
	return func(f *fleet, random *rand.Rand, restarted func(*member), length time.Duration) {
		for i := 0; time.Duration(i+1)*every <= length; i++ {
			time.Sleep(every)
			m := f.at(i % len(f.order))
			f.cycle(m, graceful, time.Duration(300+random.IntN(700))*time.Millisecond)
			restarted(m)
		}
	}
}

// cycle ends a member and starts it again after a time. Membership learns of it late.
func (f *fleet) cycle(m *member, graceful bool, away time.Duration) {
	if graceful {
		m.drain(200 * time.Millisecond)
		m.stop()
		f.seeAll()
	} else {
		m.crash()
	}
	time.Sleep(away)
	m.restart()
	f.seeAll()
}

// allFaults brings about a crash, a pause, a cut and a graceful restart in turn, every 5 s.
func allFaults(f *fleet, random *rand.Rand, restarted func(*member), length time.Duration) {
	f.mu.Lock()
	f.loss, f.dup = 0.002, 0.01
	f.mu.Unlock()
	for i := 0; time.Duration(i+1)*5*time.Second <= length; i++ {
		time.Sleep(5 * time.Second)
		m, other := f.at(i%len(f.order)), f.at((i+1)%len(f.order))
		switch i % 4 {
		case 0, 2:
			f.cycle(m, i%4 == 2, 500*time.Millisecond)
			restarted(m)
		case 1:
			m.pause(time.Duration(random.IntN(3000)) * time.Millisecond)
		case 3:
			f.setCut(m.address, other.address, true)
			time.Sleep(3 * time.Second)
			f.setCut(m.address, other.address, false)
		}
	}
}

// TestWrongfulRefusals compares lending with two baselines under the same
// arrivals and faults.
func TestWrongfulRefusals(t *testing.T) {
	length := time.Minute
	if testing.Short() {
		length = 25 * time.Second
	}
	if *measureFor > 0 {
		length = *measureFor
	}
	t.Logf("| profile | limits kept by | requests | refused | wrongful | over-admitted tokens |")
	for _, p := range profiles() {
		t.Run(p.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { compare(t, p, length) })
		})
	}
}

func compare(t *testing.T, p profile, length time.Duration) {
	f := newFleet(7, 3, 3)
	var ids []quota.CustomerID
	for i, part := range p.parts {
		rate := part * p.perSecond * float64(p.tokens) / p.load
		ids = append(ids, quota.IDOf(fmt.Sprint("customer-", i)))
		f.config.set(ids[i], quota.Limit{Rate: rate, Burst: 10 * rate})
	}
	f.run()
	defer f.stopAll()
	time.Sleep(time.Second)
	arms := []*arm{
		{name: "lending", admitter: &lending{}},
		{name: "fixed shares", admitter: &fixedShares{members: 3, config: f.config, buckets: make(map[*member]map[quota.CustomerID]*bucket)}},
		{name: "central bucket", admitter: &centralBucket{home: f.at(0), config: f.config, buckets: make(map[quota.CustomerID]*bucket)}},
	}
	for _, a := range arms {
		for _, id := range ids {
			limit, _ := f.config.Limit(id)
			a.judges = append(a.judges, newJudge(t, limit))
		}
	}
	var work sync.WaitGroup
	work.Go(func() {
		p.faults(f, rand.New(rand.NewPCG(5, 5)), func(m *member) {
			for _, a := range arms {
				a.admitter.restarted(m)
			}
		}, length)
	})
	arrive(f, p, arms, ids, length, &work)
	work.Wait()
	for _, a := range arms {
		report(t, p, a)
	}
}

// arrive sends the same requests to all arms.
func arrive(f *fleet, p profile, arms []*arm, ids []quota.CustomerID, length time.Duration, work *sync.WaitGroup) {
	random := rand.New(rand.NewPCG(11, *arrivalsFlag))
	end := time.Now().Add(length)
	for time.Now().Before(end) {
		time.Sleep(time.Duration(random.ExpFloat64() / p.perSecond * float64(time.Second)))
		customer := pick(random, p.parts)
		tokens := p.tokens/2 + random.Int64N(p.tokens)
		m := f.balance(random)
		for _, a := range arms {
			work.Go(func() {
				a.judges[customer].judge(tokens, func() bool { return a.admitter.admit(m, ids[customer], tokens) })
			})
		}
	}
}

func pick(random *rand.Rand, parts []float64) int {
	at := random.Float64()
	for i, part := range parts {
		if at -= part; at < 0 {
			return i
		}
	}
	return 0
}

func report(t *testing.T, p profile, a *arm) {
	var requests, refused, wrong int
	var over float64
	for _, j := range a.judges {
		requests += j.requests
		refused += j.refused
		wrong += j.wrong
		over += max(0, -j.lowest)
	}
	share := float64(wrong) / float64(requests)
	t.Logf("| %s | %s | %d | %d | %.3f%% | %.0f |", p.name, a.name, requests, refused, 100*share, over)
	if a.name != "lending" {
		return
	}
	if over > 1 {
		t.Errorf("%s: over-admission of %.0f tokens", p.name, over)
	}
	if share > p.most {
		t.Errorf("%s: %d of %d requests refused wrongfully, more than %.1f%%", p.name, wrong, requests, 100*p.most)
	}
}
