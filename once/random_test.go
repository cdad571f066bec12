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
	// soakEnv is the wall time for which randomised runs go on.
	soakEnv = "GREENGAGE_SOAK"

	randomRuns        = 6
	randomRunTime     = 4 * time.Minute
	randomCallers     = 12
	keyRepeatTime     = 40 * time.Second
	randomShards      = 4
	maxPauseTime      = 30 * time.Second
	maxOutagePhase    = 4 * time.Second
	maxFaultInterval  = 4 * time.Second
	maxCallLatency    = 2 * time.Second
	maxRepeatInterval = 4 * time.Second
)

// pauseGate stops a process while it is shut.
type pauseGate struct {
	mu   sync.Mutex
	open chan struct{}
}

func newPauseGate() *pauseGate {
	g := &pauseGate{open: make(chan struct{})}
	close(g.open)
	return g
}

func (g *pauseGate) pause() (reopen func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	open := make(chan struct{})
	g.open = open
	return func() { close(open) }
}

func (g *pauseGate) wait() {
	g.mu.Lock()
	open := g.open
	g.mu.Unlock()
	<-open
}

// pausableStore is a store whose calls and answers stop with the process.
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

// process is one manager of a randomised run.
type process struct {
	manager *Manager
	gate    *pauseGate
	crashed atomic.Bool
	paused  atomic.Bool
}

// randomRun is a randomised run.
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

func (c *randomRun) launch(name string) {
	p := &process{gate: newPauseGate()}
	p.manager = c.startOn(name, &pausableStore{c.store, p.gate})
	c.mu.Lock()
	defer c.mu.Unlock()
	c.processes[name] = p
}

func (c *randomRun) process(name string) *process {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.processes[name]
}

// randomBelow returns a random number below n; only the faults' own task uses it.
func (c *randomRun) randomBelow(n int) int { return c.random.IntN(n) }

func (c *randomRun) randomProcess() string { return fmt.Sprintf("a%d", 1+c.randomBelow(3)) }

// injectFaults disturbs the fleet until the run is over.
func (c *randomRun) injectFaults(over <-chan struct{}) {
	for {
		select {
		case <-over:
			return
		case <-time.After(time.Duration(c.randomBelow(int(maxFaultInterval)))):
		}
		switch c.randomBelow(7) {
		case 0:
			c.restart(c.randomProcess())
		case 1:
			c.loseHost(c.randomProcess())
		case 2:
			c.pause(c.randomProcess())
		case 3:
			c.storeOutage()
		case 4:
			c.store.SetFaults(memstore.Faults{LoseAnswers: 1 + c.randomBelow(5)})
		case 5:
			c.store.SetFaults(memstore.Faults{Latency: time.Duration(c.randomBelow(int(200 * time.Millisecond)))})
		case 6:
			c.stopGracefully(c.randomProcess())
		}
	}
}

func (c *randomRun) markCrashed(name string) {
	c.process(name).crashed.Store(true)
	c.crash(name)
}

func (c *randomRun) restart(name string) {
	c.markCrashed(name)
	c.launch(name)
}

// loseHost crashes a process; the platform's list drops it after a lag, and it
// comes back later.
func (c *randomRun) loseHost(name string) {
	c.markCrashed(name)
	time.Sleep(time.Duration(c.randomBelow(int(2 * time.Second))))
	c.listHosts()
	time.Sleep(time.Duration(c.randomBelow(int(4 * testDropAfter))))
	c.launch(name)
}

// pause stops a process for a while. The platform may drop its host meanwhile.
func (c *randomRun) pause(name string) {
	p := c.process(name)
	reopen := p.gate.pause()
	p.paused.Store(true)
	c.fleet.mu.Lock()
	delete(c.managers, name)
	c.fleet.mu.Unlock()
	if c.randomBelow(2) == 0 {
		c.listHosts()
	}
	time.Sleep(time.Duration(c.randomBelow(int(maxPauseTime))))
	c.fleet.mu.Lock()
	c.managers[name] = p.manager
	c.fleet.mu.Unlock()
	c.listHosts()
	p.paused.Store(false)
	reopen()
}

func (c *randomRun) storeOutage() {
	c.store.SetFaults(memstore.Faults{Down: true})
	time.Sleep(time.Duration(c.randomBelow(int(maxOutagePhase))))
	if c.randomBelow(2) == 0 {
		c.restart(c.randomProcess())
	}
	time.Sleep(time.Duration(c.randomBelow(int(maxOutagePhase))))
	c.store.SetFaults(memstore.Faults{})
}

func (c *randomRun) stopGracefully(name string) {
	p := c.process(name)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	_ = p.manager.Stop(ctx)
	c.markCrashed(name)
	c.launch(name)
}

// executeOn runs a request on the process's service, which now and then fails
// before it is sent, after it is sent, or after it has run.
func (c *randomRun) executeOn(p *process, request Request, latency time.Duration) Outcome {
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
	outcome := c.execute(request)
	time.Sleep(latency / 2)
	if latency%5 == 0 {
		return Outcome{State: StateUnknown}
	}
	return outcome
}

// callFleet sends a request to a process and to the owners that it names.
func (c *randomRun) callFleet(random *rand.Rand, request Request) (Result, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(1+random.Int64N(int64(5*time.Second))))
	defer cancel()
	latency := time.Duration(random.Int64N(int64(maxCallLatency)))
	target := fmt.Sprintf("a%d", 1+random.IntN(3))
	unknown := &Error{Reason: ReasonUnavailable}
	for range 5 {
		p := c.process(target)
		if p.crashed.Load() || p.paused.Load() {
			return Result{}, unknown
		}
		result, err := p.manager.Do(ctx, request, func() Outcome { return c.executeOn(p, request, latency) })
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

// runCaller charges again and again, and repeats each charge a few times, some at once.
func (c *randomRun) runCaller(number int, over <-chan struct{}, random *rand.Rand) {
	for i := 0; ; i++ {
		select {
		case <-over:
			return
		default:
		}
		request := chargeRequest(fmt.Sprintf("c%d-%d", number, i))
		deadline := time.Now().Add(keyRepeatTime)
		var group sync.WaitGroup
		for attempt := range 1 + random.IntN(6) {
			own := rand.New(rand.NewPCG(random.Uint64(), uint64(attempt)))
			group.Go(func() { c.callAndRecord(number*10+attempt, request, own) })
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

func (c *randomRun) callAndRecord(client int, request Request, random *rand.Rand) {
	begun := time.Now()
	result, err := c.callFleet(random, request)
	out := outputOf(result, err)
	c.calls.add(client, request.Key, begun, out)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stateCounts[out.state.String()]++
}

// runOnce is one randomised run in a time of its own.
func runOnce(t *testing.T, seed uint64) map[string]int {
	var counts map[string]int
	synctest.Test(t, func(t *testing.T) {
		c := newRandomRun(t, seed)
		for _, name := range []string{"a1", "a2", "a3"} {
			c.launch(name)
		}
		over := make(chan struct{})
		var group sync.WaitGroup
		group.Go(func() { c.injectFaults(over) })
		for i := range randomCallers {
			own := rand.New(rand.NewPCG(seed, uint64(i+1)))
			group.Go(func() { c.runCaller(i, over, own) })
		}
		time.Sleep(randomRunTime)
		close(over)
		group.Wait()
		time.Sleep(time.Minute)
		c.stopAll()
		synctest.Wait()
		c.calls.check(t, func(key string) int { return c.executions(chargeRequest(key)) })
		counts = c.stateCounts
	})
	return counts
}

func TestRandomised(t *testing.T) {
	soak, _ := time.ParseDuration(os.Getenv(soakEnv))
	began := time.Now()
	for i := 0; i < randomRuns || time.Since(began) < soak; i++ {
		current := uint64(*seed) + uint64(i)
		counts := runOnce(t, current)
		t.Logf("seed %d: %v", current, counts)
		if t.Failed() {
			t.Fatalf("failed with -seed %d", current)
		}
	}
}
