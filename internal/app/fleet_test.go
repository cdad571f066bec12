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

// testFleet is a small fleet of real applications on loopback.
type testFleet struct {
	t        *testing.T
	platform *platform.Manager
	storeURL string
	tls      tlsconf.Files
	seed     string
	changes  []publish.Change
	// addresses are the inner addresses of agents by the names of their upstreams.
	addresses map[string]string
	engines   map[string]*simulated
	// nodes are the inner sides of routers and agents, by the names of
	// processes and of agents' upstreams.
	nodes map[string]*node.Node
}

// simulated is an engine stand-in with a driver of its own.
type simulated struct {
	*enginesim.Manager
	engine.Driver
}

func newTestFleet(t *testing.T, tls tlsconf.Files) *testFleet {
	manager := platform.New(platform.Options{})
	server := httptest.NewServer(manager.Handler())
	t.Cleanup(server.Close)
	f := &testFleet{t: t, platform: manager, storeURL: server.URL, tls: tls, seed: testhost.Free(t), addresses: make(map[string]string), engines: make(map[string]*simulated), nodes: make(map[string]*node.Node)}
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

// populate keeps the inner side of an application for faults.
func (f *testFleet) populate(name string) fx.Option {
	return fx.Invoke(func(n *node.Node) { f.nodes[name] = n })
}

// cutInner ends a process's inner listener and all its sessions at once.
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

// router starts a router and returns it with its settings.
func (f *testFleet) router(name, gossip string) (*fx.App, *RouterSettings) {
	s := NewRouterSettings()
	s.Common = f.common(name, gossip)
	s.Inner.Advertise = s.Inner.Listen
	s.CallersListen.Listen = testhost.Free(f.t)
	s.Operators.Listen = testhost.Free(f.t)
	return f.start(Router(s), f.populate(name)), s
}

// engine starts an engine stand-in with its agent and adds its Upstream object.
func (f *testFleet) engine(name string) *fx.App {
	address := testhost.Free(f.t)
	sim := enginesim.New(enginesim.Options{
		Name: name, Address: address, Weights: "v1", BlockTokens: 2000, CacheBlocks: 100,
		BatchLimit: 8, MaxWaiting: 8, PrefillRate: 100_000, DecodeBase: 20 * time.Millisecond, Restart: time.Second,
	})
	if err := sim.Start(); err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(sim.Stop)
	f.engines[name] = &simulated{Manager: sim, Driver: httpengine.New("http://" + address)}
	return f.agent(name, "engine", "models", "http://"+address)
}

// service starts a plain service with its agent and adds its Upstream object.
func (f *testFleet) service(name string) (*fx.App, *plainsvc.Manager) {
	address := testhost.Free(f.t)
	manager := plainsvc.New(plainsvc.Options{Name: name, Address: address, Latency: time.Millisecond, Restart: time.Second})
	if err := manager.Start(); err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(manager.Stop)
	return f.agent(name, "service", "billing", "http://"+address), manager
}

func (f *testFleet) agent(name, kind, pool, url string) *fx.App {
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
	return f.start(Agent(s), f.populate(name))
}

// publish commits the objects through a router of the fleet and waits until all
// routers are ready. There is an entry slot for each router, as
// docs/operations/limits.md asks, so that each customer has a share at each of them.
func (f *testFleet) publish(through *RouterSettings, routers ...*RouterSettings) {
	f.editFleet(func(fleet *object.Fleet) { fleet.EntrySlots = 1 + len(routers) })
	f.change(through, f.usableChanges()...)
	for _, router := range append(routers, through) {
		f.awaitReady(router)
	}
}

// change publishes changes through a router.
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
		f.t.Fatalf("publish: %d %+v", response.StatusCode, result)
	}
}

// outlive makes store evidence last through the outage of a test. Agents that
// have just started are no witnesses yet, so in a young fleet nothing else
// keeps keyed routes open; see docs/design/configuration.md.
func (f *testFleet) outlive(outage time.Duration) {
	f.editFleet(func(fleet *object.Fleet) { fleet.StaleAfter = object.Duration(outage) })
}

// editFleet changes the Fleet object that will be published.
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

// usableChanges leaves out the objects that refer to a pool without upstreams.
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

func (f *testFleet) storeDown(down bool) {
	f.platform.SetFaults(memstore.Faults{Down: down})
}

func stop(t *testing.T, app *fx.App) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	if err := app.Stop(ctx); err != nil {
		t.Errorf("stop was not graceful: %v", err)
	}
}
