package permit

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/greengagegate/greengagegate/internal/bootclock"
)

// Load pattern: many gateways want a resource far more often than it may be used. Each asks
// again when it is told to, or a little later. The uses must keep to the rate in each window,
// and most of the rate must be used, at every size of the fleet.
func TestUsesOfAllGatewaysKeepTheRate(t *testing.T) {
	const (
		rate     = 3.1 // a second
		window   = 4 * time.Second
		duration = time.Minute
	)
	for _, gateways := range []int{1, 5, 26, 103, 350} {
		random := rand.New(rand.NewPCG(uint64(gateways), 0))
		p := newPacer()
		request := Request{Resource: "x", Interval: time.Second * 10 / 31, Burst: 2}
		askAt := make([]time.Duration, gateways)
		var uses []time.Duration
		asks := 0
		for now := time.Duration(0); now < duration; now += 5 * time.Millisecond {
			for i := range askAt {
				if now < askAt[i] {
					continue
				}
				asks++
				decision := p.take(request, 1, bootclock.Instant(time.Hour+now))
				if decision.Granted {
					uses = append(uses, now)
				}
				askAt[i] = now + decision.RetryAfter + time.Duration(random.Int64N(int64(100*time.Millisecond)))
			}
		}
		most := 0
		for i, first := range uses {
			count := 0
			for _, use := range uses[i:] {
				if use-first < window {
					count++
				}
			}
			most = max(most, count)
		}
		if limit := int(rate*window.Seconds()) + 2; most > limit {
			t.Errorf("%d gateways: %d uses in %v, want at most %d", gateways, most, window, limit)
		}
		if want := rate * duration.Seconds() * 0.7; float64(len(uses)) < want {
			t.Errorf("%d gateways: %d uses in %v, want at least %.0f", gateways, len(uses), duration, want)
		}
		if perSecond := float64(asks) / duration.Seconds(); perSecond > 2*float64(gateways)/maxRetryAfter.Seconds()+3*rate {
			t.Errorf("%d gateways ask %.0f times a second", gateways, perSecond)
		}
	}
}

// Sides that are cut off from each other must keep to the rate together.
func TestSidesOfPartitionShareTheRate(t *testing.T) {
	request := Request{Resource: "x", Interval: 100 * time.Millisecond}
	uses := 0
	for _, ratio := range []float64{0.6, 0.4} {
		p := newPacer()
		for now := time.Duration(0); now < 10*time.Second; now += time.Millisecond {
			if p.take(request, ratio, bootclock.Instant(time.Hour+now)).Granted {
				uses++
			}
		}
	}
	if uses > 102 {
		t.Errorf("%d uses in 10 s, want at most 100 and one for each side", uses)
	}
}

func TestOwnerIsOneOfTheGatewaysInContact(t *testing.T) {
	silences := map[string]time.Duration{"b": 0, "c": time.Second, "d": 2 * time.Second}
	managers := make(map[string]*Manager)
	for _, name := range []string{"a", "b", "c"} {
		others := map[string]time.Duration{"a": 0, "b": 0, "c": time.Second, "d": silences["d"]}
		delete(others, name)
		managers[name] = New(Options{Name: name, Silences: func() map[string]time.Duration { return others }})
	}
	owners := make(map[string]bool)
	for i := range 100 {
		resource := string(rune('A' + i))
		owner, ratio := managers["a"].owner(resource)
		owners[owner] = true
		if ratio != 0.75 {
			t.Fatalf("ratio %v with three of four gateways in contact, want 0.75", ratio)
		}
		for name, m := range managers {
			if other, _ := m.owner(resource); other != owner {
				t.Errorf("%s and a take different gateways for the owner of %s: %s and %s", name, resource, other, owner)
			}
		}
	}
	if len(owners) != 3 || owners["d"] {
		t.Errorf("owners are %v, want the three gateways in contact", owners)
	}
}

func TestInvalidRequests(t *testing.T) {
	for _, request := range []Request{
		{Interval: 0},
		{Interval: -1},
		{Interval: 2 * maxInterval},
		{Interval: time.Second, Burst: math.NaN()},
		{Interval: time.Second, Burst: math.Inf(1)},
	} {
		if request.isValid() {
			t.Errorf("%+v is valid", request)
		}
	}
}

func TestResourcesAreBounded(t *testing.T) {
	p := newPacer()
	for i := range 3 * maxResources {
		p.take(Request{Resource: string(rune(i)), Interval: time.Second}, 1, bootclock.Instant(time.Hour+time.Duration(i)))
	}
	if len(p.resources) > maxResources {
		t.Errorf("%d resources are remembered, want at most %d", len(p.resources), maxResources)
	}
}
