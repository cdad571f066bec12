package share

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/greengagegate/greengagegate/internal/bootclock"
)

// clock is a boot clock that tests move.
type clock struct{ now bootclock.Instant }

func (c *clock) read() bootclock.Instant { return c.now }

func (c *clock) advance(d time.Duration) { c.now = c.now.Add(d) }

func TestDivideGivesSmallDemandsFirst(t *testing.T) {
	shares := Divide(100, []float64{8, 400, 0, 400})
	sum := 0.0
	for _, s := range shares {
		sum += s
	}
	if math.Abs(sum-100) > 1e-6 {
		t.Errorf("shares %v sum up to %v, want 100", shares, sum)
	}
	if shares[0] < 8 || shares[0] > 20 {
		t.Errorf("the small demand of 8 got %v", shares[0])
	}
	if math.Abs(shares[1]-shares[3]) > 1e-6 {
		t.Errorf("equal demands got %v and %v", shares[1], shares[3])
	}
}

func TestDivideSumsToTheRate(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for range 2000 {
		demands := make([]float64, 1+random.IntN(8))
		for i := range demands {
			demands[i] = random.Float64() * 500 * float64(random.IntN(2))
		}
		sum := 0.0
		for _, s := range Divide(1000, demands) {
			if s < 0 {
				t.Fatalf("demands %v: negative share", demands)
			}
			sum += s
		}
		if math.Abs(sum-1000) > 1e-6 {
			t.Fatalf("demands %v: shares sum up to %v", demands, sum)
		}
	}
}

// fleet is some gateways that exchange their demands, unless they are cut off.
type fleet struct {
	clock    *clock
	gateways []*Manager
	names    []string
	cut      map[int]bool
}

func newFleet(count int, slack float64) *fleet {
	f := &fleet{clock: &clock{now: 1_000_000_000_000}, cut: make(map[int]bool)}
	for i := range count {
		name := string(rune('a' + i))
		f.gateways = append(f.gateways, New(name, slack, f.clock.read))
		f.names = append(f.names, name)
	}
	for i, g := range f.gateways {
		var others []string
		for k, name := range f.names {
			if k != i {
				others = append(others, name)
			}
		}
		g.SetPeers(others)
	}
	return f
}

func (f *fleet) exchange() {
	for i, from := range f.gateways {
		for k, to := range f.gateways {
			if i != k && !f.cut[i] && !f.cut[k] {
				to.UpdatePeerDemand(f.names[i], from.Demand())
			}
		}
	}
}

// admit asks a gateway, and the owner of the customer's pool if it can be reached.
func (f *fleet) admit(gateway int, limit Limit, tokens float64) bool {
	answer := f.gateways[gateway].Admit("c", limit, tokens)
	for i, name := range f.names {
		if name == answer.Owner && !f.cut[gateway] && !f.cut[i] {
			return f.gateways[i].GrantFromPool("c", limit, tokens).Admitted
		}
	}
	return answer.Admitted
}

// admitted is a request that was admitted.
type admitted struct {
	at     bootclock.Instant
	tokens float64
}

// play offers requests for a while, most of them through the first gateway.
func (f *fleet) play(random *rand.Rand, limit Limit, offered float64, d time.Duration, at func(time.Duration)) (all []admitted, asked float64) {
	const step = 5 * time.Millisecond
	for passed := time.Duration(0); passed < d; passed += step {
		if at != nil {
			at(passed)
		}
		if passed%(250*time.Millisecond) == 0 {
			f.exchange()
		}
		for budget := offered * step.Seconds(); budget > 0; {
			tokens := 200 + 9000*random.ExpFloat64()
			if random.Float64() > budget/tokens {
				break
			}
			budget -= tokens
			asked += tokens
			gateway := 0
			if random.Float64() > 0.5 {
				gateway = random.IntN(len(f.gateways))
			}
			if f.admit(gateway, limit, tokens) {
				all = append(all, admitted{f.clock.now, tokens})
			}
		}
		f.clock.advance(step)
	}
	return all, asked
}

// most returns the most tokens admitted in any window.
func most(all []admitted, window time.Duration) float64 {
	best, sum, first := 0.0, 0.0, 0
	for _, a := range all {
		sum += a.tokens
		for a.at.Sub(all[first].at) > window {
			sum -= all[first].tokens
			first++
		}
		best = max(best, sum)
	}
	return best
}

const (
	testWindow    = 8 * time.Second
	testOvershoot = 0.1
	testSlack     = 110_000
)

func checkWindows(t *testing.T, all []admitted, limit Limit) {
	t.Helper()
	bound := (limit.Rate*testWindow.Seconds()+limit.Burst)*(1+testOvershoot) + testSlack
	if got := most(all, testWindow); got > bound {
		t.Errorf("%.0f tokens in a window, want at most %.0f", got, bound)
	}
}

// One customer sends several times its rate, mostly through one gateway, and some
// gateways are cut off from the others for a while.
func TestCustomerStaysWithinItsLimitAcrossCuts(t *testing.T) {
	for _, limit := range []Limit{{100_000, 100_000}, {600_000, 600_000}, {20_000, 20_000}} {
		for seed := range uint64(6) {
			random := rand.New(rand.NewPCG(seed, 7))
			f := newFleet(5+int(seed%2)*15, 0.7*testSlack)
			all, _ := f.play(random, limit, 6*limit.Rate, 40*time.Second, func(passed time.Duration) {
				f.cut[0] = passed > 10*time.Second && passed < 18*time.Second
				f.cut[1] = passed > 14*time.Second && passed < 25*time.Second
				f.cut[2] = passed > 14*time.Second && passed < 20*time.Second
			})
			checkWindows(t, all, limit)
		}
	}
}

func TestCustomerWithinItsLimitIsHardlyRefused(t *testing.T) {
	for count, limit := range map[int]Limit{5: {400_000, 400_000}, 26: {120_000, 120_000}} {
		testHardlyRefused(t, count, limit)
	}
}

func testHardlyRefused(t *testing.T, count int, limit Limit) {
	random := rand.New(rand.NewPCG(3, 7))
	f := newFleet(count, 0.7*testSlack)
	all, asked := f.play(random, limit, 0.55*limit.Rate, 60*time.Second, nil)
	sum := 0.0
	for _, a := range all {
		sum += a.tokens
	}
	if refused := 1 - sum/asked; refused > 0.005 {
		t.Errorf("%d gateways: %.4f of the tokens within the limit were refused, want at most 0.005", count, refused)
	}
}

// Large requests are not starved by small ones where a gateway's part of the
// burst is less than one of them.
func TestLargeRequestsAreNotStarved(t *testing.T) {
	f := newFleet(5, 0.7*testSlack)
	limit := Limit{100_000, 100_000}
	random := rand.New(rand.NewPCG(5, 5))
	sum := make(map[float64]float64)
	for range 4000 {
		f.clock.advance(50 * time.Millisecond)
		tokens := 3000.0
		if random.IntN(4) == 0 {
			tokens = 45_000
		}
		if f.admit(0, limit, tokens) {
			sum[tokens] += tokens
		}
	}
	if sum[45_000] < sum[3000]/2 || sum[3000] < sum[45_000]/4 {
		t.Errorf("large requests got %.0f tokens, small ones %.0f", sum[45_000], sum[3000])
	}
}

func TestRefusalTellsWhenTokensMayBeThere(t *testing.T) {
	c := &clock{now: 1_000_000_000_000}
	m := New("a", 0, c.read)
	limit := Limit{Rate: 1000, Burst: 1000}
	for m.Admit("c", limit, 400).Admitted {
		c.advance(time.Millisecond)
	}
	answer := m.Admit("c", limit, 400)
	if answer.Admitted || answer.Owner != "" || answer.RetryAfter < 100*time.Millisecond || answer.RetryAfter > time.Second {
		t.Fatalf("got %+v", answer)
	}
	c.advance(answer.RetryAfter)
	if !m.Admit("c", limit, 400).Admitted {
		t.Error("refused again after the time that was told")
	}
}

func TestSuspendedGatewayFallsBackToItsPart(t *testing.T) {
	f := newFleet(2, 0)
	limit := Limit{Rate: 10_000, Burst: 10_000}
	for range 20 {
		f.gateways[0].Admit("c", limit, 100)
		f.clock.advance(250 * time.Millisecond)
		f.exchange()
	}
	// The other gateway may have used its part while this one heard nothing.
	f.clock.advance(10 * time.Second)
	sum := 0.0
	for range 1000 {
		if f.gateways[0].Admit("c", limit, 100).Admitted {
			sum += 100
		}
	}
	if sum > 5100 {
		t.Errorf("%.0f tokens at once after a suspension, want at most half of the burst", sum)
	}
}
