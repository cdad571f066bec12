package balancer

import (
	"testing"
	"time"

	"github.com/greengagegate/greengagegate/internal/bootclock"
	"github.com/greengagegate/greengagegate/internal/catalog"
)

// testStalenessLimit is how long after a newer version older weights may be used.
const testStalenessLimit = 7 * time.Second

// requestWithTarget returns a request for a model whose version 2 became known at an
// instant, so that version 1 is too old testStalenessLimit later.
func requestWithTarget(knownSince bootclock.Instant) *Request {
	versions := catalog.New()
	versions.SetTargetVersions(map[string]int64{testModel: 1}, knownSince)
	versions.SetTargetVersions(map[string]int64{testModel: 2}, knownSince)
	target := versions.TargetVersion(testModel)
	r := testRequest("x")
	r.TargetVersion = 2
	r.MinVersion = func(begin bootclock.Instant) int64 { return target.MinVersion(begin, testStalenessLimit) }
	return r
}

// Load pattern: the orders to load new weights are carried out late, and requests gather at
// the engines that serve. A request that is sent to an engine with older weights shortly
// before these become too old waits in the engine's queue for 1.2 s and begins when they
// are. Such an engine must be excluded that much earlier, also while no request of this
// gateway has got through its queue yet.
func TestOldWeightsAreExcludedBeforeTheQueueDelay(t *testing.T) {
	const queueDelay = 1200 * time.Millisecond
	canPick := func(f *testFleet, knownSince bootclock.Instant, age time.Duration) bool {
		f.now = knownSince.Add(age)
		_, ok := f.balancer.Pick(f.upstreams, requestWithTarget(knownSince))
		return ok
	}
	for name, waitThroughQueue := range map[string]func(f *testFleet, a *Attempt){
		"observed": func(f *testFleet, a *Attempt) {
			f.now = f.now.Add(queueDelay)
			a.RecordFirstResponse()
			a.Done()
		},
		"pending": func(f *testFleet, _ *Attempt) { f.now = f.now.Add(queueDelay) },
	} {
		t.Run(name, func(t *testing.T) {
			f := newTestFleet(1)
			knownSince := f.now.Add(-5600 * time.Millisecond)
			if !canPick(f, knownSince, 5600*time.Millisecond) {
				t.Fatal("an engine without a queue is excluded 1.4 s before its weights are too old")
			}
			_, attempt := f.begin(t, requestWithTarget(knownSince))
			waitThroughQueue(f, attempt)
			if canPick(f, knownSince, 6800*time.Millisecond) {
				t.Error("an engine with a queue of 1.2 s is picked 200 ms before its weights are too old")
			}
		})
	}
}

// A start delay says nothing about a later incarnation, and stops counting when it is old.
func TestStartDelayExpires(t *testing.T) {
	f := newTestFleet(1)
	_, attempt := f.begin(t, testRequest("x"))
	f.now = f.now.Add(3 * time.Second)
	attempt.RecordFirstResponse()
	state := f.balancer.stateFor("e00")
	if got := state.startDelay.estimate(f.now); got != 3*time.Second {
		t.Errorf("estimated delay is %v, want 3s", got)
	}
	if got := state.startDelay.estimate(f.now.Add(startDelayValidity)); got != 0 {
		t.Errorf("estimated delay is %v after the validity, want 0", got)
	}
	state.reset(2, f.now)
	if got := state.startDelay.estimate(f.now); got != 0 {
		t.Errorf("estimated delay of a new incarnation is %v, want 0", got)
	}
}
