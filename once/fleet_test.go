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
	testPool      = "billing"
	testHorizon   = 60 * time.Second
	testDropAfter = 5 * time.Second
	// maxIncarnationRaises bounds how often an incarnation grows while a process runs.
	maxIncarnationRaises = 9
)

// fleet is a set of managers that share one store.
type fleet struct {
	t      *testing.T
	store  *memstore.Store
	shards int

	mu sync.Mutex
	// managers holds the managers of the running processes by process.
	managers map[string]*Manager
	// startIncarnations holds the incarnation with which each process started last.
	startIncarnations map[string]uint64
	// incarnationRaises holds by how much each incarnation has grown since the start
	// of its process. Membership raises incarnations in the same way.
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

// start starts a new incarnation of the process.
func (f *fleet) start(process string) *Manager { return f.startOn(process, f.store) }

// startOn is start with a store of its own.
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

// crash ends a process without a handover.
func (f *fleet) crash(process string) {
	f.mu.Lock()
	m := f.managers[process]
	delete(f.managers, process)
	f.mu.Unlock()
	if m != nil {
		m.cancel()
	}
}

// listHosts sets the platform's list of hosts to those of the running processes.
func (f *fleet) listHosts() {
	var hosts []store.Host
	for _, peer := range f.peersWithRaisedIncarnations() {
		hosts = append(hosts, store.Host{Address: peer.Address})
	}
	f.store.SetHosts(hosts)
}

// stopAll ends all faults and processes.
func (f *fleet) stopAll() {
	f.store.SetFaults(memstore.Faults{})
	for _, peer := range f.peersWithRaisedIncarnations() {
		f.crash(peer.Process)
	}
}

// peersWithRaisedIncarnations returns the running processes. Each call raises their
// incarnations by one, up to maxIncarnationRaises.
func (f *fleet) peersWithRaisedIncarnations() []Peer {
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

// peersSeenBy returns the peers that a process knows: all running ones, or only itself
// while it is paused.
func (f *fleet) peersSeenBy(self Peer) []Peer {
	if f.manager(self.Process) == nil {
		return []Peer{self}
	}
	return f.peersWithRaisedIncarnations()
}

func (f *fleet) manager(process string) *Manager {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.managers[process]
}

// execute counts an execution of the request and returns a new answer.
func (f *fleet) execute(request Request) Outcome {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.executionCounts[request.ID()]++
	f.answerCount++
	return Outcome{State: StateRan, Answer: fmt.Appendf(nil, "answer %d", f.answerCount)}
}

// executions returns how often the request's key was executed.
func (f *fleet) executions(request Request) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.executionCounts[request.ID()]
}

// call sends a request as a router does: to some process, then to the owner that the
// process names.
func (f *fleet) call(request Request, timeout time.Duration) (Result, error) {
	return f.callWith(request, timeout, func() Outcome { return f.execute(request) })
}

// callWith is call with an execution of its own.
func (f *fleet) callWith(request Request, timeout time.Duration, run func() Outcome) (Result, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var lastErr error = &Error{Reason: ReasonUnavailable}
	target := ""
	for range 5 {
		if target == "" {
			peers := f.peersWithRaisedIncarnations()
			if len(peers) == 0 {
				return Result{}, lastErr
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
		lastErr, target = err, refused.Owner.Process
	}
	return Result{}, lastErr
}

// waitUntilOwned waits until each shard has an owner, for at most 20 s.
func (f *fleet) waitUntilOwned() {
	f.t.Helper()
	for range 200 {
		owned := 0
		for _, peer := range f.peersWithRaisedIncarnations() {
			owned += len(f.manager(peer.Process).OwnedShards())
		}
		if owned == f.shards {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	f.t.Fatal("some shards have no owner after 20 s")
}

// owner returns the process that owns the request's shard.
func (f *fleet) owner(request Request) string {
	f.t.Helper()
	number := ShardOf(request.ID(), f.shards)
	for _, peer := range f.peersWithRaisedIncarnations() {
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
type fleetTransport struct{ fleet *fleet }

var errNoPeer = errors.New("peer is not running")

func (t *fleetTransport) MarkUnjournaled(_ context.Context, witness Peer, mark UnjournaledMark) error {
	if m := t.fleet.manager(witness.Process); m != nil {
		return m.HandleMarkUnjournaled(witness.Incarnation, mark)
	}
	return errNoPeer
}

func (t *fleetTransport) QueryUnjournaled(_ context.Context, witness Peer, query UnjournaledQuery) (bool, error) {
	if m := t.fleet.manager(witness.Process); m != nil {
		return m.HandleQueryUnjournaled(witness.Incarnation, query)
	}
	return false, errNoPeer
}

func (t *fleetTransport) Offer(ctx context.Context, peer Peer, shard int, closed bool) (bool, error) {
	if m := t.fleet.manager(peer.Process); m != nil {
		return m.HandleOffer(ctx, shard, closed), nil
	}
	return false, errNoPeer
}

// chargeRequest returns a request with a key of a fixed customer and a fixed content.
func chargeRequest(key string) Request {
	return Request{Customer: "limon", Key: key, Digest: ContentDigest([]byte("pay 5"))}
}

// errorReason returns the reason of err. It fails the test when err is not an *Error.
func errorReason(t *testing.T, err error) Reason {
	t.Helper()
	var refused *Error
	if !errors.As(err, &refused) {
		t.Fatalf("got %v, want a refusal", err)
	}
	return refused.Reason
}
