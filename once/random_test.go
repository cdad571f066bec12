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

	randomRuns     = 6
	randomLength   = 4 * time.Minute
	randomCallers  = 12
	keyLife        = 40 * time.Second
	randomShards   = 4
	maxPause       = 30 * time.Second
	maxOutage      = 4 * time.Second
	faultInterval  = 4 * time.Second
	maxCallLatency = 2 * time.Second
	repeatPause    = 4 * time.Second
)

// gate stops a process while it is shut.
type gate struct {
	mu   sync.Mutex
	open chan struct{}
}

func newGate() *gate {
	g := &gate{open: make(chan struct{})}
	close(g.open)
	return g
}

func (g *gate) shut() (reopen func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	open := make(chan struct{})
	g.open = open
	return func() { close(open) }
}

func (g *gate) wait() {
	g.mu.Lock()
	open := g.open
	g.mu.Unlock()
	<-open
}

// pausable is a store whose calls and answers stop with the process.
type pausable struct {
	store.Store
	gate *gate
}

func (p *pausable) Get(ctx context.Context, key string) (store.Object, error) {
	p.gate.wait()
	defer p.gate.wait()
	return p.Store.Get(ctx, key)
}

func (p *pausable) Put(ctx context.Context, key string, value []byte, expected int64) (int64, error) {
	p.gate.wait()
	defer p.gate.wait()
	return p.Store.Put(ctx, key, value, expected)
}

func (p *pausable) List(ctx context.Context, prefix string) ([]store.Object, int64, error) {
	p.gate.wait()
	defer p.gate.wait()
	return p.Store.List(ctx, prefix)
}

// process is one manager of a randomised run.
type process struct {
	manager *Manager
	gate    *gate
	dead    atomic.Bool
	paused  atomic.Bool
}

// chaos is a randomised run.
type chaos struct {
	*fleet
	random *rand.Rand
	past   *history

	mu        sync.Mutex
	processes map[string]*process
	counts    map[string]int
}

func newChaos(t *testing.T, seed uint64) *chaos {
	return &chaos{
		fleet: newFleet(t, randomShards), random: rand.New(rand.NewPCG(seed, 0)),
		past: newHistory(), processes: make(map[string]*process), counts: make(map[string]int),
	}
}

func (c *chaos) launch(name string) {
	p := &process{gate: newGate()}
	p.manager = c.startOn(name, &pausable{c.store, p.gate})
	c.mu.Lock()
	defer c.mu.Unlock()
	c.processes[name] = p
}

func (c *chaos) process(name string) *process {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.processes[name]
}

// pick returns a random number below n; only the faults' own task uses it.
func (c *chaos) pick(n int) int { return c.random.IntN(n) }

func (c *chaos) some() string { return fmt.Sprintf("a%d", 1+c.pick(3)) }

// faults disturbs the fleet until the run is over.
func (c *chaos) faults(over <-chan struct{}) {
	for {
		select {
		case <-over:
			return
		case <-time.After(time.Duration(c.pick(int(faultInterval)))):
		}
		switch c.pick(7) {
		case 0:
			c.restart(c.some())
		case 1:
			c.loseHost(c.some())
		case 2:
			c.pause(c.some())
		case 3:
			c.outage()
		case 4:
			c.store.SetFaults(memstore.Faults{LoseAnswers: 1 + c.pick(5)})
		case 5:
			c.store.SetFaults(memstore.Faults{Latency: time.Duration(c.pick(int(200 * time.Millisecond)))})
		case 6:
			c.stopGracefully(c.some())
		}
	}
}

func (c *chaos) kill(name string) {
	c.process(name).dead.Store(true)
	c.crash(name)
}

func (c *chaos) restart(name string) {
	c.kill(name)
	c.launch(name)
}

// loseHost crashes a process; the platform's list drops it after a lag, and it
// comes back later.
func (c *chaos) loseHost(name string) {
	c.kill(name)
	time.Sleep(time.Duration(c.pick(int(2 * time.Second))))
	c.listHosts()
	time.Sleep(time.Duration(c.pick(int(4 * testDrop))))
	c.launch(name)
}

// pause stops a process for a while. The platform may drop its host meanwhile.
func (c *chaos) pause(name string) {
	p := c.process(name)
	reopen := p.gate.shut()
	p.paused.Store(true)
	c.fleet.mu.Lock()
	delete(c.managers, name)
	c.fleet.mu.Unlock()
	if c.pick(2) == 0 {
		c.listHosts()
	}
	time.Sleep(time.Duration(c.pick(int(maxPause))))
	c.fleet.mu.Lock()
	c.managers[name] = p.manager
	c.fleet.mu.Unlock()
	c.listHosts()
	p.paused.Store(false)
	reopen()
}

func (c *chaos) outage() {
	c.store.SetFaults(memstore.Faults{Down: true})
	time.Sleep(time.Duration(c.pick(int(maxOutage))))
	if c.pick(2) == 0 {
		c.restart(c.some())
	}
	time.Sleep(time.Duration(c.pick(int(maxOutage))))
	c.store.SetFaults(memstore.Faults{})
}

func (c *chaos) stopGracefully(name string) {
	p := c.process(name)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	_ = p.manager.Stop(ctx)
	c.kill(name)
	c.launch(name)
}

// executeOn runs a request on the process's service, which now and then fails
// before it is sent, after it is sent, or after it has run.
func (c *chaos) executeOn(p *process, request Request, latency time.Duration) Outcome {
	time.Sleep(latency / 2)
	p.gate.wait()
	if p.dead.Load() {
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

// attempt sends a request to a process and to the owners that it names.
func (c *chaos) attempt(random *rand.Rand, request Request) (Result, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(1+random.Int64N(int64(5*time.Second))))
	defer cancel()
	latency := time.Duration(random.Int64N(int64(maxCallLatency)))
	target := fmt.Sprintf("a%d", 1+random.IntN(3))
	unknown := &Error{Reason: ReasonUnavailable}
	for range 5 {
		p := c.process(target)
		if p.dead.Load() || p.paused.Load() {
			return Result{}, unknown
		}
		result, err := p.manager.Do(ctx, request, func() Outcome { return c.executeOn(p, request, latency) })
		if p.dead.Load() {
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

// caller charges again and again, and repeats each charge a few times, some at once.
func (c *chaos) caller(number int, over <-chan struct{}, random *rand.Rand) {
	for i := 0; ; i++ {
		select {
		case <-over:
			return
		default:
		}
		request := charge(fmt.Sprintf("c%d-%d", number, i))
		deadline := time.Now().Add(keyLife)
		var group sync.WaitGroup
		for attempt := range 1 + random.IntN(6) {
			own := rand.New(rand.NewPCG(random.Uint64(), uint64(attempt)))
			group.Go(func() { c.record(number*10+attempt, request, own) })
			if random.IntN(2) == 0 {
				group.Wait()
			}
			if time.Now().After(deadline) {
				break
			}
			time.Sleep(time.Duration(random.Int64N(int64(repeatPause))))
		}
		group.Wait()
	}
}

func (c *chaos) record(client int, request Request, random *rand.Rand) {
	begun := time.Now()
	result, err := c.attempt(random, request)
	out := told(result, err)
	c.past.add(client, request.Key, begun, out)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[out.state.String()]++
}

// runRandom is one randomised run in a time of its own.
func runRandom(t *testing.T, seed uint64) map[string]int {
	var counts map[string]int
	synctest.Test(t, func(t *testing.T) {
		c := newChaos(t, seed)
		for _, name := range []string{"a1", "a2", "a3"} {
			c.launch(name)
		}
		over := make(chan struct{})
		var group sync.WaitGroup
		group.Go(func() { c.faults(over) })
		for i := range randomCallers {
			own := rand.New(rand.NewPCG(seed, uint64(i+1)))
			group.Go(func() { c.caller(i, over, own) })
		}
		time.Sleep(randomLength)
		close(over)
		group.Wait()
		time.Sleep(time.Minute)
		c.stopAll()
		synctest.Wait()
		c.past.check(t, func(key string) int { return c.executions(charge(key)) })
		counts = c.counts
	})
	return counts
}

func TestRandomised(t *testing.T) {
	soak, _ := time.ParseDuration(os.Getenv(soakEnv))
	began := time.Now()
	for i := 0; i < randomRuns || time.Since(began) < soak; i++ {
		current := uint64(*seed) + uint64(i)
		counts := runRandom(t, current)
		t.Logf("seed %d: %v", current, counts)
		if t.Failed() {
			t.Fatalf("failed with -seed %d", current)
		}
	}
}
