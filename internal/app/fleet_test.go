package app

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"github.com/greengagegate/greengagegate/internal/engine"
	"github.com/greengagegate/greengagegate/internal/engine/httpengine"
	"github.com/greengagegate/greengagegate/internal/node"
	"github.com/greengagegate/greengagegate/internal/object"
	"github.com/greengagegate/greengagegate/internal/publish"
	"github.com/greengagegate/greengagegate/internal/standin/enginesim"
	"github.com/greengagegate/greengagegate/internal/standin/plainsvc"
	"github.com/greengagegate/greengagegate/internal/standin/platform"
	"github.com/greengagegate/greengagegate/internal/testhost"
	"github.com/greengagegate/greengagegate/internal/tlsconf"
	"github.com/greengagegate/greengagegate/store/memstore"
	"github.com/rs/zerolog"
	"go.uber.org/fx"
)

const (
	fleetModel  = "harbour-7b"
	fleetSecret = "demo-agent-key"
	fleetKey    = "0123456789abcdef-membership"
)

// testFleet is a small fleet on loopback: real routers and agents with stand-ins for the
// platform, the engines and the services.
type testFleet struct {
	t        *testing.T
	platform *platform.Manager
	storeURL string
	tls      tlsconf.Files
	seed     string
	changes  []publish.Change
	// addresses maps the name of an upstream to the inner address of its agent.
	addresses map[string]string
	engines   map[string]*engineStandIn
	// nodes holds the nodes of routers by process name, and those of agents by the name of
	// their upstream.
	nodes map[string]*node.Node
}

// engineStandIn is a simulated engine with a driver that bypasses its agent.
type engineStandIn struct {
	*enginesim.Manager
	engine.Driver
}

// newTestFleet returns a fleet without processes. Its store is a stand-in, and its changes
// are the objects of the demo configuration without upstreams.
func newTestFleet(t *testing.T, tls tlsconf.Files) *testFleet {
	manager := platform.New(platform.Options{})
	server := httptest.NewServer(manager.Handler())
	t.Cleanup(server.Close)
	f := &testFleet{t: t, platform: manager, storeURL: server.URL, tls: tls, seed: testhost.Free(t), addresses: make(map[string]string), engines: make(map[string]*engineStandIn), nodes: make(map[string]*node.Node)}
	documents, mistakes := object.ReadFiles("../../examples/demo/config")
	if len(mistakes) > 0 {
		t.Fatal(mistakes)
	}
	for _, document := range documents {
		if document.Kind != object.KindUpstream {
			f.changes = append(f.changes, publish.Change{Kind: document.Kind, Name: document.Name, Spec: document.Spec})
		}
	}
	return f
}

// common returns the settings that routers and agents share. gossip is the address for
// membership datagrams.
func (f *testFleet) common(name, gossip string) Common {
	return Common{
		Identity:   node.Identity{Name: name, Zone: "a", Region: "r1"},
		Inner:      node.Inner{Listen: testhost.Free(f.t)},
		InnerTLS:   f.tls,
		Store:      Store{URL: f.storeURL},
		Membership: Membership{Listen: gossip, Seeds: []string{f.seed}, Key: fleetKey},
		Admin:      Admin{Listen: testhost.Free(f.t)},
		Stop:       Stop{DrainDelay: 300 * time.Millisecond, Timeout: time.Minute},
	}
}

// recordNode records the node of an application, so that a test can cut its inner
// connections.
func (f *testFleet) recordNode(name string) fx.Option {
	return fx.Invoke(func(n *node.Node) { f.nodes[name] = n })
}

// cutInner closes a process's inner listener and all its inner sessions at once.
func (f *testFleet) cutInner(name string) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = f.nodes[name].Stop(ctx)
}

func (f *testFleet) start(options ...fx.Option) *fx.App {
	app := fx.New(fx.NopLogger, fx.StopTimeout(time.Minute), fx.Supply(zerolog.Nop()), fx.Options(options...))
	if err := app.Start(f.t.Context()); err != nil {
		f.t.Fatal(err)
	}
	return app
}

// startRouter starts a router and returns it with its settings.
func (f *testFleet) startRouter(name, gossip string) (*fx.App, *RouterSettings) {
	s := NewRouterSettings()
	s.Common = f.common(name, gossip)
	s.Inner.Advertise = s.Inner.Listen
	s.CallersListen.Listen = testhost.Free(f.t)
	s.Operators.Listen = testhost.Free(f.t)
	return f.start(Router(s), f.recordNode(name)), s
}

// startEngine starts an engine stand-in with its agent and adds its Upstream object.
func (f *testFleet) startEngine(name string) *fx.App {
	address := testhost.Free(f.t)
	sim := enginesim.New(enginesim.Options{
		Name: name, Address: address, Weights: "v1", BlockTokens: 2000, CacheBlocks: 100,
		BatchLimit: 8, MaxWaiting: 8, PrefillRate: 100_000, DecodeBase: 20 * time.Millisecond, Restart: time.Second,
	})
	if err := sim.Start(); err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(sim.Stop)
	f.engines[name] = &engineStandIn{Manager: sim, Driver: httpengine.New("http://" + address)}
	return f.startAgent(name, "engine", "models", "http://"+address)
}

// startService starts a stand-in for a plain service with its agent and adds its Upstream
// object.
func (f *testFleet) startService(name string) (*fx.App, *plainsvc.Manager) {
	address := testhost.Free(f.t)
	manager := plainsvc.New(plainsvc.Options{Name: name, Address: address, Latency: time.Millisecond, Restart: time.Second})
	if err := manager.Start(); err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(manager.Stop)
	return f.startAgent(name, "service", "billing", "http://"+address), manager
}

// startAgent starts an agent for the upstream at url and adds its Upstream object.
func (f *testFleet) startAgent(name, kind, pool, url string) *fx.App {
	s := NewAgentSettings()
	s.Common = f.common("agent-"+name, testhost.Free(f.t))
	s.Inner.Advertise = s.Inner.Listen
	s.Upstream = Upstream{Name: name, Kind: kind, URL: url}
	f.addresses[name] = s.Inner.Listen
	spec, err := json.Marshal(object.Upstream{
		Address: s.Inner.Listen, Zone: "a", Kind: object.UpstreamKind(kind), Pool: pool,
	})
	if err != nil {
		f.t.Fatal(err)
	}
	f.changes = append(f.changes, publish.Change{Kind: object.KindUpstream, Name: name, Spec: spec})
	return f.start(Agent(s), f.recordNode(name))
}

// publish publishes the objects through a router of the fleet and waits until all
// routers are ready. The number of entry slots equals the number of routers, as
// docs/operations/limits.md requires, so that each customer has a share at each router.
func (f *testFleet) publish(through *RouterSettings, routers ...*RouterSettings) {
	f.editFleet(func(fleet *object.Fleet) { fleet.EntrySlots = 1 + len(routers) })
	f.change(through, f.usableChanges()...)
	for _, router := range append(routers, through) {
		f.awaitReady(router)
	}
}

// change publishes changes through a router and requires status 200.
func (f *testFleet) change(through *RouterSettings, changes ...publish.Change) {
	f.t.Helper()
	body, err := json.Marshal(publish.Request{Author: "test", Changes: changes})
	if err != nil {
		f.t.Fatal(err)
	}
	response, err := http.Post("http://"+through.Operators.Listen+"/operator/v1/publish", "application/json", bytes.NewReader(body))
	if err != nil {
		f.t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		var result publish.Result
		_ = json.NewDecoder(response.Body).Decode(&result)
		f.t.Fatalf("publish: got status %d and result %+v", response.StatusCode, result)
	}
}

// extendStaleAfter lets evidence from the store last through an outage in a test.
// Without recent evidence routers refuse routes that need a key. Agents that have just
// started are not witnesses yet, so in a newly started fleet only the store confirms that
// the configuration is the newest.
func (f *testFleet) extendStaleAfter(outage time.Duration) {
	f.editFleet(func(fleet *object.Fleet) { fleet.StaleAfter = object.Duration(outage) })
}

// editFleet applies edit to the Fleet object that will be published.
func (f *testFleet) editFleet(edit func(fleet *object.Fleet)) {
	for i, change := range f.changes {
		if change.Kind != object.KindFleet {
			continue
		}
		var fleet object.Fleet
		if err := json.Unmarshal(change.Spec, &fleet); err != nil {
			f.t.Fatal(err)
		}
		edit(&fleet)
		spec, err := json.Marshal(fleet)
		if err != nil {
			f.t.Fatal(err)
		}
		f.changes[i].Spec = spec
	}
}

// usableChanges returns the changes without those objects that refer to a pool without
// upstreams.
func (f *testFleet) usableChanges() []publish.Change {
	type pooled struct {
		Pool string `json:"pool"`
	}
	pools := map[string]bool{"": true}
	poolOf := func(change publish.Change) string {
		var parsed pooled
		if err := json.Unmarshal(change.Spec, &parsed); err != nil {
			f.t.Fatal(err)
		}
		return parsed.Pool
	}
	for _, change := range f.changes {
		if change.Kind == object.KindUpstream {
			pools[poolOf(change)] = true
		}
	}
	return slices.DeleteFunc(slices.Clone(f.changes), func(change publish.Change) bool {
		return !pools[poolOf(change)]
	})
}

// awaitReady waits until a router reports that it is ready, or the test's context ends.
func (f *testFleet) awaitReady(router *RouterSettings) {
	for f.t.Context().Err() == nil {
		response, err := http.Get("http://" + router.Admin.Listen + "/readyz")
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// setStoreDown makes the store unreachable, or reachable again.
func (f *testFleet) setStoreDown(down bool) {
	f.platform.SetFaults(memstore.Faults{Down: down})
}

// stop stops an application and requires that the stop takes less than a minute.
func stop(t *testing.T, app *fx.App) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	if err := app.Stop(ctx); err != nil {
		t.Errorf("graceful stop failed: %v", err)
	}
}
