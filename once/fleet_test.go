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
	testPool             = "billing"
	testHorizon          = 60 * time.Second
	testDropAfter        = 5 * time.Second
	maxIncarnationRaises = 9
)

// fleet is a few managers on one store.
type fleet struct {
	t      *testing.T
	store  *memstore.Store
	shards int

	mu                sync.Mutex
	managers          map[string]*Manager
	startIncarnations map[string]uint64
	// incarnationRaises are added to incarnations within a life, as membership does.
	incarnationRaises map[string]uint64
	executionCounts   map[ID]int
	answerCount       int
}

func newFleet(t *testing.T, shards int) *fleet {
	return &fleet{
		t: t, store: memstore.New(), shards: shards,
		managers: make(map[string]*Manager), startIncarnations: make(map[string]uint64), incarnationRaises: make(map[string]uint64), executionCounts: make(map[ID]int),
	}
}

// start begins a new incarnation of the process.
func (f *fleet) start(process string) *Manager { return f.startOn(process, f.store) }

func (f *fleet) startOn(process string, st store.Store) *Manager {
	f.mu.Lock()
	f.startIncarnations[process] += maxIncarnationRaises + 1
	f.incarnationRaises[process] = 0
	self := Peer{Process: process, Address: processAddress(process), Incarnation: f.startIncarnations[process]}
	f.mu.Unlock()
	m := NewManager(Options{
		Store: st, Hosts: f.store, Transport: &fleetTransport{f}, Pool: testPool, Self: self,
		Peers:     func() []Peer { return f.peersSeenBy(self) },
		Shards:    func() int { return f.shards },
		Horizon:   func() time.Duration { return testHorizon },
		DropAfter: testDropAfter,
		Log:       zerolog.Nop(),
	})
	f.mu.Lock()
	f.managers[process] = m
	f.mu.Unlock()
	f.listHosts()
	m.Start()
	return m
}

func processAddress(process string) string { return "10.0.0." + process[1:] + ":7000" }

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
		f.incarnationRaises[peer.Process] = min(maxIncarnationRaises, f.incarnationRaises[peer.Process]+1)
		peer.Incarnation += f.incarnationRaises[peer.Process]
		peers = append(peers, peer)
	}
	sort.Slice(peers, func(i, j int) bool { return peers[i].Process < peers[j].Process })
	return peers
}

// peersSeenBy returns the peers that a process knows of: a paused one knows itself.
func (f *fleet) peersSeenBy(self Peer) []Peer {
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
	f.executionCounts[request.ID()]++
	f.answerCount++
	return Outcome{State: StateRan, Answer: fmt.Appendf(nil, "answer %d", f.answerCount)}
}

func (f *fleet) executions(request Request) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.executionCounts[request.ID()]
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

// waitUntilOwned waits until each shard is owned by its preferred process.
func (f *fleet) waitUntilOwned() {
	f.t.Helper()
	for range 200 {
		owned := 0
		for _, peer := range f.peers() {
			owned += len(f.manager(peer.Process).OwnedShards())
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
		for _, owned := range f.manager(peer.Process).OwnedShards() {
			if owned == number {
				return peer.Process
			}
		}
	}
	f.t.Fatal("the shard has no owner")
	return ""
}

// fleetTransport delivers messages between the managers of a fleet.
type fleetTransport struct{ f *fleet }

var errNoPeer = errors.New("no such peer")

func (l *fleetTransport) MarkUnjournaled(_ context.Context, witness Peer, mark UnjournaledMark) error {
	if m := l.f.manager(witness.Process); m != nil {
		return m.HandleMarkUnjournaled(witness.Incarnation, mark)
	}
	return errNoPeer
}

func (l *fleetTransport) QueryUnjournaled(_ context.Context, witness Peer, ask UnjournaledQuery) (bool, error) {
	if m := l.f.manager(witness.Process); m != nil {
		return m.HandleQueryUnjournaled(witness.Incarnation, ask)
	}
	return false, errNoPeer
}

func (l *fleetTransport) Offer(ctx context.Context, peer Peer, shard int, closed bool) (bool, error) {
	if m := l.f.manager(peer.Process); m != nil {
		return m.HandleOffer(ctx, shard, closed), nil
	}
	return false, errNoPeer
}

func chargeRequest(key string) Request {
	return Request{Customer: "limon", Key: key, Digest: Sum([]byte("pay 5"))}
}

// errorReason returns the errorReason of err, or fails the test.
func errorReason(t *testing.T, err error) Reason {
	t.Helper()
	var refused *Error
	if !errors.As(err, &refused) {
		t.Fatalf("got %v, want a refusal", err)
	}
	return refused.Reason
}
