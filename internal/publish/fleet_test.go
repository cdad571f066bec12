package publish

import (
	"context"
	"errors"
	"fmt"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/greengagegate/greengagegate/internal/configsync"
	"github.com/greengagegate/greengagegate/internal/object"
	"github.com/greengagegate/greengagegate/internal/wire/wirepb"
	"github.com/greengagegate/greengagegate/membership"
	"github.com/greengagegate/greengagegate/store"
	"github.com/greengagegate/greengagegate/store/memstore"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"
)

const linkDelay = time.Millisecond

var errCut = errors.New("link is cut")

// process is one member of the test fleet.
type process struct {
	member    membership.Member
	manager   *configsync.Manager
	publisher *Publisher
	gate      *gate
}

// fleet joins managers by an in-memory network whose links can be cut.
type fleet struct {
	store *memstore.Store

	mu        sync.Mutex
	processes map[string]*process
	members   []membership.Member
	// side splits the network: processes reach each other when their sides are equal.
	side map[string]int
	sent int
}

func newFleet() *fleet {
	return &fleet{store: memstore.New(), processes: make(map[string]*process), side: make(map[string]int)}
}

// gate is the store as one process reaches it.
type gate struct {
	store.Store
	mu  sync.Mutex
	cut bool
	// beforePut runs before each write, for stops in the midst of a publication.
	beforePut func(key string)
}

func (g *gate) setCut(cut bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cut = cut
}

func (g *gate) setBeforePut(hook func(key string)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.beforePut = hook
}

func (g *gate) open() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.cut {
		return store.ErrUnavailable
	}
	return nil
}

func (g *gate) Get(ctx context.Context, key string) (store.Object, error) {
	if err := g.open(); err != nil {
		return store.Object{}, err
	}
	return g.Store.Get(ctx, key)
}

func (g *gate) Put(ctx context.Context, key string, value []byte, expected int64) (int64, error) {
	g.mu.Lock()
	hook := g.beforePut
	g.mu.Unlock()
	if hook != nil {
		hook(key)
	}
	if err := g.open(); err != nil {
		return 0, err
	}
	return g.Store.Put(ctx, key, value, expected)
}

func (g *gate) Watch(ctx context.Context, prefix string, after int64) (<-chan store.Object, error) {
	if err := g.open(); err != nil {
		return nil, err
	}
	return g.Store.Watch(ctx, prefix, after)
}

// view is a process's membership table, the same for all.
type view struct {
	fleet *fleet
	self  membership.Member
}

func (v view) Self() membership.Member { return v.self }

func (v view) Members() []membership.Member {
	v.fleet.mu.Lock()
	defer v.fleet.mu.Unlock()
	return append([]membership.Member(nil), v.fleet.members...)
}

func (v view) Changed() <-chan struct{} { return nil }

// link is a process's way to its peers.
type link struct {
	fleet *fleet
	from  string
}

func (l link) Exchange(ctx context.Context, address string, request *wirepb.ConfigExchange) (*wirepb.ConfigReply, error) {
	time.Sleep(linkDelay)
	target := l.fleet.reach(l.from, address)
	if target == nil {
		return nil, errCut
	}
	reply := target.manager.HandleExchange(l.from, proto.Clone(request).(*wirepb.ConfigExchange))
	time.Sleep(linkDelay)
	if l.fleet.reach(l.from, address) != target {
		return nil, errCut
	}
	return proto.Clone(reply).(*wirepb.ConfigReply), nil
}

func (f *fleet) reach(from, to string) *process {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.side[from] != f.side[to] {
		return nil
	}
	f.sent++
	return f.processes[to]
}

func (f *fleet) setSide(side int, addresses ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, address := range addresses {
		f.side[address] = side
	}
}

// add declares a member; start runs it.
func (f *fleet) add(role membership.Role, zone, address string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.members = append(f.members, membership.Member{
		Process: "p-" + address, Address: address, Role: role, Zone: zone, Incarnation: 1,
	})
	return address
}

func (f *fleet) start(addresses ...string) {
	for _, address := range addresses {
		f.startOne(address)
	}
}

func (f *fleet) startOne(address string) *process {
	f.mu.Lock()
	var self membership.Member
	for _, member := range f.members {
		if member.Address == address {
			self = member
		}
	}
	f.mu.Unlock()
	way := &gate{Store: f.store}
	manager := configsync.New(configsync.Options{
		Store: way, Transport: link{f, address}, View: view{f, self}, Log: zerolog.Nop(), Seed: seedOf(address),
	})
	p := &process{member: self, manager: manager, publisher: NewPublisher(manager), gate: way}
	f.mu.Lock()
	f.processes[address] = p
	f.mu.Unlock()
	_ = manager.Start(context.Background())
	return p
}

// stop ends a process; its memory is lost.
func (f *fleet) stop(addresses ...string) {
	for _, address := range addresses {
		f.mu.Lock()
		p := f.processes[address]
		delete(f.processes, address)
		f.mu.Unlock()
		if p != nil {
			_ = p.manager.Stop(context.Background())
		}
	}
}

func (f *fleet) stopAll() {
	f.mu.Lock()
	var all []string
	for address := range f.processes {
		all = append(all, address)
	}
	f.mu.Unlock()
	f.stop(all...)
}

func (f *fleet) at(address string) *process {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.processes[address]
}

// demoChanges returns the objects of the demo as changes.
func demoChanges(t testing.TB) []Change {
	t.Helper()
	if _, err := os.Stat("../../examples/demo/config"); err != nil {
		t.Fatal(err)
	}
	documents, mistakes := object.ReadFiles("../../examples/demo/config")
	if len(mistakes) > 0 {
		t.Fatal(mistakes)
	}
	var changes []Change
	for _, d := range documents {
		changes = append(changes, Change{Kind: d.Kind, Name: d.Name, Spec: d.Spec, Base: BaseAbsent})
	}
	return changes
}

// The agents of the demo's set, three in each half of the network.
var demoAgents = []string{
	"127.0.1.1:7601", "127.0.2.1:7602", "127.0.3.1:7603", "127.0.1.1:7604", "127.0.1.1:7611", "127.0.2.1:7612",
}

// demoFleet starts three routers and the demo's agents, and publishes the demo's set.
func demoFleet(t testing.TB) (*fleet, []string) {
	t.Helper()
	f := newFleet()
	var routers []string
	for i, zone := range []string{"a", "b", "c"} {
		routers = append(routers, f.add(membership.RoleRouter, zone, fmt.Sprintf("127.0.%d.1:7500", i+1)))
	}
	for i, address := range demoAgents {
		f.add(membership.RoleAgent, string(rune('a'+i%3)), address)
	}
	f.start(routers...)
	f.start(demoAgents...)
	result := f.at(routers[0]).publisher.Publish(t.Context(), Request{Author: "test", Changes: demoChanges(t)})
	if result.Outcome != OutcomeAccepted || result.Revision != 1 {
		t.Fatalf("demo set: %+v", result)
	}
	time.Sleep(20 * time.Second)
	return f, routers
}

func withdraw(key string) Change {
	return Change{
		Kind: object.KindKey, Name: key,
		Spec: []byte(`{"customer":"pilots","sha256":"` + pilotDigest + `","state":"withdrawn"}`),
	}
}

// pilotDigest is the digest of the demo's key for pilots.
const pilotDigest = "da5b5a13b914c5291a4d70d33326040790481915078984b62998ed9ae6c83d5c"

// seedOf gives each process its own fixed seed.
func seedOf(address string) uint64 {
	seed := uint64(1)
	for _, b := range []byte(address) {
		seed = seed*31 + uint64(b)
	}
	return seed
}
