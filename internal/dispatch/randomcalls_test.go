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
	randomWorlds    = 5
	randomCalls     = 8
	maxLostAnswers  = 3
	maxStoreLatency = 100 * time.Millisecond
)

// strikes are what may end while a call is at a point of its life.
var strikes = []string{"agent", "paused owner", "upstream", "router"}

// TestRandomisedCalls makes calls whose agent, upstream or router crashes, or
// whose arbiter is paused while its shard moves, at random points and with
// random faults of the store, and repeats them at once through other routers.
func TestRandomisedCalls(t *testing.T) {
	soak, _ := time.ParseDuration(os.Getenv(soakEnv))
	t.Logf("seed %d", *seed)
	random := rand.New(rand.NewPCG(*seed, 0))
	began := time.Now()
	struck := 0
	for number := 0; number < randomWorlds || time.Since(began) < soak; number++ {
		t.Run(fmt.Sprint(number), func(t *testing.T) { struck += randomCallsOn(t, random) })
		if t.Failed() {
			t.Fatalf("failed with -seed %d", *seed)
		}
	}
	t.Logf("%d calls struck", struck)
	if struck == 0 {
		t.Error("nothing was struck")
	}
}

// randomCallsOn makes a few calls on agents of their own, since shards that are
// in doubt after a crash refuse further keys. It returns how many were struck.
func randomCallsOn(t *testing.T, random *rand.Rand) int {
	w := newCallFleet(t)
	w.warm()
	var struck atomic.Int64
	for i := range randomCalls {
		at := points[random.IntN(len(points))]
		victim := strikes[random.IntN(len(strikes))]
		key := fmt.Sprintf("%d: %s %s", i, victim, at)
		w.store.SetFaults(storeFaults(random))
		replies := w.injectAt(at, key, func(cancel context.CancelFunc, agent string) {
			struck.Add(1)
			w.hit(victim, agent, cancel)
		})
		w.store.SetFaults(memstore.Faults{})
		w.calm()
		w.check(key, append(replies, w.call(t.Context(), w.router(), key)))
	}
	return int(struck.Load())
}

// storeFaults returns faults that the claim of a key meets.
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

func (w *callFleet) hit(victim, agent string, leave context.CancelFunc) {
	switch victim {
	case "agent":
		w.crash(agent)
	case "paused owner":
		w.mu.Lock()
		w.paused = true
		w.mu.Unlock()
		w.crash(agent)
	case "upstream":
		w.mu.Lock()
		w.upstream = true
		w.mu.Unlock()
	case "router":
		leave()
	}
}

// calm ends what an injected fault left behind.
func (w *callFleet) calm() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.at, w.inject, w.upstream, w.paused = "", nil, false, false
}
