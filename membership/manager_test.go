package membership

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/greengagegate/greengagegate/membership/memberpb"
	"github.com/rs/zerolog"
)

var testKey = []byte("membership test key")

// network is an in-memory Transport for many members, with cuts.
type network struct {
	mu    sync.Mutex
	ports map[string]*port
	cut   func(from, to string) bool
	bytes int64
}

type packet struct {
	from string
	data []byte
}

type port struct {
	network *network
	address string
	packets chan packet
	closed  chan struct{}
	once    sync.Once
}

func newNetwork() *network { return &network{ports: make(map[string]*port)} }

func (n *network) listen(address string) *port {
	n.mu.Lock()
	defer n.mu.Unlock()
	p := &port{network: n, address: address, packets: make(chan packet, 1024), closed: make(chan struct{})}
	n.ports[address] = p
	return p
}

func (n *network) setCut(cut func(from, to string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut = cut
}

func (p *port) Send(to string, datagram []byte) error {
	p.network.mu.Lock()
	defer p.network.mu.Unlock()
	p.network.bytes += int64(len(datagram))
	target := p.network.ports[to]
	if target == nil || (p.network.cut != nil && p.network.cut(p.address, to)) {
		return nil
	}
	select {
	case target.packets <- packet{from: p.address, data: append([]byte(nil), datagram...)}:
	default:
	}
	return nil
}

func (p *port) Receive(buffer []byte) (int, string, error) {
	select {
	case packet := <-p.packets:
		return copy(buffer, packet.data), packet.from, nil
	case <-p.closed:
		return 0, "", net.ErrClosed
	}
}

func (p *port) Close() error {
	p.once.Do(func() { close(p.closed) })
	p.network.mu.Lock()
	defer p.network.mu.Unlock()
	if p.network.ports[p.address] == p {
		delete(p.network.ports, p.address)
	}
	return nil
}

func address(i int) string { return fmt.Sprintf("10.0.0.%d:1", i) }

func startMember(t testing.TB, n *network, i int, incarnation uint64) *Manager {
	m := New(Options{
		Self: Member{
			Process: fmt.Sprintf("p%03d", i), GossipAddress: address(i), Role: RoleRouter,
			Zone: fmt.Sprintf("z%d", i%3), Incarnation: incarnation,
		},
		Transport: n.listen(address(i)),
		Key:       testKey,
		Seeds:     func() []string { return []string{address(0), address(1)} },
		Seed:      uint64(i + 1),
		Log:       zerolog.Nop(),
	})
	if err := m.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	return m
}

func startFleet(t testing.TB, n *network, count int) []*Manager {
	fleet := make([]*Manager, count)
	for i := range fleet {
		fleet[i] = startMember(t, n, i, 100)
	}
	return fleet
}

func stopFleet(fleet []*Manager) {
	for _, m := range fleet {
		if m != nil {
			_ = m.Stop(context.Background())
		}
	}
}

// stateOf returns what m knows about a process; ok is false when it is not listed.
func stateOf(m *Manager, process string) (Member, bool) {
	for _, member := range m.Members() {
		if member.Process == process {
			return member, true
		}
	}
	return Member{}, false
}

func requireAll(t *testing.T, fleet []*Manager, count int, when string) {
	t.Helper()
	for _, m := range fleet {
		if got := len(m.Members()); got != count {
			t.Fatalf("%s: %s lists %d members, want %d", when, m.Self().Process, got, count)
		}
	}
}

func TestJoinLeaveAndCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := startFleet(t, newNetwork(), 20)
		defer stopFleet(fleet)
		time.Sleep(20 * time.Second)
		requireAll(t, fleet, 20, "after joining")

		fleet[7].Leave()
		time.Sleep(5 * time.Second)
		for _, m := range fleet {
			if member, ok := stateOf(m, "p007"); !ok || member.State != StateLeaving {
				t.Fatalf("%s holds p007 for %+v", m.Self().Process, member)
			}
		}
		_ = fleet[7].Stop(context.Background())
		_ = fleet[8].Stop(context.Background())
		rest := append(append([]*Manager(nil), fleet[:7]...), fleet[9:]...)
		fleet[7], fleet[8] = nil, nil
		time.Sleep(60 * time.Second)
		requireAll(t, rest, 18, "after a leave and a crash")
	})
}

func TestRestartOverridesDeath(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		fleet := startFleet(t, n, 6)
		defer stopFleet(fleet)
		time.Sleep(10 * time.Second)
		_ = fleet[5].Stop(context.Background())
		time.Sleep(40 * time.Second)
		requireAll(t, fleet[:5], 5, "after the crash")
		// The host's clock was set back: the new life has a lower number.
		fleet[5] = startMember(t, n, 5, 50)
		time.Sleep(30 * time.Second)
		requireAll(t, fleet, 6, "after the restart")
		if got := fleet[5].Self().Incarnation; got <= 100 {
			t.Fatalf("incarnation %d does not override the former life", got)
		}
	})
}

func TestCutPartsFindEachOtherAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		fleet := startFleet(t, n, 12)
		defer stopFleet(fleet)
		time.Sleep(15 * time.Second)
		side := make(map[string]bool)
		for i := range 6 {
			side[address(i)] = true
		}
		n.setCut(func(from, to string) bool { return side[from] != side[to] })
		time.Sleep(time.Hour)
		requireAll(t, fleet, 6, "during the cut")
		n.setCut(nil)
		time.Sleep(2 * time.Minute)
		requireAll(t, fleet, 12, "after the cut")
	})
}

func TestOneWayCutIsBridgedByIndirectProbes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		fleet := startFleet(t, n, 8)
		defer stopFleet(fleet)
		time.Sleep(15 * time.Second)
		n.setCut(func(from, to string) bool { return from == address(2) && to == address(3) })
		for range 60 {
			time.Sleep(time.Second)
			if member, _ := stateOf(fleet[2], "p003"); member.State != StateAlive {
				t.Fatalf("p003 is %v though others reach it", member.State)
			}
		}
	})
}

func TestForgedAndReplayedDatagrams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		fleet := startFleet(t, n, 3)
		defer stopFleet(fleet)
		attacker := n.listen(address(99))
		defer func() { _ = attacker.Close() }()
		old := fleet[2].newMessage(memberpb.Type_TYPE_PING, 1)
		replay, err := seal(testKey, old)
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(10 * time.Second)
		fleet[2].Leave()
		time.Sleep(5 * time.Second)
		forged, err := seal([]byte("another key"), &memberpb.Message{
			Type: memberpb.Type_TYPE_PING,
			Sender: toEntry(Member{
				Process: "p001", GossipAddress: address(99), Incarnation: 1 << 60, State: StateDead,
			}),
		})
		if err != nil {
			t.Fatal(err)
		}
		_ = attacker.Send(address(0), forged)
		_ = attacker.Send(address(0), replay)
		_ = attacker.Send(address(0), []byte("short"))
		time.Sleep(5 * time.Second)
		if member, ok := stateOf(fleet[0], "p001"); !ok || member.State != StateAlive || member.GossipAddress != address(1) {
			t.Fatalf("a forged datagram changed p001 to %+v", member)
		}
		if member, ok := stateOf(fleet[0], "p002"); !ok || member.State != StateLeaving {
			t.Fatalf("a replayed datagram changed p002 to %+v", member)
		}
	})
}

func TestPausedProcessComesBackWithAnOldTable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		fleet := startFleet(t, n, 8)
		defer stopFleet(fleet)
		time.Sleep(10 * time.Second)
		paused := address(3)
		n.setCut(func(from, to string) bool { return from == paused || to == paused })
		time.Sleep(30 * time.Second)
		_ = fleet[4].Stop(context.Background())
		time.Sleep(30 * time.Second)
		n.setCut(nil)
		time.Sleep(60 * time.Second)
		fleet[4] = nil
		rest := append(append([]*Manager(nil), fleet[:4]...), fleet[5:]...)
		requireAll(t, rest, 7, "after the pause")
	})
}

func TestRevisionIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := startFleet(t, newNetwork(), 4)
		defer stopFleet(fleet)
		time.Sleep(5 * time.Second)
		fleet[1].SetRevision(7)
		time.Sleep(15 * time.Second)
		for _, m := range fleet {
			if member, _ := stateOf(m, "p001"); member.Revision != 7 {
				t.Fatalf("%s holds revision %d", m.Self().Process, member.Revision)
			}
		}
	})
}

func FuzzOpen(f *testing.F) {
	good, err := seal(testKey, &memberpb.Message{Sequence: 3})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(good)
	f.Add([]byte("short"))
	f.Fuzz(func(t *testing.T, datagram []byte) {
		message, err := open(testKey, datagram)
		if err == nil && message == nil {
			t.Fatal("no message and no error")
		}
	})
}
