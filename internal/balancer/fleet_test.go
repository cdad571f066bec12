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

// happening is something at a time of the replay.
type happening struct {
	at bootclock.Instant
	do func()
}

type agenda []happening

func (a agenda) Len() int           { return len(a) }
func (a agenda) Less(i, k int) bool { return a[i].at < a[k].at }
func (a agenda) Swap(i, k int)      { a[i], a[k] = a[k], a[i] }
func (a *agenda) Push(x any)        { *a = append(*a, x.(happening)) }
func (a *agenda) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// fleetReplay is a fleet of gateways, each with a choice of its own, before engines
// that read one prompt after another.
type fleetReplay struct {
	now       bootclock.Instant
	agenda    agenda
	random    *rand.Rand
	balancers []*Balancer
	list      []*catalog.Upstream
	freeAt    map[string]bootclock.Instant
	cached    map[string]bool
	waits     []time.Duration
}

const (
	replayTokensPerMS = 112
	// replayAnswer is how long a request runs after its first event.
	replayAnswer = 200 * time.Millisecond
	// replayNews is how long a reading takes to reach the other gateways.
	replayNews = 500 * time.Millisecond
)

func newFleetReplay(gateways, engines int) *fleetReplay {
	f := &fleetReplay{
		now: 1_000_000_000_000, random: rand.New(rand.NewPCG(3, 4)),
		freeAt: make(map[string]bootclock.Instant), cached: make(map[string]bool),
	}
	for i := range engines {
		f.list = append(f.list, &catalog.Upstream{
			ID: fmt.Sprintf("e%02d", i), Address: fmt.Sprintf("10.0.0.%d:1", i), Zone: fmt.Sprint("z", i%4), Capacity: 128,
			StartedMillis: 1, ModelVersions: map[string]int64{testModel: 1},
		})
	}
	for i := range gateways {
		balancer := New(fmt.Sprint("z", i%4), func() bootclock.Instant { return f.now })
		balancer.SetGatewayCount(gateways)
		balancer.Retain(catalog.NewUpstreams(f.list))
		f.balancers = append(f.balancers, balancer)
	}
	return f
}

func (f *fleetReplay) after(d time.Duration, do func()) {
	heap.Push(&f.agenda, happening{f.now.Add(d), do})
}

func (f *fleetReplay) run() {
	for f.agenda.Len() > 0 {
		next := heap.Pop(&f.agenda).(happening)
		f.now = next.at
		next.do()
	}
}

// request sends one prompt through a gateway.
func (f *fleetReplay) request(n int, wanted int64) {
	balancer := f.balancers[f.random.IntN(len(f.balancers))]
	r := f.prompt(n)
	r.TargetVersion = wanted
	choice, ok := balancer.Pick(f.list, r)
	if !ok {
		return
	}
	attempt := balancer.Begin(choice, r)
	took := time.Duration(float64(f.missing(choice, r)) / replayTokensPerMS * float64(time.Millisecond))
	engine := choice.Upstream.ID
	f.freeAt[engine] = max(f.freeAt[engine], f.now).Add(took)
	wait := f.freeAt[engine].Sub(f.now)
	f.waits = append(f.waits, wait)
	f.after(wait, func() {
		attempt.RecordFirstResponse()
		f.tell(balancer)
	})
	f.after(wait+replayAnswer, attempt.Done)
}

// prompt is a long one that shares its first part with a quarter of the others, and
// the second with few; one in three is short.
func (f *fleetReplay) prompt(n int) *Request {
	r := request("")
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

// missing is the number of tokens that the engine really reads.
func (f *fleetReplay) missing(choice Choice, r *Request) int64 {
	tokens, all := r.PromptTokens, true
	for _, part := range r.Parts {
		key := choice.Upstream.ID + r.Salt(choice.Version) + part.ID
		if all = all && f.cached[key]; all {
			tokens -= part.Tokens
		}
		f.cached[key] = true
	}
	return max(0, min(tokens, r.PromptTokens)-choice.CopyTokens)
}

// tell brings a gateway's newest reading to the others.
func (f *fleetReplay) tell(from *Balancer) {
	_, next := from.CacheReportsSince(0)
	cacheReports, _ := from.CacheReportsSince(next - 1)
	f.after(replayNews, func() {
		for _, other := range f.balancers {
			for _, cacheReport := range cacheReports {
				if other != from {
					other.ApplyCacheReport(cacheReport)
				}
			}
		}
	})
}

// load sends prompts at a rate for a time.
func (f *fleetReplay) load(perSecond float64, length time.Duration, wanted func() int64) {
	n := 0
	for at := time.Duration(0); at < length; at += time.Duration(f.random.ExpFloat64() / perSecond * float64(time.Second)) {
		n++
		id := n
		f.after(at, func() { f.request(id, wanted()) })
	}
}

// within returns the part of the waits that are at most d.
func (f *fleetReplay) within(d time.Duration) float64 {
	count := 0
	for _, wait := range f.waits {
		if wait <= d {
			count++
		}
	}
	return float64(count) / float64(len(f.waits))
}

// Two engines join a large fleet with new weights, then sixth by sixth the others
// get them, and hold nothing then. The first ones can't carry all requests: a gateway that is one of many
// must not take them for free because it has itself nothing there.
func TestFirstEnginesWithNewWeightsAreNotOverrun(t *testing.T) {
	f := newFleetReplay(32, 58)
	const warmUp, pause = 2 * time.Second, 2200 * time.Millisecond
	f.load(493, warmUp+4*pause, func() int64 {
		if f.now < bootclock.Instant(1_000_000_000_000).Add(warmUp) {
			return 1
		}
		return 2
	})
	ready := []int{2, 12, 22, 32}
	for i := range 3 {
		f.after(warmUp+time.Duration(i+1)*pause, func() {
			for _, engine := range f.list[ready[i]:ready[i+1]] {
				for _, balancer := range f.balancers {
					balancer.RecordVersion(engine.ID, testModel, 2)
				}
			}
		})
	}
	for _, engine := range f.list[:ready[0]] {
		for _, balancer := range f.balancers {
			balancer.RecordVersion(engine.ID, testModel, 2)
		}
	}
	f.run()
	got := f.within(500 * time.Millisecond)
	t.Logf("%d prompts, %.3f within 300 ms, %.3f within 500 ms, %.3f within 1 s", len(f.waits), f.within(300*time.Millisecond), got, f.within(time.Second))
	if got < 0.95 {
		t.Errorf("%.3f of the prompts have their first event within 500 ms, want 0.95", got)
	}
}
