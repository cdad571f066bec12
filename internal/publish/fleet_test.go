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

// linkDelay is the delay of a message between two processes, in each direction.
const linkDelay = time.Millisecond

var errUnreachable = errors.New("peer is unreachable")

// process is one member of the test fleet.
type process struct {
	member    membership.Member
	manager   *configsync.Manager
	publisher *Publisher
	store     *processStore
}

// fleet is a set of processes that are connected by an in-memory network, which
// can be partitioned.
type fleet struct {
	store *memstore.Store

	mu        sync.Mutex
	processes map[string]*process
	members   []membership.Member
	// partition has the partition of each process's address. Processes reach
	// each other if they are in the same partition; the default is 0.
	partition       map[string]int
	reachableChecks int
}

func newFleet() *fleet {
	return &fleet{store: memstore.New(), processes: make(map[string]*process), partition: make(map[string]int)}
}

// processStore is one process's connection to the store, which can be cut.
type processStore struct {
	store.Store
	mu          sync.Mutex
	unreachable bool
	// beforePut, if not nil, is called before each write. Tests use it to inject
	// faults or pauses during a publication.
	beforePut func(key string)
}

func (s *processStore) setUnreachable(unreachable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unreachable = unreachable
}

func (s *processStore) setBeforePut(hook func(key string)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.beforePut = hook
}

func (s *processStore) checkReachable() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unreachable {
		return store.ErrUnavailable
	}
	return nil
}

func (s *processStore) Get(ctx context.Context, key string) (store.Object, error) {
	if err := s.checkReachable(); err != nil {
		return store.Object{}, err
	}
	return s.Store.Get(ctx, key)
}

func (s *processStore) Put(ctx context.Context, key string, value []byte, expected int64) (int64, error) {
	s.mu.Lock()
	hook := s.beforePut
	s.mu.Unlock()
	if hook != nil {
		hook(key)
	}
	if err := s.checkReachable(); err != nil {
		return 0, err
	}
	return s.Store.Put(ctx, key, value, expected)
}

func (s *processStore) Watch(ctx context.Context, prefix string, after int64) (<-chan store.Object, error) {
	if err := s.checkReachable(); err != nil {
		return nil, err
	}
	return s.Store.Watch(ctx, prefix, after)
}

// membershipView is the membership as one process sees it. All processes see the
// same members.
type membershipView struct {
	fleet *fleet
	self  membership.Member
}

func (v membershipView) Self() membership.Member { return v.self }

func (v membershipView) Members() []membership.Member {
	v.fleet.mu.Lock()
	defer v.fleet.mu.Unlock()
	return append([]membership.Member(nil), v.fleet.members...)
}

func (v membershipView) Changed() <-chan struct{} { return nil }

// memTransport carries the exchanges of the process at address from in memory.
type memTransport struct {
	fleet *fleet
	from  string
}

func (t memTransport) Exchange(ctx context.Context, address string, request *wirepb.ConfigExchange) (*wirepb.ConfigReply, error) {
	time.Sleep(linkDelay)
	target := t.fleet.reachablePeer(t.from, address)
	if target == nil {
		return nil, errUnreachable
	}
	reply := target.manager.HandleExchange(t.from, proto.Clone(request).(*wirepb.ConfigExchange))
	time.Sleep(linkDelay)
	if t.fleet.reachablePeer(t.from, address) != target {
		return nil, errUnreachable
	}
	return proto.Clone(reply).(*wirepb.ConfigReply), nil
}

// reachablePeer returns the process at address to, or nil if it is stopped or in
// another partition than from. It increments reachableChecks if both are in the same
// partition.
func (f *fleet) reachablePeer(from, to string) *process {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.partition[from] != f.partition[to] {
		return nil
	}
	f.reachableChecks++
	return f.processes[to]
}

// setPartition moves the addresses to a partition of the network.
func (f *fleet) setPartition(partition int, addresses ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, address := range addresses {
		f.partition[address] = partition
	}
}

// addMember adds a member to the membership without starting its process, and
// returns its address.
func (f *fleet) addMember(role membership.Role, zone, address string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.members = append(f.members, membership.Member{
		Process: "p-" + address, Address: address, Role: role, Zone: zone, Incarnation: 1,
	})
	return address
}

func (f *fleet) startAll(addresses ...string) {
	for _, address := range addresses {
		f.start(address)
	}
}

// start starts a new process at the address of a member.
func (f *fleet) start(address string) *process {
	f.mu.Lock()
	var self membership.Member
	for _, member := range f.members {
		if member.Address == address {
			self = member
		}
	}
	f.mu.Unlock()
	ownStore := &processStore{Store: f.store}
	manager := configsync.New(configsync.Options{
		Store: ownStore, Transport: memTransport{f, address}, View: membershipView{f, self}, Log: zerolog.Nop(), Seed: seedOf(address),
	})
	p := &process{member: self, manager: manager, publisher: NewPublisher(manager), store: ownStore}
	f.mu.Lock()
	f.processes[address] = p
	f.mu.Unlock()
	_ = manager.Start(context.Background())
	return p
}

// stop stops the processes at the addresses and discards their state.
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
	var addresses []string
	for address := range f.processes {
		addresses = append(addresses, address)
	}
	f.mu.Unlock()
	f.stop(addresses...)
}

// process returns the process at address, or nil if it is stopped.
func (f *fleet) process(address string) *process {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.processes[address]
}

// demoChanges returns changes that create the objects of the demo configuration.
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

// demoAgents are the addresses of the agents of the demo configuration. Five of
// the six are its witnesses, since the number of witnesses is odd.
var demoAgents = []string{
	"127.0.1.1:7601", "127.0.2.1:7602", "127.0.3.1:7603", "127.0.1.1:7604", "127.0.1.1:7611", "127.0.2.1:7612",
}

// startDemoFleet starts three routers and the agents of the demo, publishes the
// demo configuration and waits until it has spread. It returns the fleet and the
// addresses of the routers.
func startDemoFleet(t testing.TB) (*fleet, []string) {
	t.Helper()
	f := newFleet()
	var routers []string
	for i, zone := range []string{"a", "b", "c"} {
		routers = append(routers, f.addMember(membership.RoleRouter, zone, fmt.Sprintf("127.0.%d.1:7500", i+1)))
	}
	for i, address := range demoAgents {
		f.addMember(membership.RoleAgent, string(rune('a'+i%3)), address)
	}
	f.startAll(routers...)
	f.startAll(demoAgents...)
	result := f.process(routers[0]).publisher.Publish(t.Context(), Request{Author: "test", Changes: demoChanges(t)})
	if result.Outcome != OutcomeAccepted || result.Revision != 1 {
		t.Fatalf("publish the demo configuration: %+v", result)
	}
	time.Sleep(20 * time.Second)
	return f, routers
}

// withdrawKey returns the change that withdraws one of the demo's keys for pilots.
func withdrawKey(name string) Change {
	return Change{
		Kind: object.KindKey, Name: name,
		Spec: []byte(`{"customer":"pilots","sha256":"` + pilotDigest + `","state":"withdrawn"}`),
	}
}

// pilotDigest is the SHA-256 digest of the demo's key for pilots.
const pilotDigest = "da5b5a13b914c5291a4d70d33326040790481915078984b62998ed9ae6c83d5c"

// seedOf returns the fixed seed of the process at address.
func seedOf(address string) uint64 {
	seed := uint64(1)
	for _, b := range []byte(address) {
		seed = seed*31 + uint64(b)
	}
	return seed
}
