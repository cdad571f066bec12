package once

import (
	"context"
	"errors"
	"fmt"
	"sort"
	"sync"
	"testing"
	"time"

	"github.com/greengagegate/greengagegate/store"
	"github.com/greengagegate/greengagegate/store/memstore"
	"github.com/rs/zerolog"
)

const (
	testPool    = "billing"
	testHorizon = 60 * time.Second
	testDrop    = 5 * time.Second
	maxRaises   = 9
)

// fleet is a few managers on one store.
type fleet struct {
	t      *testing.T
	store  *memstore.Store
	shards int

	mu       sync.Mutex
	managers map[string]*Manager
	born     map[string]uint64
	// raises are added to incarnations within a life, as membership does.
	raises  map[string]uint64
	ledger  map[ID]int
	answers int
}

func newFleet(t *testing.T, shards int) *fleet {
	return &fleet{
		t: t, store: memstore.New(), shards: shards,
		managers: make(map[string]*Manager), born: make(map[string]uint64), raises: make(map[string]uint64), ledger: make(map[ID]int),
	}
}

// start begins a new incarnation of the process.
func (f *fleet) start(process string) *Manager { return f.startOn(process, f.store) }

func (f *fleet) startOn(process string, st store.Store) *Manager {
	f.mu.Lock()
	f.born[process] += maxRaises + 1
	f.raises[process] = 0
	self := Peer{Process: process, Address: address(process), Incarnation: f.born[process]}
	f.mu.Unlock()
	m := NewManager(Options{
		Store: st, Hosts: f.store, Transport: &link{f}, Pool: testPool, Self: self,
		Peers:     func() []Peer { return f.seenBy(self) },
		Shards:    func() int { return f.shards },
		Horizon:   func() time.Duration { return testHorizon },
		DropAfter: testDrop,
		Log:       zerolog.Nop(),
	})
	f.mu.Lock()
	f.managers[process] = m
	f.mu.Unlock()
	f.listHosts()
	m.Start()
	return m
}

func address(process string) string { return "10.0.0." + process[1:] + ":7000" }

// crash ends a process without a hand-over.
func (f *fleet) crash(process string) {
	f.mu.Lock()
	m := f.managers[process]
	delete(f.managers, process)
	f.mu.Unlock()
	if m != nil {
		m.cancel()
	}
}

// listHosts makes the platform's list show exactly the running processes.
func (f *fleet) listHosts() {
	var hosts []store.Host
	for _, peer := range f.peers() {
		hosts = append(hosts, store.Host{Address: peer.Address})
	}
	f.store.SetHosts(hosts)
}

func (f *fleet) stopAll() {
	f.store.SetFaults(memstore.Faults{})
	for _, peer := range f.peers() {
		f.crash(peer.Process)
	}
}

func (f *fleet) peers() []Peer {
	f.mu.Lock()
	defer f.mu.Unlock()
	var peers []Peer
	for _, m := range f.managers {
		peer := m.options.Self
		f.raises[peer.Process] = min(maxRaises, f.raises[peer.Process]+1)
		peer.Incarnation += f.raises[peer.Process]
		peers = append(peers, peer)
	}
	sort.Slice(peers, func(i, j int) bool { return peers[i].Process < peers[j].Process })
	return peers
}

// seenBy returns the peers that a process knows of: a paused one knows itself.
func (f *fleet) seenBy(self Peer) []Peer {
	if f.manager(self.Process) == nil {
		return []Peer{self}
	}
	return f.peers()
}

func (f *fleet) manager(process string) *Manager {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.managers[process]
}

// execute counts an execution and returns an answer of its own.
func (f *fleet) execute(request Request) Outcome {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ledger[request.ID()]++
	f.answers++
	return Outcome{State: StateRan, Answer: fmt.Appendf(nil, "answer %d", f.answers)}
}

func (f *fleet) executions(request Request) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ledger[request.ID()]
}

// call sends a request as a router does: to any process, then to the owner it names.
func (f *fleet) call(request Request, limit time.Duration) (Result, error) {
	return f.callWith(request, limit, func() Outcome { return f.execute(request) })
}

func (f *fleet) callWith(request Request, limit time.Duration, run func() Outcome) (Result, error) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	var last error = &Error{Reason: ReasonUnavailable}
	target := ""
	for range 5 {
		if target == "" {
			peers := f.peers()
			if len(peers) == 0 {
				return Result{}, last
			}
			target = peers[int(request.ID()[0])%len(peers)].Process
		}
		m := f.manager(target)
		if m == nil {
			return Result{}, &Error{Reason: ReasonUnavailable}
		}
		result, err := m.Do(ctx, request, run)
		var refused *Error
		if !errors.As(err, &refused) || refused.Reason != ReasonNotOwner {
			return result, err
		}
		last, target = err, refused.Owner.Process
	}
	return Result{}, last
}

// settle waits until each shard is owned by its preferred process.
func (f *fleet) settle() {
	f.t.Helper()
	for range 200 {
		owned := 0
		for _, peer := range f.peers() {
			owned += len(f.manager(peer.Process).Owned())
		}
		if owned == f.shards {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	f.t.Fatal("the shards found no owners")
}

// owner returns the process that owns the request's shard.
func (f *fleet) owner(request Request) string {
	f.t.Helper()
	number := ShardOf(request.ID(), f.shards)
	for _, peer := range f.peers() {
		for _, owned := range f.manager(peer.Process).Owned() {
			if owned == number {
				return peer.Process
			}
		}
	}
	f.t.Fatal("the shard has no owner")
	return ""
}

// link delivers messages between the managers of a fleet.
type link struct{ f *fleet }

var errNoPeer = errors.New("no such peer")

func (l *link) MarkUnjournaled(_ context.Context, witness Peer, mark UnjournaledMark) error {
	if m := l.f.manager(witness.Process); m != nil {
		return m.HandleMarkUnjournaled(witness.Incarnation, mark)
	}
	return errNoPeer
}

func (l *link) QueryUnjournaled(_ context.Context, witness Peer, ask UnjournaledQuery) (bool, error) {
	if m := l.f.manager(witness.Process); m != nil {
		return m.HandleQueryUnjournaled(witness.Incarnation, ask)
	}
	return false, errNoPeer
}

func (l *link) Offer(ctx context.Context, peer Peer, shard int, closed bool) (bool, error) {
	if m := l.f.manager(peer.Process); m != nil {
		return m.HandleOffer(ctx, shard, closed), nil
	}
	return false, errNoPeer
}

func charge(key string) Request {
	return Request{Customer: "limon", Key: key, Digest: Sum([]byte("pay 5"))}
}

// reason returns the reason of err, or fails the test.
func reason(t *testing.T, err error) Reason {
	t.Helper()
	var refused *Error
	if !errors.As(err, &refused) {
		t.Fatalf("got %v, want a refusal", err)
	}
	return refused.Reason
}
