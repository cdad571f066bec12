package once

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/greengagegate/greengagegate/store"
	"github.com/greengagegate/greengagegate/store/memstore"
)

var seed = flag.Int64("seed", 1, "seed of the first randomised run")

const (
	// soakEnv names the environment variable that holds the wall time for which
	// randomised runs are repeated.
	soakEnv = "GREENGAGE_SOAK"

	// randomRuns is the number of runs when soakEnv asks for no more.
	randomRuns    = 6
	randomRunTime = 4 * time.Minute
	randomCallers = 12
	// keyRepeatTime bounds the time during which a caller repeats a key. It is shorter
	// than testHorizon, so that the owner still remembers the key.
	keyRepeatTime = 40 * time.Second
	randomShards  = 4
	maxPauseTime  = 30 * time.Second
	// maxOutagePhase bounds each half of a store outage, before and after a restart.
	maxOutagePhase    = 4 * time.Second
	maxFaultInterval  = 4 * time.Second
	maxCallLatency    = 2 * time.Second
	maxRepeatInterval = 4 * time.Second
)

// pauseGate simulates a paused process: wait blocks while the gate is paused.
type pauseGate struct {
	mu sync.Mutex
	// resumed is closed while the process is not paused.
	resumed chan struct{}
}

func newPauseGate() *pauseGate {
	g := &pauseGate{resumed: make(chan struct{})}
	close(g.resumed)
	return g
}

func (g *pauseGate) pause() (resume func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	resumed := make(chan struct{})
	g.resumed = resumed
	return func() { close(resumed) }
}

func (g *pauseGate) wait() {
	g.mu.Lock()
	resumed := g.resumed
	g.mu.Unlock()
	<-resumed
}

// pausableStore is a store whose calls and replies are delayed while the process is
// paused.
type pausableStore struct {
	store.Store
	gate *pauseGate
}

func (p *pausableStore) Get(ctx context.Context, key string) (store.Object, error) {
	p.gate.wait()
	defer p.gate.wait()
	return p.Store.Get(ctx, key)
}

func (p *pausableStore) Put(ctx context.Context, key string, value []byte, expected int64) (int64, error) {
	p.gate.wait()
	defer p.gate.wait()
	return p.Store.Put(ctx, key, value, expected)
}

func (p *pausableStore) List(ctx context.Context, prefix string) ([]store.Object, int64, error) {
	p.gate.wait()
	defer p.gate.wait()
	return p.Store.List(ctx, prefix)
}

// process is a simulated process of a randomised run.
type process struct {
	manager *Manager
	gate    *pauseGate
	crashed atomic.Bool
	paused  atomic.Bool
}

// randomRun is one run of random calls and faults. Its history is checked at the end.
type randomRun struct {
	*fleet
	random *rand.Rand
	calls  *history

	mu          sync.Mutex
	processes   map[string]*process
	stateCounts map[string]int
}

func newRandomRun(t *testing.T, seed uint64) *randomRun {
	return &randomRun{
		fleet: newFleet(t, randomShards), random: rand.New(rand.NewPCG(seed, 0)),
		calls: newHistory(), processes: make(map[string]*process), stateCounts: make(map[string]int),
	}
}

// launch starts a new incarnation of a process.
func (r *randomRun) launch(name string) {
	p := &process{gate: newPauseGate()}
	p.manager = r.startOn(name, &pausableStore{r.store, p.gate})
	r.mu.Lock()
	defer r.mu.Unlock()
	r.processes[name] = p
}

func (r *randomRun) process(name string) *process {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.processes[name]
}

// randomBelow returns a random number from 0 to n-1. Only injectFaults and the faults
// that it calls use it, because the source is not safe for concurrent use.
func (r *randomRun) randomBelow(n int) int { return r.random.IntN(n) }

func (r *randomRun) randomProcess() string { return fmt.Sprintf("a%d", 1+r.randomBelow(3)) }

// injectFaults injects a random fault at random intervals until done is closed.
func (r *randomRun) injectFaults(done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(time.Duration(r.randomBelow(int(maxFaultInterval)))):
		}
		switch r.randomBelow(7) {
		case 0:
			r.restart(r.randomProcess())
		case 1:
			r.loseHost(r.randomProcess())
		case 2:
			r.pause(r.randomProcess())
		case 3:
			r.storeOutage()
		case 4:
			r.store.SetFaults(memstore.Faults{LoseAnswers: 1 + r.randomBelow(5)})
		case 5:
			r.store.SetFaults(memstore.Faults{Latency: time.Duration(r.randomBelow(int(200 * time.Millisecond)))})
		case 6:
			r.stopGracefully(r.randomProcess())
		}
	}
}

// crashProcess crashes a process, whose calls get no answer from then on.
func (r *randomRun) crashProcess(name string) {
	r.process(name).crashed.Store(true)
	r.crash(name)
}

func (r *randomRun) restart(name string) {
	r.crashProcess(name)
	r.launch(name)
}

// loseHost crashes a process. The platform drops its host from the list up to 2 s
// later, and the process starts again up to 4*testDropAfter after that.
func (r *randomRun) loseHost(name string) {
	r.crashProcess(name)
	time.Sleep(time.Duration(r.randomBelow(int(2 * time.Second))))
	r.listHosts()
	time.Sleep(time.Duration(r.randomBelow(int(4 * testDropAfter))))
	r.launch(name)
}

// pause pauses a process for a random time, during which the platform drops its host
// from the list in half of the cases.
func (r *randomRun) pause(name string) {
	p := r.process(name)
	resume := p.gate.pause()
	p.paused.Store(true)
	r.fleet.mu.Lock()
	delete(r.managers, name)
	r.fleet.mu.Unlock()
	if r.randomBelow(2) == 0 {
		r.listHosts()
	}
	time.Sleep(time.Duration(r.randomBelow(int(maxPauseTime))))
	r.fleet.mu.Lock()
	r.managers[name] = p.manager
	r.fleet.mu.Unlock()
	r.listHosts()
	p.paused.Store(false)
	resume()
}

// storeOutage makes the store fail for a random time, in which a process restarts in
// half of the cases.
func (r *randomRun) storeOutage() {
	r.store.SetFaults(memstore.Faults{Down: true})
	time.Sleep(time.Duration(r.randomBelow(int(maxOutagePhase))))
	if r.randomBelow(2) == 0 {
		r.restart(r.randomProcess())
	}
	time.Sleep(time.Duration(r.randomBelow(int(maxOutagePhase))))
	r.store.SetFaults(memstore.Faults{})
}

// stopGracefully stops a process, which hands its shards over, and restarts it.
func (r *randomRun) stopGracefully(name string) {
	p := r.process(name)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	_ = p.manager.Stop(ctx)
	r.crashProcess(name)
	r.launch(name)
}

// executeOn simulates a call by a process to its service. Some calls fail before they
// are sent, before they run, or after they ran but before the answer arrives.
func (r *randomRun) executeOn(p *process, request Request, latency time.Duration) Outcome {
	time.Sleep(latency / 2)
	p.gate.wait()
	if p.crashed.Load() {
		return Outcome{State: StateUnknown}
	}
	if latency%7 == 0 {
		return Outcome{State: StateNotRun}
	}
	if latency%11 == 0 {
		return Outcome{State: StateUnknown}
	}
	outcome := r.execute(request)
	time.Sleep(latency / 2)
	if latency%5 == 0 {
		return Outcome{State: StateUnknown}
	}
	return outcome
}

// callFleet sends a request to a random process and then to the owners that the
// processes name. Calls to a crashed or paused process get no answer.
func (r *randomRun) callFleet(random *rand.Rand, request Request) (Result, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(1+random.Int64N(int64(5*time.Second))))
	defer cancel()
	latency := time.Duration(random.Int64N(int64(maxCallLatency)))
	target := fmt.Sprintf("a%d", 1+random.IntN(3))
	unknown := &Error{Reason: ReasonUnavailable}
	for range 5 {
		p := r.process(target)
		if p.crashed.Load() || p.paused.Load() {
			return Result{}, unknown
		}
		result, err := p.manager.Do(ctx, request, func() Outcome { return r.executeOn(p, request, latency) })
		if p.crashed.Load() {
			return Result{}, unknown
		}
		refused, ok := err.(*Error)
		if !ok || refused.Reason != ReasonNotOwner {
			return result, err
		}
		target = refused.Owner.Process
	}
	return Result{}, unknown
}

// runCaller sends charges with new keys until done is closed. It sends each of them up
// to six times, some of them concurrently.
func (r *randomRun) runCaller(number int, done <-chan struct{}, random *rand.Rand) {
	for i := 0; ; i++ {
		select {
		case <-done:
			return
		default:
		}
		request := chargeRequest(fmt.Sprintf("c%d-%d", number, i))
		deadline := time.Now().Add(keyRepeatTime)
		var group sync.WaitGroup
		for attempt := range 1 + random.IntN(6) {
			attemptRandom := rand.New(rand.NewPCG(random.Uint64(), uint64(attempt)))
			group.Go(func() { r.callAndRecord(number*10+attempt, request, attemptRandom) })
			if random.IntN(2) == 0 {
				group.Wait()
			}
			if time.Now().After(deadline) {
				break
			}
			time.Sleep(time.Duration(random.Int64N(int64(maxRepeatInterval))))
		}
		group.Wait()
	}
}

// callAndRecord makes one call and adds it to the history.
func (r *randomRun) callAndRecord(client int, request Request, random *rand.Rand) {
	startedAt := time.Now()
	result, err := r.callFleet(random, request)
	out := outputOf(result, err)
	r.calls.add(client, request.Key, startedAt, out)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stateCounts[out.state.String()]++
}

// runOnce makes one randomised run in virtual time, checks its history and returns the
// number of calls by their State.
func runOnce(t *testing.T, seed uint64) map[string]int {
	var counts map[string]int
	synctest.Test(t, func(t *testing.T) {
		r := newRandomRun(t, seed)
		for _, name := range []string{"a1", "a2", "a3"} {
			r.launch(name)
		}
		done := make(chan struct{})
		var group sync.WaitGroup
		group.Go(func() { r.injectFaults(done) })
		for i := range randomCallers {
			callerRandom := rand.New(rand.NewPCG(seed, uint64(i+1)))
			group.Go(func() { r.runCaller(i, done, callerRandom) })
		}
		time.Sleep(randomRunTime)
		close(done)
		group.Wait()
		time.Sleep(time.Minute)
		r.stopAll()
		synctest.Wait()
		r.calls.check(t, func(key string) int { return r.executions(chargeRequest(key)) })
		counts = r.stateCounts
	})
	return counts
}

// TestRandomised guards against a second execution of a key, and against answers that
// contradict the executions, under crashes, pauses, lost hosts, handovers and failures
// of the store. soakEnv makes it go on longer.
func TestRandomised(t *testing.T) {
	soak, _ := time.ParseDuration(os.Getenv(soakEnv))
	startedAt := time.Now()
	for i := 0; i < randomRuns || time.Since(startedAt) < soak; i++ {
		runSeed := uint64(*seed) + uint64(i)
		counts := runOnce(t, runSeed)
		t.Logf("seed %d: %v", runSeed, counts)
		if t.Failed() {
			t.Fatalf("the run failed; repeat it with -seed %d", runSeed)
		}
	}
}
