package configsync

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/greengagegate/greengagegate/internal/object"
	"github.com/greengagegate/greengagegate/internal/wire"
	"github.com/greengagegate/greengagegate/internal/wire/wirepb"
	"github.com/greengagegate/greengagegate/membership"
	"github.com/greengagegate/greengagegate/snapshot"
	"github.com/greengagegate/greengagegate/store/memstore"
	"github.com/rs/zerolog"
)

// fixedView is a membership.View that never changes.
type fixedView struct {
	self    membership.Member
	members []membership.Member
}

func (t fixedView) Self() membership.Member      { return t.self }
func (t fixedView) Members() []membership.Member { return t.members }
func (t fixedView) Changed() <-chan struct{}     { return nil }

// demoSnapshot returns the demo configuration as revision 1.
func demoSnapshot(t testing.TB) *snapshot.Snapshot {
	t.Helper()
	documents, mistakes := object.ReadFiles("../../examples/demo/config")
	if len(mistakes) > 0 {
		t.Fatal(mistakes)
	}
	var changes []snapshot.Change
	for _, d := range documents {
		changes = append(changes, snapshot.Change{Key: d.Key(), Value: d.Spec})
	}
	return new(snapshot.Snapshot).Apply(1, changes)
}

// startServingManager starts a manager that handles exchanges of peers at the listener,
// over the wire protocol between processes.
func startServingManager(t *testing.T, backing *memstore.Store, listener net.Listener, view fixedView) *Manager {
	t.Helper()
	own := &wirepb.Hello{Process: view.self.Process, Address: view.self.Address}
	pool := wire.NewPool(own, wire.NewDialer(""))
	m := New(Options{Store: backing, Pool: pool, View: view, Log: zerolog.Nop(), Seed: 1})
	server := wire.NewServer(own, zerolog.Nop())
	m.Register(server)
	go func() { _ = server.Serve(listener) }()
	_ = m.Start(t.Context())
	t.Cleanup(func() {
		_ = m.Stop(context.Background())
		pool.Close()
		_ = listener.Close()
	})
	return m
}

// A process that cannot read the store must load the configuration and receive a change
// from its peer over TCP.
func TestLoadAndFollowPeerOverTCP(t *testing.T) {
	var listeners []net.Listener
	var members []membership.Member
	for _, name := range []string{"a", "b"} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		listeners = append(listeners, listener)
		members = append(members, membership.Member{Process: name, Address: listener.Addr().String(), Zone: "z"})
	}
	unavailable := memstore.New()
	unavailable.SetFaults(memstore.Faults{Down: true})
	a := startServingManager(t, memstore.New(), listeners[0], fixedView{members[0], members})
	b := startServingManager(t, unavailable, listeners[1], fixedView{members[1], members})
	first := demoSnapshot(t)
	if err := a.Apply(first, ""); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	if err := b.Loaded(ctx); err != nil || b.Snapshot().Hash() != first.Hash() {
		t.Fatalf("b did not load the configuration from a: %v", err)
	}
	changed := b.Changed()
	second := first.Apply(2, []snapshot.Change{{Key: "Customer/pilots", Value: []byte(`{"burst":5000,"rate":10}`)}})
	if err := a.Apply(second, ""); err != nil {
		t.Fatal(err)
	}
	select {
	case <-changed:
	case <-ctx.Done():
		t.Fatal("the change did not reach b")
	}
	if b.Snapshot().Hash() != second.Hash() || b.Current().Customers["pilots"].Rate != 10 {
		t.Fatal("the configuration of b differs from that of a")
	}
}

// Guards against choices of neighbours that leave some members unreachable by pushes, or
// that grow faster than log2 of the number of members.
func TestNeighboursConnectAll(t *testing.T) {
	for _, size := range []int{2, 3, 10, 350} {
		var members []membership.Member
		for i := range size {
			name := string(rune('a'+i%26)) + "-" + time.Duration(i).String()
			members = append(members, membership.Member{Process: name, Address: name})
		}
		reached := map[string]bool{members[0].Address: true}
		frontier := []membership.Member{members[0]}
		maxNeighbours := 0
		for len(frontier) > 0 {
			m := New(Options{Store: memstore.New(), Transport: NewTransport(nil), View: fixedView{frontier[0], members}, Log: zerolog.Nop()})
			frontier = frontier[1:]
			peers := m.neighbours()
			maxNeighbours = max(maxNeighbours, len(peers))
			for _, peer := range peers {
				if !reached[peer] {
					reached[peer] = true
					frontier = append(frontier, membership.Member{Process: peer, Address: peer})
				}
			}
		}
		if len(reached) != size || maxNeighbours > neighbourDistances(size)+1 {
			t.Errorf("%d members: %d reached, up to %d neighbours", size, len(reached), maxNeighbours)
		}
	}
}

// Guards against applying a delta whose result does not have the hash that the peer
// sent, and against applying a set that is not valid.
func TestWrongHashAndInvalidSetAreNotApplied(t *testing.T) {
	m := New(Options{Store: memstore.New(), Transport: NewTransport(nil), View: fixedView{}, Log: zerolog.Nop()})
	first := demoSnapshot(t)
	if err := m.Apply(first, ""); err != nil {
		t.Fatal(err)
	}
	wrongHash := &wirepb.ConfigDelta{From: 1, To: 2, ToHash: make([]byte, 32), Changes: []*wirepb.ConfigChange{
		{Key: "Key/pilot-1", Deleted: true},
	}}
	if err := m.applyDelta(wrongHash, "peer"); err == nil || m.Revision() != 1 {
		t.Fatalf("a delta with a wrong hash: revision %d, error %v", m.Revision(), err)
	}
	invalid := first.Apply(2, []snapshot.Change{{Key: "Customer/pilots", Deleted: true}})
	if err := m.Apply(invalid, "peer"); err == nil || m.Revision() != 1 {
		t.Fatalf("an invalid set was applied: %v", err)
	}
}

// Guards against cycles and long paths in the trees along which evidence spreads. Parents
// must lead from each member to the watcher of its zone in at most 4 steps, and from
// a watcher to the watcher of another zone.
func TestParentsLeadToTheWatcher(t *testing.T) {
	var members []membership.Member
	for i := range 200 {
		name := "p-" + time.Duration(i).String()
		members = append(members, membership.Member{Process: name, Address: name, Zone: string(rune('a' + i%3))})
	}
	managers := make(map[string]*Manager)
	for _, self := range members {
		managers[self.Address] = New(Options{Store: memstore.New(), Transport: NewTransport(nil), View: fixedView{self, members}, Log: zerolog.Nop()})
	}
	watchers := 0
	for _, self := range members {
		m := managers[self.Address]
		steps := 0
		for !m.isZoneWatcher() {
			m = managers[m.parent()[0]]
			steps++
		}
		if zone := m.options.View.Self().Zone; zone != self.Zone || steps > 4 {
			t.Fatalf("%s reaches the watcher of zone %s in %d steps", self.Process, zone, steps)
		}
		if steps > 0 {
			continue
		}
		watchers++
		next := managers[m.parent()[0]]
		if !next.isZoneWatcher() || next.options.View.Self().Zone == self.Zone {
			t.Fatal("the parent of a watcher is not the watcher of another zone")
		}
	}
	if watchers != 3 {
		t.Fatalf("%d watchers in 3 zones, want 3", watchers)
	}
}
