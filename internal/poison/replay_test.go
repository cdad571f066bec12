package poison

import (
	"container/heap"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/greengagegate/greengagegate/internal/bootclock"
)

const (
	replayParts    = 610
	poisonFrom     = 2 * time.Second
	poisonKey      = Key("poison")
	convictionTime = 3 * time.Second // after the fifth crash
	lossRatio      = 0.2
	repeatRatio    = 0.05
)

// replaySeeds is the number of seeds that are played of each pattern.
var replaySeeds = flag.Int("seeds", 24, "seeds of each replayed pattern")

// fleetSize is the size of a fleet and of its load.
type fleetSize struct {
	gateways, engines int
	// soundInterval and poisonInterval are the mean times between requests of either kind.
	soundInterval, poisonInterval time.Duration
	// exchangeInterval is the pause between two reports of a gateway to its peers.
	exchangeInterval time.Duration
}

var (
	smallFleet = fleetSize{5, 18, time.Second / 210, time.Second * 2 / 3, 250 * time.Millisecond}
	largeFleet = fleetSize{60, 120, time.Second / 900, time.Second / 2, 900 * time.Millisecond}
)

// pattern is a load pattern.
type pattern struct {
	name string
	fleetSize
	// stream selects the random numbers, besides the seed.
	stream uint64
	// poisonPosition is the position of the poison part, or -1 for none.
	poisonPosition int
	// hotRatio is the ratio of the requests that share one second part.
	hotRatio float64
	// massCrashes are the times at which half of the engines crash.
	massCrashes []time.Duration
	// crashInterval is the mean time between crashes of single engines; 0 means none.
	crashInterval time.Duration
	duration      time.Duration
}

// event is an action of the replay.
type event struct {
	at  time.Duration
	run func()
}

type eventQueue []event

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(e any)        { *q = append(*q, e.(event)) }
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	*q = (*q)[:last]
	return e
}

// flight is a request at an engine.
type flight struct {
	gateway int
	keys    []Key
	sentAt  bootclock.Instant
	lost    bool
}

type replayEngine struct {
	startedMillis int64
	down          bool
	flights       []*flight
}

// replay plays a pattern on several trackers with a simulated clock.
type replay struct {
	pattern    pattern
	random     *rand.Rand
	time       time.Duration
	queue      eventQueue
	trackers   []*Tracker
	engines    []*replayEngine
	requests   int
	crashes    []time.Duration // of the poison
	convicted  []time.Duration // by gateway; 0 means not yet
	soundFound map[Key]bool
	// resend is called with each request that was lost in a crash, when its gateway has
	// recorded it.
	resend func(f *flight)
}

func newReplay(p pattern, seed uint64) *replay {
	r := &replay{pattern: p, random: rand.New(rand.NewPCG(seed, p.stream)), convicted: make([]time.Duration, p.gateways), soundFound: make(map[Key]bool)}
	for range p.gateways {
		r.trackers = append(r.trackers, New(Options{Now: r.now}))
	}
	for range p.engines {
		r.engines = append(r.engines, &replayEngine{startedMillis: 1})
	}
	r.resend = r.resendHalf
	return r
}

func (r *replay) now() bootclock.Instant { return bootclock.Instant(time.Hour + r.time) }

func (r *replay) after(d time.Duration, run func()) {
	heap.Push(&r.queue, event{at: r.time + d, run: run})
}

// exponential returns an exponentially distributed time with this mean.
func (r *replay) exponential(mean time.Duration) time.Duration {
	return time.Duration(r.random.ExpFloat64() * float64(mean))
}

func (r *replay) uniform(from, to time.Duration) time.Duration {
	return from + time.Duration(r.random.Int64N(int64(to-from)))
}

// every runs an action at the times of a Poisson process.
func (r *replay) every(mean time.Duration, run func()) {
	r.after(r.exponential(mean), func() {
		run()
		r.every(mean, run)
	})
}

func (r *replay) run() {
	r.every(r.pattern.soundInterval, r.sendSound)
	if r.pattern.poisonPosition >= 0 {
		r.after(poisonFrom, func() { r.every(r.pattern.poisonInterval, r.sendPoison) })
	}
	for _, at := range r.pattern.massCrashes {
		r.after(at, func() {
			for _, i := range r.random.Perm(r.pattern.engines)[:r.pattern.engines/2] {
				r.after(r.uniform(0, 30*time.Millisecond), func() { r.crash(i) })
			}
		})
	}
	if r.pattern.crashInterval > 0 {
		r.every(r.pattern.crashInterval, func() { r.crash(r.random.IntN(r.pattern.engines)) })
	}
	for gateway := range r.trackers {
		r.after(r.uniform(0, r.pattern.exchangeInterval), func() { r.exchange(gateway) })
	}
	r.observe()
	r.playUntilEnd()
}

// playUntilEnd runs the events up to the end of the pattern.
func (r *replay) playUntilEnd() {
	for r.time < r.pattern.duration {
		e := heap.Pop(&r.queue).(event)
		r.time = e.at
		e.run()
	}
}

// exchange sends a gateway's report to its peers, where it may be lost or repeated.
func (r *replay) exchange(gateway int) {
	report := r.trackers[gateway].Report()
	for peer, tracker := range r.trackers {
		if peer == gateway || r.random.Float64() < lossRatio {
			continue
		}
		r.after(r.uniform(time.Millisecond, 30*time.Millisecond), func() { tracker.Apply(report) })
		if r.random.Float64() < repeatRatio {
			r.after(r.uniform(0, time.Second), func() { tracker.Apply(report) })
		}
	}
	r.after(r.pattern.exchangeInterval, func() { r.exchange(gateway) })
}

// keys returns the keys of a new request with these first two parts.
func (r *replay) keys(first, second Key) []Key {
	r.requests++
	return []Key{first, second, Key(fmt.Sprintf("last%d", r.requests)), Key(fmt.Sprintf("whole%d", r.requests))}
}

// soundParts draws the first two parts of a sound request.
func (r *replay) soundParts() (first, second Key) {
	part := 0
	if r.random.Float64() >= r.pattern.hotRatio {
		// The square makes low numbers popular and high ones rare.
		x := r.random.Float64()
		part = int(x * x * replayParts)
	}
	return Key(fmt.Sprintf("first%d", part%4)), Key(fmt.Sprintf("second%d", part))
}

func (r *replay) sendSound() {
	f := &flight{gateway: r.random.IntN(r.pattern.gateways), keys: r.keys(r.soundParts())}
	r.send(f)
}

// send sends a sound request to the less loaded of two engines.
func (r *replay) send(f *flight) {
	engine := r.place(f)
	if engine == nil {
		return
	}
	r.after(150*time.Millisecond+r.exponential(650*time.Millisecond), func() {
		if f.lost {
			return
		}
		engine.flights = slices.DeleteFunc(engine.flights, func(other *flight) bool { return other == f })
		r.trackers[f.gateway].RecordCompletion(f.keys, f.sentAt)
	})
}

// sendPoison sends a poison request, unless its gateway refuses it.
func (r *replay) sendPoison() {
	first, second := r.soundParts()
	if r.pattern.poisonPosition == 0 {
		first = poisonKey
	} else {
		second = poisonKey
	}
	f := &flight{gateway: r.random.IntN(r.pattern.gateways), keys: r.keys(first, second)}
	if key, _ := r.trackers[f.gateway].Convicted(f.keys); key != "" {
		return
	}
	engine := r.place(f)
	if engine == nil {
		return
	}
	r.after(r.uniform(90*time.Millisecond, 250*time.Millisecond), func() {
		if !f.lost {
			r.crashes = append(r.crashes, r.time)
			r.crash(slices.Index(r.engines, engine))
		}
	})
}

// place puts a request on an engine and returns it, or nil if none is there.
func (r *replay) place(f *flight) *replayEngine {
	var best *replayEngine
	for _, i := range r.random.Perm(r.pattern.engines)[:min(4, r.pattern.engines)] {
		e := r.engines[i]
		if !e.down && (best == nil || len(e.flights) < len(best.flights)) {
			best = e
		}
	}
	if best != nil {
		f.sentAt, f.lost = r.now(), false
		best.flights = append(best.flights, f)
	}
	return best
}

// crash ends an engine.
func (r *replay) crash(i int) {
	e := r.engines[i]
	if e.down {
		return
	}
	started, flights := e.startedMillis, e.flights
	e.down, e.flights = true, nil
	for _, f := range flights {
		f.lost = true
		r.after(r.uniform(time.Millisecond, 20*time.Millisecond), func() {
			r.trackers[f.gateway].RecordCrash(fmt.Sprint("engine", i), started, f.keys)
			r.resend(f)
		})
	}
	r.after(r.uniform(3*time.Second, 4*time.Second), func() {
		e.down, e.startedMillis = false, started+r.time.Milliseconds()
	})
}

// resendHalf sends half of the sound requests once more.
func (r *replay) resendHalf(f *flight) {
	if !slices.Contains(f.keys, poisonKey) && r.random.IntN(2) == 0 {
		r.send(&flight{gateway: f.gateway, keys: f.keys})
	}
}

// observe notes the convictions every 20 ms.
func (r *replay) observe() {
	for gateway, tracker := range r.trackers {
		ends := tracker.convicted.Load()
		if ends == nil {
			continue
		}
		for key := range *ends {
			if key != poisonKey {
				r.soundFound[key] = true
			} else if r.convicted[gateway] == 0 {
				r.convicted[gateway] = r.time
			}
		}
	}
	r.after(20*time.Millisecond, r.observe)
}

// slowest returns the time from the fifth crash of the poison to its conviction at the
// last gateway. It is negative if the conviction came first.
func (r *replay) slowest() time.Duration {
	if len(r.crashes) < 5 {
		return -time.Second
	}
	if slices.Contains(r.convicted, 0) {
		return r.pattern.duration
	}
	return slices.Max(r.convicted) - r.crashes[4]
}

func TestReplayConvictsThePoisonAndNothingElse(t *testing.T) {
	const duration = 16 * time.Second
	for _, p := range []pattern{
		{name: "poison in the second position", fleetSize: smallFleet, stream: 1, poisonPosition: 1, duration: duration},
		{name: "rare poison in the first position", fleetSize: smallFleet, stream: 2, poisonPosition: 0, duration: duration},
		{name: "hot part and poison", fleetSize: smallFleet, stream: 3, poisonPosition: 1, hotRatio: 0.28, duration: duration},
		{name: "mass crash twice", fleetSize: smallFleet, stream: 4, poisonPosition: -1, massCrashes: []time.Duration{3 * time.Second, 6 * time.Second}, duration: duration},
		{name: "poison in a large fleet", fleetSize: largeFleet, stream: 6, poisonPosition: 1, duration: duration},
		{name: "single crashes", fleetSize: smallFleet, stream: 5, poisonPosition: -1, crashInterval: 2 * time.Second, duration: 2 * duration},
	} {
		t.Run(strings.ReplaceAll(p.name, " ", "_"), func(t *testing.T) {
			var mu sync.Mutex
			var slowest []time.Duration
			var crashes []int
			t.Run("seeds", func(t *testing.T) {
				for seed := range uint64(*replaySeeds) {
					t.Run(fmt.Sprint(seed), func(t *testing.T) {
						t.Parallel()
						r := newReplay(p, seed)
						r.run()
						if len(r.soundFound) > 0 {
							t.Errorf("sound keys convicted: %v", r.soundFound)
						}
						if p.poisonPosition < 0 {
							return
						}
						if r.slowest() > convictionTime {
							t.Errorf("poison convicted %v after its fifth crash, want at most %v; crashes at %v", r.slowest(), convictionTime, r.crashes)
						}
						if slices.Contains(r.convicted, 0) && len(r.crashes) >= 5 {
							t.Errorf("poison convicted at %v (by gateway, 0 means never)", r.convicted)
						}
						mu.Lock()
						defer mu.Unlock()
						slowest = append(slowest, r.slowest())
						crashes = append(crashes, len(r.crashes))
					})
				}
			})
			if len(slowest) > 0 {
				slices.Sort(slowest)
				slices.Sort(crashes)
				t.Logf("conviction after the fifth crash: median %v, max %v; crashes: median %d, max %d",
					slowest[len(slowest)/2], slowest[len(slowest)-1], crashes[len(crashes)/2], crashes[len(crashes)-1])
			}
		})
	}
}
