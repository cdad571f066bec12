package rollout

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/greengagegate/greengagegate/internal/balancer"
	"github.com/greengagegate/greengagegate/internal/bootclock"
	"github.com/greengagegate/greengagegate/internal/catalog"
	"github.com/greengagegate/greengagegate/store/memstore"
	"github.com/rs/zerolog"
)

const (
	testPool     = "pool"
	testDuration = 16 * time.Second
	orderKey     = "orders/" + testPool
)

// testLease is a lease that tests give to one gateway at a time.
type testLease struct {
	token int64
	held  bool
}

func (l *testLease) FencingToken() (int64, bool) { return l.token, l.held }

// testGateway is one gateway of a testFleet.
type testGateway struct {
	*Manager
	name    string
	catalog *catalog.Catalog
	lease   *testLease
	// isCut is true while the gateway reaches neither the others nor the store.
	isCut  bool
	isDown bool
}

// testFleet runs the managers of a few gateways in virtual time, with one store.
type testFleet struct {
	t        *testing.T
	now      bootclock.Instant
	store    *memstore.Store
	gateways []*testGateway
	created  int64
	random   *rand.Rand
	// failures is the rate at which the target fails requests.
	failures     func(elapsed time.Duration) float64
	orderedAt    bootclock.Instant
	sent         map[string]int
	lastToTarget bootclock.Instant
	badResponses int
	fiftiethBad  bootclock.Instant
}

func newTestFleet(t *testing.T, gateways int) *testFleet {
	f := &testFleet{
		t: t, now: bootclock.Instant(time.Hour), store: memstore.New(), random: rand.New(rand.NewPCG(1, 2)),
		failures: func(time.Duration) float64 { return 0 }, sent: make(map[string]int),
	}
	for i := range gateways {
		f.gateways = append(f.gateways, f.newGateway(fmt.Sprintf("g%d", i)))
	}
	f.gateways[0].lease.held, f.gateways[0].lease.token = true, 1
	return f
}

func (f *testFleet) newGateway(name string) *testGateway {
	g := &testGateway{name: name, catalog: catalog.New(), lease: &testLease{}}
	g.Manager = New(Options{
		Name: name, Bounds: Bounds{ExposureShare: 0.1, ExposureSlack: 50, RollbackWithin: 5 * time.Second},
		Catalog: g.catalog, Store: f.store, OrderPrefix: "orders/", Lease: g.lease,
		EncodeStatus: func(state catalog.RolloutState, _ string) ([]byte, error) { return json.Marshal(state) },
		Balancer:     balancer.New("zone", nil), Log: zerolog.Nop(), Now: func() bootclock.Instant { return f.now },
	})
	g.options.Balancer.SetGatewayCount(len(f.gateways) + 1)
	g.catalog.SetUpstreams(upstreamsOf("v1", 20))
	g.catalog.SetRollouts(nil, f.now)
	return g
}

func upstreamsOf(version string, count int) []*catalog.Upstream {
	var list []*catalog.Upstream
	for i := range count {
		list = append(list, &catalog.Upstream{ID: fmt.Sprintf("%s-%d", version, i), Pool: testPool, Software: version})
	}
	return list
}

// order writes the order and starts the target's upstreams.
func (f *testFleet) order(target string) {
	object, _ := f.store.Get(context.Background(), orderKey)
	version, err := f.store.Put(context.Background(), orderKey, []byte(target), object.Version)
	if err != nil {
		f.t.Fatal(err)
	}
	f.created, f.orderedAt = version, f.now
	for _, g := range f.gateways {
		g.catalog.SetUpstreams(append(upstreamsOf("v1", 20), upstreamsOf(target, 20)...))
	}
}

// follow shows a gateway the order as the store has it.
func (f *testFleet) follow(g *testGateway) {
	object, err := f.store.Get(context.Background(), orderKey)
	if err != nil {
		return
	}
	state := catalog.RolloutNew
	if object.Status != nil {
		if err := json.Unmarshal(object.Status, &state); err != nil {
			f.t.Fatal(err)
		}
	}
	g.catalog.SetRollouts([]*catalog.Rollout{{
		Pool: testPool, Target: string(object.Value), Duration: testDuration, Key: orderKey, Version: object.Version, Created: f.created, State: state,
	}}, f.now)
}

// run lets the fleet serve requestsPerSecond for a time, in steps of 100 ms. Gateways exchange
// news every 400 ms.
func (f *testFleet) run(duration time.Duration, requestsPerSecond int) {
	for end := f.now.Add(duration); f.now.Before(end); f.now = f.now.Add(tickInterval) {
		steps := int64(f.now) / int64(tickInterval)
		for _, g := range f.gateways {
			if g.isDown {
				continue
			}
			if steps%4 == 0 && !g.isCut {
				f.follow(g)
			}
			g.tick(context.Background())
			g.background.Wait()
		}
		if steps%4 == 1 {
			f.exchange()
		}
		for range requestsPerSecond * int(tickInterval) / int(time.Second) {
			f.serve()
		}
	}
}

// exchange sends the decisions of the holder to the others, and their reports to it.
func (f *testFleet) exchange() {
	for _, holder := range f.gateways {
		if !holder.lease.held || holder.isDown || holder.isCut {
			continue
		}
		for _, g := range f.gateways {
			if g == holder || g.isDown || g.isCut {
				continue
			}
			for _, update := range holder.Updates() {
				g.ApplyUpdate(&update)
			}
			for _, report := range g.Reports() {
				holder.ApplyReport(g.name, &report)
			}
		}
	}
}

// serve sends one request through a random gateway that is up.
func (f *testFleet) serve() {
	g := f.gateways[f.random.IntN(len(f.gateways))]
	if g.isDown {
		return
	}
	filter := g.Filter(testPool, fmt.Sprint(f.random.Uint64()), false)
	var candidates []*catalog.Upstream
	for _, upstream := range g.catalog.Upstreams().ByPool[testPool] {
		isAllowed := filter == nil || slices.Contains(filter.Allowed, upstream.Software) && (filter.Canaries == nil || slices.Contains(filter.Canaries, upstream.ID))
		if isAllowed {
			candidates = append(candidates, upstream)
		}
	}
	if len(candidates) == 0 {
		f.t.Fatalf("%s may send a request to no upstream: %+v", g.name, filter)
	}
	upstream := candidates[f.random.IntN(len(candidates))]
	f.sent[upstream.Software]++
	g.RecordSend("route", upstream)
	if upstream.Software == "v1" {
		g.RecordResponse("route", upstream, 50*time.Millisecond)
		return
	}
	f.lastToTarget = f.now
	if f.random.Float64() >= f.failures(f.now.Sub(f.orderedAt)) {
		g.RecordResponse("route", upstream, 60*time.Millisecond)
		return
	}
	g.RecordFailure("route", upstream, false)
	if f.badResponses++; f.badResponses == 50 {
		f.fiftiethBad = f.now
	}
}

// state returns the state that the store has for the order.
func (f *testFleet) state() catalog.RolloutState {
	f.t.Helper()
	object, err := f.store.Get(context.Background(), orderKey)
	if err != nil {
		f.t.Fatal(err)
	}
	state := catalog.RolloutNew
	if object.Status != nil {
		_ = json.Unmarshal(object.Status, &state)
	}
	return state
}

// checkExposure fails the test if the target got more requests than a bad version may get.
func (f *testFleet) checkExposure(target string) {
	f.t.Helper()
	all := f.sent["v1"] + f.sent[target]
	if bound := 0.1*float64(all) + 50; float64(f.sent[target]) > bound {
		f.t.Errorf("bad version got %d of %d requests, want at most %.0f", f.sent[target], all, bound)
	}
	if f.fiftiethBad != 0 && f.lastToTarget.Sub(f.fiftiethBad) > 5*time.Second {
		f.t.Errorf("bad version got a request %v after its 50th bad response, want at most 5s", f.lastToTarget.Sub(f.fiftiethBad))
	}
}

// moveLease gives the lease to another gateway.
func (f *testFleet) moveLease(from, to int) {
	f.gateways[to].lease.token = f.gateways[from].lease.token + 1
	f.gateways[from].lease.held, f.gateways[to].lease.held = false, true
}
