package dispatch

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"github.com/greengagegate/greengagegate/store/memstore"
)

const (
	randomFleets    = 5
	callsPerFleet   = 8
	maxLostAnswers  = 3
	maxStoreLatency = 100 * time.Millisecond
)

// faultKinds are the kinds of faults that are injected into a call.
var faultKinds = []string{"agent", "paused owner", "upstream", "router"}

// TestRandomisedCalls guards against a call with an idempotency key that is
// executed twice, or whose run state is reported wrongly. At a random stage of
// each call its agent, service or router crashes, or its arbiter is paused while
// its shard moves. The store has random faults meanwhile. The call is then
// repeated through other routers at the same time.
func TestRandomisedCalls(t *testing.T) {
	soak, _ := time.ParseDuration(os.Getenv(soakEnv))
	t.Logf("seed %d", *seed)
	random := rand.New(rand.NewPCG(*seed, 0))
	start := time.Now()
	faults := 0
	for i := 0; i < randomFleets || time.Since(start) < soak; i++ {
		t.Run(fmt.Sprint(i), func(t *testing.T) { faults += makeRandomCalls(t, random) })
		if t.Failed() {
			t.Fatalf("failed with -seed %d", *seed)
		}
	}
	t.Logf("faults injected into %d calls", faults)
	if faults == 0 {
		t.Error("no fault was injected")
	}
}

// makeRandomCalls makes a few calls on a new fleet, and returns how many of them
// had a fault injected. Each fleet gets few calls, because shards that are in
// doubt after a crash refuse further keys.
func makeRandomCalls(t *testing.T, random *rand.Rand) int {
	f := newCallFleet(t)
	f.waitUntilReady()
	var faults atomic.Int64
	for i := range callsPerFleet {
		stage := callStages[random.IntN(len(callStages))]
		kind := faultKinds[random.IntN(len(faultKinds))]
		key := fmt.Sprintf("%d: %s %s", i, kind, stage)
		f.store.SetFaults(storeFaults(random))
		results := f.callWithFault(stage, key, func(cancel context.CancelFunc, agent string) {
			faults.Add(1)
			f.injectKind(kind, agent, cancel)
		})
		f.store.SetFaults(memstore.Faults{})
		f.clearFault()
		f.checkExecutions(key, append(results, f.call(t.Context(), f.newCaller(), key)))
	}
	return int(faults.Load())
}

// storeFaults returns random faults for the store's operations during one call.
func storeFaults(random *rand.Rand) memstore.Faults {
	switch random.IntN(3) {
	case 0:
		return memstore.Faults{LoseAnswers: 1 + random.IntN(maxLostAnswers)}
	case 1:
		return memstore.Faults{Latency: time.Duration(random.Int64N(int64(maxStoreLatency)))}
	default:
		return memstore.Faults{}
	}
}

// injectKind injects a fault of the given kind into the call that the agent makes.
func (f *callFleet) injectKind(kind, agent string, cancelCall context.CancelFunc) {
	switch kind {
	case "agent":
		f.crash(agent)
	case "paused owner":
		f.mu.Lock()
		f.ownerPaused = true
		f.mu.Unlock()
		f.crash(agent)
	case "upstream":
		f.mu.Lock()
		f.crashService = true
		f.mu.Unlock()
	case "router":
		cancelCall()
	}
}

// clearFault removes the fault that was set, injected or not, and its effects on
// later calls.
func (f *callFleet) clearFault() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faultStage, f.injectFault, f.crashService, f.ownerPaused = "", nil, false, false
}
