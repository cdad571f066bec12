package balancer

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/greengagegate/greengagegate/internal/catalog"
	"github.com/greengagegate/greengagegate/internal/sizesplit"
)

// promptKind is a kind of prompts in a replay.
type promptKind struct {
	class                   sizesplit.Class
	perSecond               float64
	objective               time.Duration
	priority                int
	general, topic, own     float64
	generals, topics        int
	ownSpread, maxOwn, rare float64
	output                  float64
}

var (
	shortPrompts = promptKind{
		class: sizesplit.Short, perSecond: 243, objective: 400 * time.Millisecond,
		general: 119, generals: 40, topic: 79, topics: 1100, own: 628, ownSpread: 0.4, maxOwn: 1500, output: 58,
	}
	longPrompts = promptKind{
		class: sizesplit.Long, perSecond: 67, objective: 1500 * time.Millisecond, priority: 2,
		general: 2520, generals: 4, topic: 3780, rare: 0.4, topics: 40, own: 2890, ownSpread: 1, maxOwn: 39_600, output: 58,
	}
)

// tally counts the requests of a class that arrived at gateways of a zone in a second. large
// counts the prompts of 10,000 or more tokens of their own, and largeServed those among them
// that got a response.
type tally struct{ owed, inTime, large, largeServed int }

// tallyKey identifies a tally.
type tallyKey struct {
	second int
	class  sizesplit.Class
	zone   string
}

// splitReplay replays prompts at modelled engines through gateways with their own meters.
type splitReplay struct {
	*fleetSimulation
	engines map[string]*modelEngine
	tallies map[tallyKey]*tally
	sent    int
}

func newSplitReplay(gateways, engines int, seed uint64, split bool) *splitReplay {
	r := &splitReplay{fleetSimulation: newFleetSimulation(gateways, engines), engines: make(map[string]*modelEngine), tallies: make(map[tallyKey]*tally)}
	r.random = rand.New(rand.NewPCG(seed, 1))
	for _, upstream := range r.upstreams {
		upstream.Pool, upstream.Capacity = "pool", modelSlots
		r.engines[upstream.ID] = &modelEngine{f: r.fleetSimulation, cacheTokens: make(map[string]float64)}
	}
	for _, b := range r.balancers {
		if split {
			b.EnableSizeSplit()
		}
		b.SyncUpstreams(catalog.NewUpstreams(r.upstreams))
	}
	return r
}

// prompt returns a prompt of a kind.
func (r *splitReplay) prompt(kind *promptKind) *Request {
	r.sent++
	own := kind.own * math.Exp(kind.ownSpread*r.random.NormFloat64()-kind.ownSpread*kind.ownSpread/2)
	request := testRequest("")
	topic := fmt.Sprint(kind.class, "topic", r.random.IntN(kind.topics))
	if r.random.Float64() < kind.rare {
		topic = fmt.Sprint("rare", r.sent)
	}
	request.CacheTokens, request.Objective, request.Priority = int64(math.Round(modelMemory)), kind.objective, kind.priority
	request.Parts = []Part{
		{fmt.Sprint(kind.class, "general", r.random.IntN(kind.generals)), int64(kind.general * tokenScale)},
		{topic, int64(kind.topic * tokenScale)},
		{fmt.Sprint("own", r.sent), int64(min(own, kind.maxOwn) * tokenScale)},
	}
	request.PromptTokens = totalTokens(request.Parts)
	return request
}

// send sends one prompt through a random gateway. Like a gateway, it rejects a request whose
// expected wait exceeds the objective.
func (r *splitReplay) send(kind *promptKind) {
	b := r.balancers[r.random.IntN(len(r.balancers))]
	request := r.prompt(kind)
	key := tallyKey{int(r.now.Sub(modelStart) / time.Second), kind.class, b.zone}
	count, ok := r.tallies[key]
	if !ok {
		count = &tally{}
		r.tallies[key] = count
	}
	count.owed++
	isLarge := float64(request.Parts[2].Tokens) >= 10_000*tokenScale
	if isLarge {
		count.large++
	}
	choice, ok := b.Pick(r.upstreams, request)
	if !ok || choice.ExpectedWaitMS > float64(kind.objective/time.Millisecond) {
		return
	}
	arrived, attempt, engine := r.now, b.Begin(choice, request), r.engines[choice.Upstream.ID]
	cached := engine.use(request) + float64(choice.CopyTokens)
	copyTime := time.Duration(float64(choice.CopyTokens) / copyTokensPerMS * float64(time.Millisecond))
	modelled := &modelRequest{
		priority: kind.priority, missing: max(1, float64(request.PromptTokens)-cached), output: kind.output,
		memory: float64(request.PromptTokens) + kind.output*tokenScale, onDone: attempt.Done,
		onFirst: func() {
			attempt.RecordFirstResponse()
			r.deliverNewestReport(b)
			if r.now.Sub(arrived) <= kind.objective {
				count.inTime++
			}
			if isLarge {
				count.largeServed++
			}
		},
	}
	r.after(copyTime, func() { engine.add(modelled) })
}

// arrive schedules prompts of a kind from start to end, at a multiple of the usual rate.
func (r *splitReplay) arrive(kind *promptKind, multiple float64, start, end time.Duration) {
	for at := start; at < end; at += time.Duration(r.random.ExpFloat64() / (kind.perSecond * multiple) * float64(time.Second)) {
		r.after(at, func() { r.send(kind) })
	}
}

// total sums the tallies of a class from one second to another, of one zone unless it is empty.
func (r *splitReplay) total(class sizesplit.Class, zone string, from, to int) tally {
	var sum tally
	for key, count := range r.tallies {
		if key.class == class && key.second >= from && key.second < to && (zone == "" || key.zone == zone) {
			sum = tally{sum.owed + count.owed, sum.inTime + count.inTime, sum.large + count.large, sum.largeServed + count.largeServed}
		}
	}
	return sum
}

// replaySurge returns the fractions of short and long prompts in time in a surge of long ones,
// of those that arrive from a second after its start on, when queues have formed.
func replaySurge(gateways int, split bool) (short, long float64) {
	const seeds = 3
	for seed := range uint64(seeds) {
		r := newSplitReplay(gateways, 42, seed, split)
		r.arrive(&shortPrompts, 1, 0, 14*time.Second)
		r.arrive(&longPrompts, 1, 0, 8*time.Second)
		r.arrive(&longPrompts, 2.6, 8*time.Second, 13*time.Second)
		r.arrive(&longPrompts, 1, 13*time.Second, 14*time.Second)
		r.run()
		shorts, longs := r.total(sizesplit.Short, "", 9, 13), r.total(sizesplit.Long, "", 9, 13)
		short += float64(shorts.inTime) / float64(shorts.owed) / seeds
		long += float64(longs.inTime) / float64(longs.owed) / seeds
	}
	return short, long
}

// surgeShares holds the fractions of prompts in time without and with the split.
type surgeShares struct{ shortBefore, longBefore, short, long float64 }

// compareSurge replays a surge without and with the split.
func compareSurge(t *testing.T, gateways int) surgeShares {
	t.Helper()
	shortBefore, longBefore := replaySurge(gateways, false)
	short, long := replaySurge(gateways, true)
	t.Logf("%d gateways: in time without the split %.3f of the short and %.3f of the long prompts, with it %.3f and %.3f", gateways, shortBefore, longBefore, short, long)
	return surgeShares{shortBefore, longBefore, short, long}
}

// In a surge of long prompts the short ones must stay in time. Without the split too many of
// them wait behind long ones.
func TestShortPromptsStayInTimeInASurgeOfLongOnes(t *testing.T) {
	got := compareSurge(t, 64)
	if got.short < 0.85 {
		t.Errorf("%.3f of the short prompts in time, want at least 0.85", got.short)
	}
	if got.shortBefore >= 0.85 {
		t.Errorf("%.3f of the short prompts in time without the split; the replay guards against nothing", got.shortBefore)
	}
}

// The split must not cost long prompts anything in a surge, in large and smaller fleets.
func TestLongPromptsLoseNothingInASurge(t *testing.T) {
	for _, gateways := range []int{16, 64} {
		if got := compareSurge(t, gateways); got.long < got.longBefore {
			t.Errorf("%d gateways: %.3f of the long prompts in time, want no fewer than without the split (%.3f)", gateways, got.long, got.longBefore)
		}
	}
}

// A quarter of the engines is lost and comes back. No class, zone or large prompt may starve,
// and the parts must neither jump nor swing while the load is constant.
func TestSplitThroughTheLossOfEngines(t *testing.T) {
	const lost, back, end = 15, 22, 35
	r := newSplitReplay(16, 56, 1, true)
	r.arrive(&shortPrompts, 1, 0, end*time.Second)
	r.arrive(&longPrompts, 1, 0, end*time.Second)
	for i, upstream := range r.upstreams {
		if i%4 != 1 {
			continue
		}
		r.after(lost*time.Second, func() {
			r.engines[upstream.ID].stop()
			for _, b := range r.balancers {
				b.stateFor(upstream.ID).unreachable = true
			}
		})
		r.after(back*time.Second, func() {
			r.engines[upstream.ID].isOff = false
			for _, b := range r.balancers {
				b.MarkReachable(upstream.ID)
			}
		})
	}
	var sizes []int
	for second := 5; second < end; second++ {
		r.after(time.Duration(second)*time.Second, func() {
			sizes = append(sizes, r.balancers[0].SplitStatuses()[0].Counts[sizesplit.PartShort])
		})
	}
	r.run()
	for zone := range 4 {
		for class := range sizesplit.ClassCount {
			all, after := r.total(class, fmt.Sprint("z", zone), 3, end), r.total(class, fmt.Sprint("z", zone), back, end)
			if float64(all.inTime) < 0.85*float64(all.owed) || float64(after.inTime) < 0.85*float64(after.owed) {
				t.Errorf("zone %d, class %v: in all %+v, after the return %+v, want 0.85 in time", zone, class, all, after)
			}
		}
	}
	if before, after := r.total(sizesplit.Long, "", 0, lost-2), r.total(sizesplit.Long, "", lost, end); before.largeServed < before.large || after.largeServed < after.large {
		t.Errorf("large prompts starve: %+v before the loss, %+v from then on", before, after)
	}
	changes := 0
	for i := 1; i < len(sizes); i++ {
		if sizes[i] != sizes[i-1] {
			changes++
		}
		if step := sizes[i] - sizes[i-1]; step < -1 || step > 1 {
			t.Errorf("the short part changed by %d engines in a second, want at most 1: %v", step, sizes)
		}
	}
	if changes > end/4 {
		t.Errorf("the short part changed %d times in %d s of constant load: %v", changes, end, sizes)
	}
}

// A pool that has only short prompts, and any pool by default, is not divided.
func TestNoSplitWithoutLongPrompts(t *testing.T) {
	r := newSplitReplay(2, 8, 1, true)
	r.arrive(&shortPrompts, 0.2, 0, 5*time.Second)
	r.run()
	if status := r.balancers[0].SplitStatuses()[0]; status.Counts != (sizesplit.Counts{sizesplit.PartShared: 8}) {
		t.Errorf("got %+v, want 8 shared engines", status)
	}
	if off := newSplitReplay(2, 8, 1, false).balancers[0].SplitStatuses(); len(off) != 0 {
		t.Errorf("got %+v although the split is off", off)
	}
}
