package weights

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/greengagegate/greengagegate/internal/bootclock"
	"github.com/greengagegate/greengagegate/internal/catalog"
	"github.com/greengagegate/greengagegate/store"
	"github.com/greengagegate/greengagegate/store/memstore"
	"github.com/rs/zerolog"
)

const testModel = "m"

func TestHalfOfAPoolTakesAVersionAtOnce(t *testing.T) {
	state := PoolState{Engines: 18, Slots: 64, Age: time.Second, Limit: 12 * time.Second}
	if got := state.LoadsToStart(); got != 6 {
		t.Errorf("%d engines start at first, want two batches of 3", got)
	}
	state.Ready, state.Loading = 6, 2
	if got := state.LoadsToStart(); got != 1 {
		t.Errorf("%d start with 8 of 9 on their way, want 1", got)
	}
	state.Ready, state.Loading = 9, 0
	if got := state.LoadsToStart(); got != 0 {
		t.Errorf("%d start beyond the half, want 0", got)
	}
	state.Running = 10
	if got := state.LoadsToStart(); got != 6 {
		t.Errorf("%d start while the half is crowded, want 6", got)
	}
	state.Running, state.Age = 0, 6*time.Second
	if got := state.LoadsToStart(); got != 6 {
		t.Errorf("%d start late, want 6", got)
	}
}

func TestOldestWeightsAreReplacedFirst(t *testing.T) {
	var candidates []Candidate
	for i := range 6 {
		candidates = append(candidates, Candidate{
			Upstream: &catalog.Upstream{ID: fmt.Sprint("e", i), Zone: fmt.Sprint("z", i%2)},
			Running:  i, Version: int64(1 + i/3),
		})
	}
	picked := SelectBatch(candidates, map[string]int{"z0": 2}, 4)
	var ids string
	for _, c := range picked {
		ids += c.Upstream.ID + " "
	}
	if ids != "e1 e0 e2 e3 " && ids != "e1 e0 e2 e5 " {
		t.Errorf("picked %s", ids)
	}
	if len(candidates) != 6 || candidates[0].Upstream.ID != "e0" {
		t.Error("the candidates were changed")
	}
}

// engines is a set of engines in memory.
type engines struct {
	mu      sync.Mutex
	load    time.Duration
	version map[string]int64
	orders  map[string]int64
	busy    map[string]bool
	reports map[string]int
	loading int
	most    int
	seen    []Order
	// losesAnswers carries orders out without an answer.
	losesAnswers bool
}

func newEngines(load time.Duration) *engines {
	return &engines{load: load, version: make(map[string]int64), orders: make(map[string]int64), busy: make(map[string]bool), reports: make(map[string]int)}
}

func (e *engines) Order(_ context.Context, order *Order) (Result, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	id := order.Upstream.ID
	if e.busy[id] || order.Expected != e.orders[id] {
		return Busy, nil
	}
	if e.version[id] == order.Version {
		return AlreadyLoaded, nil
	}
	e.seen = append(e.seen, *order)
	e.orders[id]++
	e.busy[id] = true
	e.loading++
	e.most = max(e.most, e.loading)
	time.AfterFunc(e.load, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.busy[id], e.version[id] = false, order.Version
		e.loading--
	})
	if e.losesAnswers {
		return Rejected, errors.New("answer lost")
	}
	return Accepted, nil
}

func (e *engines) Report(_ context.Context, upstream *catalog.Upstream) (Report, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	id := upstream.ID
	e.reports[id]++
	if id == "former" {
		return Report{}, ErrIncarnationChanged
	}
	return Report{Versions: map[string]int64{testModel: e.version[id]}, Busy: e.busy[id], Orders: e.orders[id]}, nil
}

// reached counts the engines that have a version.
func (e *engines) reached(version int64) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	count := 0
	for _, v := range e.version {
		if v == version {
			count++
		}
	}
	return count
}

// knowledge implements Fleet.
type knowledge struct {
	mu      sync.Mutex
	version map[string]int64
	held    map[string]bootclock.Instant
	ended   map[string]bool
}

func newKnowledge() *knowledge {
	return &knowledge{version: make(map[string]int64), held: make(map[string]bootclock.Instant), ended: make(map[string]bool)}
}

func (k *knowledge) Version(id, _ string) int64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.version[id]
}

func (k *knowledge) RecordVersion(id, _ string, version int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.version[id] = max(k.version[id], version)
}

func (k *knowledge) HoldUntil(id string, until bootclock.Instant) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.held[id] = until
}

func (k *knowledge) RunningRequests(string) int { return 0 }

func (k *knowledge) IsUnreachable(id string) bool { return id == "dark" }

func (k *knowledge) IsReplaced(id string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.ended[id]
}

func (k *knowledge) MarkReplaced(id string, _ int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.ended[id] = true
}

// testFleet is a pool of engines and some gateways that compete for the lease.
type testFleet struct {
	store   store.Store
	engines *engines
	known   *catalog.Catalog
	stops   map[string]context.CancelFunc
	manager map[string]*Manager
	done    sync.WaitGroup
}

func newTestFleet(count int, load time.Duration) *testFleet {
	f := &testFleet{
		store: memstore.New(), engines: newEngines(load), known: catalog.New(),
		stops: make(map[string]context.CancelFunc), manager: make(map[string]*Manager),
	}
	config := &catalog.Config{Version: 1, Pools: map[string]*catalog.Pool{
		"llm": {Name: "llm", Engine: &catalog.Engine{Models: []string{testModel}}},
	}}
	f.known.SetConfig(config)
	var list []*catalog.Upstream
	for i := range count {
		id := fmt.Sprint("e", i)
		list = append(list, &catalog.Upstream{ID: id, Pool: "llm", Zone: "z"})
		f.engines.version[id] = 1
	}
	list = append(list, &catalog.Upstream{ID: "dark", Pool: "llm", Zone: "z"})
	f.known.SetUpstreams(list)
	f.known.SetTargetVersions(nil, bootclock.Now())
	return f
}

func (f *testFleet) want(version int64) {
	f.known.SetTargetVersions(map[string]int64{testModel: version}, bootclock.Now())
}

func (f *testFleet) start(name string) {
	ctx, stop := context.WithCancel(context.Background())
	f.stops[name] = stop
	m := New(Options{
		Name: name, Lease: NewLease(f.store, name), Catalog: f.known, Engines: f.engines, Fleet: newKnowledge(),
		TakeOver: 3 * time.Second, WeightsLimit: 100 * time.Millisecond, Log: zerolog.Nop(),
	})
	f.manager[name] = m
	f.done.Go(func() { m.Run(ctx) })
}

func (f *testFleet) stopAll() {
	for _, stop := range f.stops {
		stop()
	}
	f.done.Wait()
}

// eventually waits in virtual time.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for range 6000 {
		if holds() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("it did not come about that %s", what)
}

func (f *testFleet) holders() map[string]bool {
	f.engines.mu.Lock()
	defer f.engines.mu.Unlock()
	holders := make(map[string]bool)
	for _, order := range f.engines.seen {
		holders[order.Holder] = true
	}
	return holders
}

// The lease counts on the boot clock, which runs in real time; the loads are
// short. The test checks what happens, not when.
func TestOneHolderBringsAllEngines(t *testing.T) {
	f := newTestFleet(12, 20*time.Millisecond)
	defer f.stopAll()
	for i := range 3 {
		f.start(fmt.Sprint("g", i))
	}
	f.want(2)
	eventually(t, "all have version 2", func() bool { return f.engines.reached(2) == 12 })
	if holders := f.holders(); len(holders) != 1 {
		t.Errorf("orders of %v", holders)
	}
	if f.engines.most > MaxConcurrentLoads(13) {
		t.Errorf("%d engines loaded at once, want at most %d", f.engines.most, MaxConcurrentLoads(13))
	}
}

// Engines that came back under another name stay listed for some seconds. They are
// found out once, and keep no place among those that load.
func TestFormerLivesTakeNoTurn(t *testing.T) {
	f := newTestFleet(4, 20*time.Millisecond)
	defer f.stopAll()
	upstreams := f.known.Upstreams().ByPool["llm"]
	f.known.SetUpstreams(append([]*catalog.Upstream{{ID: "former", Pool: "llm", Zone: "z"}}, upstreams...))
	f.start("g0")
	for version := int64(2); version < 6; version++ {
		f.want(version)
		eventually(t, "all have the version", func() bool { return f.engines.reached(version) == 4 })
	}
	f.engines.mu.Lock()
	defer f.engines.mu.Unlock()
	if got := f.engines.reports["former"]; got != 1 {
		t.Errorf("the former life was asked %d times, want once", got)
	}
}

func TestAnotherHolderTakesOverWithAHigherFence(t *testing.T) {
	f := newTestFleet(6, 20*time.Millisecond)
	defer f.stopAll()
	f.engines.losesAnswers = true
	f.start("g0")
	f.want(2)
	eventually(t, "all have version 2", func() bool { return f.engines.reached(2) == 6 })
	f.manager["g0"].StepDown(t.Context())
	f.stops["g0"]()
	f.start("g1")
	f.want(3)
	eventually(t, "all have version 3", func() bool { return f.engines.reached(3) == 6 })
	fence := int64(0)
	for _, order := range f.engines.seen {
		if order.Fence < fence {
			t.Errorf("fence %d after %d", order.Fence, fence)
		}
		fence = order.Fence
	}
	if !f.holders()["g1"] {
		t.Error("the second holder gave no order")
	}
}

func TestWaitingEndsWithTheContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := New(Options{Fleet: newKnowledge()})
		m.loadsAtOnce["p"] = 1
		if !m.startLoad(t.Context(), "p") {
			t.Fatal("the first engine may not load")
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if m.startLoad(ctx, "p") {
			t.Error("a second engine loads beside the first")
		}
		m.endLoad("p")
		if !m.startLoad(t.Context(), "p") {
			t.Error("nobody may load after the first has ended")
		}
	})
}
