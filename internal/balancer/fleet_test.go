package balancer

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/greengagegate/greengagegate/internal/bootclock"
	"github.com/greengagegate/greengagegate/internal/catalog"
)

// simulatedEvent is a function that runs at a time of the simulation.
type simulatedEvent struct {
	at bootclock.Instant
	do func()
}

// eventQueue is a heap of events, the earliest first.
type eventQueue []simulatedEvent

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, k int) bool { return q[i].at < q[k].at }
func (q eventQueue) Swap(i, k int)      { q[i], q[k] = q[k], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(simulatedEvent)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// fleetSimulation simulates a fleet of gateways, each with its own balancer, that send to
// engines which prefill one prompt after another.
type fleetSimulation struct {
	now       bootclock.Instant
	queue     eventQueue
	random    *rand.Rand
	balancers []*Balancer
	upstreams []*catalog.Upstream
	// freeAt is when an engine has prefilled all its prompts, by engine id.
	freeAt map[string]bootclock.Instant
	// cached contains the concatenation of engine ID, salt and part ID for each part that
	// was ever prefilled.
	cached map[string]bool
	// tokensPerMS is the prefill rate of an engine. Requests that are expected to wait for
	// longer than objective are not sent, unless it is 0.
	tokensPerMS float64
	objective   time.Duration
	// waits are the times from the arrival of a request to its first response.
	waits []time.Duration
}

const (
	// simulatedPrefillTokensPerMS is the prefill rate of an engine.
	simulatedPrefillTokensPerMS = 112
	// simulatedGenerationTime is how long a request runs after its first response.
	simulatedGenerationTime = 200 * time.Millisecond
	// simulatedReportDelay is how long a cache report takes to reach the other gateways.
	simulatedReportDelay = 500 * time.Millisecond
)

func newFleetSimulation(gateways, engines int) *fleetSimulation {
	f := &fleetSimulation{
		now: 1_000_000_000_000, tokensPerMS: simulatedPrefillTokensPerMS, random: rand.New(rand.NewPCG(3, 4)),
		freeAt: make(map[string]bootclock.Instant), cached: make(map[string]bool),
	}
	for i := range engines {
		f.upstreams = append(f.upstreams, &catalog.Upstream{
			ID: fmt.Sprintf("e%02d", i), Address: fmt.Sprintf("10.0.0.%d:1", i), Zone: fmt.Sprint("z", i%4), Capacity: 128,
			StartedMillis: 1, ModelVersions: map[string]int64{testModel: 1},
		})
	}
	for i := range gateways {
		balancer := New(fmt.Sprint("z", i%4), func() bootclock.Instant { return f.now })
		balancer.SetGatewayCount(gateways)
		balancer.SyncUpstreams(catalog.NewUpstreams(f.upstreams))
		f.balancers = append(f.balancers, balancer)
	}
	return f
}

// after schedules do to run after d.
func (f *fleetSimulation) after(d time.Duration, do func()) {
	heap.Push(&f.queue, simulatedEvent{f.now.Add(d), do})
}

// run runs all events in the order of their times.
func (f *fleetSimulation) run() {
	for f.queue.Len() > 0 {
		next := heap.Pop(&f.queue).(simulatedEvent)
		f.now = next.at
		next.do()
	}
}

// send sends one prompt through a random gateway.
func (f *fleetSimulation) send(n int, targetVersion int64) {
	balancer := f.balancers[f.random.IntN(len(f.balancers))]
	r := f.newRequest(n)
	r.TargetVersion = targetVersion
	choice, ok := balancer.Pick(f.upstreams, r)
	if !ok || f.objective > 0 && choice.ExpectedWaitMS > float64(f.objective)/float64(time.Millisecond) {
		return
	}
	attempt := balancer.Begin(choice, r)
	prefillTime := time.Duration(float64(f.prefillTokens(choice, r)) / f.tokensPerMS * float64(time.Millisecond))
	engine := choice.Upstream.ID
	f.freeAt[engine] = max(f.freeAt[engine], f.now).Add(prefillTime)
	prefillWait := f.freeAt[engine].Sub(f.now)
	f.waits = append(f.waits, prefillWait)
	f.after(prefillWait, func() {
		attempt.RecordFirstResponse()
		f.deliverNewestReport(balancer)
	})
	f.after(prefillWait+simulatedGenerationTime, attempt.Done)
}

// newRequest returns a request. Two thirds of the prompts are long: they share the first
// part with a quarter of the long prompts, and the second part with few. One third is
// short and has smaller parts, of which the first is shared by 1 in 40 short prompts.
func (f *fleetSimulation) newRequest(n int) *Request {
	r := testRequest("")
	r.Parts = []Part{
		{fmt.Sprint("rules", f.random.IntN(4)), 2520}, {fmt.Sprint("thing", f.random.IntN(2000)), 3780}, {fmt.Sprint("own", n), 2890},
	}
	if n%3 == 0 {
		r.Parts = []Part{
			{fmt.Sprint("style", f.random.IntN(40)), 119}, {fmt.Sprint("customer", f.random.IntN(1100)), 79}, {fmt.Sprint("own", n), 628},
		}
	}
	r.PromptTokens = 0
	for _, part := range r.Parts {
		r.PromptTokens += part.Tokens
	}
	return r
}

// prefillTokens returns the number of tokens that the engine has to prefill, which are
// those neither cached nor copied, and adds the parts to its cache.
func (f *fleetSimulation) prefillTokens(choice Choice, r *Request) int64 {
	tokens, leadingCached := r.PromptTokens, true
	for _, part := range r.Parts {
		key := choice.Upstream.ID + r.Salt(choice.Version) + part.ID
		if leadingCached = leadingCached && f.cached[key]; leadingCached {
			tokens -= part.Tokens
		}
		f.cached[key] = true
	}
	return max(0, min(tokens, r.PromptTokens)-choice.CopyTokens)
}

// deliverNewestReport delivers the newest cache report of a gateway to the others.
func (f *fleetSimulation) deliverNewestReport(from *Balancer) {
	_, next := from.CacheReportsSince(0)
	cacheReports, _ := from.CacheReportsSince(next - 1)
	f.after(simulatedReportDelay, func() {
		for _, other := range f.balancers {
			for _, cacheReport := range cacheReports {
				if other != from {
					other.ApplyCacheReport(cacheReport)
				}
			}
		}
	})
}

// sendPrompts schedules prompts at a mean rate for a duration, with exponentially
// distributed intervals.
func (f *fleetSimulation) sendPrompts(perSecond float64, duration time.Duration, targetVersion func() int64) {
	n := 0
	for at := time.Duration(0); at < duration; at += time.Duration(f.random.ExpFloat64() / perSecond * float64(time.Second)) {
		n++
		id := n
		f.after(at, func() { f.send(id, targetVersion()) })
	}
}

// fractionWithin returns the fraction of the waits that are at most d.
func (f *fleetSimulation) fractionWithin(d time.Duration) float64 {
	count := 0
	for _, wait := range f.waits {
		if wait <= d {
			count++
		}
	}
	return float64(count) / float64(len(f.waits))
}

// Of 58 engines in a large fleet two have new weights at first, and ten more get them in
// each of three steps, with empty caches. The first engines cannot serve all requests. A
// gateway that is one of many must not assume that they are idle because it has no
// requests there itself; otherwise all gateways together overload them.
func TestFirstEnginesWithNewWeightsAreNotOverloaded(t *testing.T) {
	f := newFleetSimulation(32, 58)
	const warmUp, updateInterval = 2 * time.Second, 2200 * time.Millisecond
	f.sendPrompts(493, warmUp+4*updateInterval, func() int64 {
		if f.now < bootclock.Instant(1_000_000_000_000).Add(warmUp) {
			return 1
		}
		return 2
	})
	updatedCounts := []int{2, 12, 22, 32}
	for i := range 3 {
		f.after(warmUp+time.Duration(i+1)*updateInterval, func() {
			for _, engine := range f.upstreams[updatedCounts[i]:updatedCounts[i+1]] {
				for _, balancer := range f.balancers {
					balancer.RecordVersion(engine.ID, testModel, 2)
				}
			}
		})
	}
	for _, engine := range f.upstreams[:updatedCounts[0]] {
		for _, balancer := range f.balancers {
			balancer.RecordVersion(engine.ID, testModel, 2)
		}
	}
	f.run()
	got := f.fractionWithin(500 * time.Millisecond)
	t.Logf("%d prompts, %.3f within 300 ms, %.3f within 500 ms, %.3f within 1 s", len(f.waits), f.fractionWithin(300*time.Millisecond), got, f.fractionWithin(time.Second))
	if got < 0.95 {
		t.Errorf("%.3f of the prompts had their first response within 500 ms, want at least 0.95", got)
	}
}
