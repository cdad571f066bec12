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

// network connects in-memory transports and can block traffic between them.
type network struct {
	mu      sync.Mutex
	ports   map[string]*port
	blocked func(from, to string) bool
	bytes   int64
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

func (n *network) setBlocked(blocked func(from, to string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.blocked = blocked
}

func (p *port) Send(to string, datagram []byte) error {
	p.network.mu.Lock()
	defer p.network.mu.Unlock()
	p.network.bytes += int64(len(datagram))
	target := p.network.ports[to]
	if target == nil || (p.network.blocked != nil && p.network.blocked(p.address, to)) {
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

// startMember starts a manager for process i. The test stops it.
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

// findMember returns m's entry for a process; ok is false if m does not list it.
func findMember(m *Manager, process string) (Member, bool) {
	for _, member := range m.Members() {
		if member.Process == process {
			return member, true
		}
	}
	return Member{}, false
}

// requireMemberCount fails the test unless every manager lists count members.
func requireMemberCount(t *testing.T, fleet []*Manager, count int, when string) {
	t.Helper()
	for _, m := range fleet {
		if got := len(m.Members()); got != count {
			t.Fatalf("%s: %s lists %d members, want %d", when, m.Self().Process, got, count)
		}
	}
}

// All members must list a new member, show a leaving one as leaving, and remove members
// that left or crashed.
func TestJoinLeaveAndCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := startFleet(t, newNetwork(), 20)
		defer stopFleet(fleet)
		time.Sleep(20 * time.Second)
		requireMemberCount(t, fleet, 20, "after joining")

		fleet[7].Leave()
		time.Sleep(5 * time.Second)
		for _, m := range fleet {
			if member, ok := findMember(m, "p007"); !ok || member.State != StateLeaving {
				t.Fatalf("%s lists p007 as %+v, want it leaving", m.Self().Process, member)
			}
		}
		_ = fleet[7].Stop(context.Background())
		_ = fleet[8].Stop(context.Background())
		remaining := append(append([]*Manager(nil), fleet[:7]...), fleet[9:]...)
		fleet[7], fleet[8] = nil, nil
		time.Sleep(60 * time.Second)
		requireMemberCount(t, remaining, 18, "after a leave and a crash")
	})
}

// A process that restarts after its host's clock was set back has a lower incarnation
// than the one that was declared dead. It must raise its incarnation to rejoin; otherwise
// the other members keep it dead until ForgetAfter.
func TestRestartWithLowerIncarnationRejoins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		fleet := startFleet(t, n, 6)
		defer stopFleet(fleet)
		time.Sleep(10 * time.Second)
		_ = fleet[5].Stop(context.Background())
		time.Sleep(40 * time.Second)
		requireMemberCount(t, fleet[:5], 5, "after the crash")
		// The host's clock was set back, so the new incarnation is lower.
		fleet[5] = startMember(t, n, 5, 50)
		time.Sleep(30 * time.Second)
		requireMemberCount(t, fleet, 6, "after the restart")
		if got := fleet[5].Self().Incarnation; got <= 100 {
			t.Fatalf("incarnation %d does not override the previous incarnation", got)
		}
	})
}

// After a long network partition each half lists the other as dead. Without pings to dead
// members the halves would not rejoin after the partition ends.
func TestPartitionedHalvesRejoin(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		fleet := startFleet(t, n, 12)
		defer stopFleet(fleet)
		time.Sleep(15 * time.Second)
		side := make(map[string]bool)
		for i := range 6 {
			side[address(i)] = true
		}
		n.setBlocked(func(from, to string) bool { return side[from] != side[to] })
		time.Sleep(time.Hour)
		requireMemberCount(t, fleet, 6, "during the partition")
		n.setBlocked(nil)
		time.Sleep(2 * time.Minute)
		requireMemberCount(t, fleet, 12, "after the partition")
	})
}

// If datagrams from one member to another are lost in one direction only, indirect probes
// through other members must keep the target from being suspected.
func TestIndirectProbesBridgeOneWayPartition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		fleet := startFleet(t, n, 8)
		defer stopFleet(fleet)
		time.Sleep(15 * time.Second)
		n.setBlocked(func(from, to string) bool { return from == address(2) && to == address(3) })
		for range 60 {
			time.Sleep(time.Second)
			if member, _ := findMember(fleet[2], "p003"); member.State != StateAlive {
				t.Fatalf("p003 is %v although other members reach it", member.State)
			}
		}
	})
}

// Datagrams that are sealed with another key, replayed or too short must not change the
// table.
func TestForgedAndReplayedDatagramsAreIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		fleet := startFleet(t, n, 3)
		defer stopFleet(fleet)
		attacker := n.listen(address(99))
		defer func() { _ = attacker.Close() }()
		oldPing := fleet[2].newMessage(memberpb.Type_TYPE_PING, 1)
		replay, err := seal(testKey, oldPing)
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
		if member, ok := findMember(fleet[0], "p001"); !ok || member.State != StateAlive || member.GossipAddress != address(1) {
			t.Fatalf("a forged datagram changed p001 to %+v", member)
		}
		if member, ok := findMember(fleet[0], "p002"); !ok || member.State != StateLeaving {
			t.Fatalf("a replayed datagram changed p002 to %+v", member)
		}
	})
}

// A process that was cut off for a minute returns with a stale table, and another member
// has crashed meanwhile. All remaining members must list each other again, and none may
// list the crashed one.
func TestIsolatedProcessRejoinsWithStaleTable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		fleet := startFleet(t, n, 8)
		defer stopFleet(fleet)
		time.Sleep(10 * time.Second)
		isolated := address(3)
		n.setBlocked(func(from, to string) bool { return from == isolated || to == isolated })
		time.Sleep(30 * time.Second)
		_ = fleet[4].Stop(context.Background())
		time.Sleep(30 * time.Second)
		n.setBlocked(nil)
		time.Sleep(60 * time.Second)
		fleet[4] = nil
		remaining := append(append([]*Manager(nil), fleet[:4]...), fleet[5:]...)
		requireMemberCount(t, remaining, 7, "after the isolation")
	})
}

// A revision that a member sets must reach all other members, although it does not
// change the table's digests.
func TestRevisionSpreads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := startFleet(t, newNetwork(), 4)
		defer stopFleet(fleet)
		time.Sleep(5 * time.Second)
		fleet[1].SetRevision(7)
		time.Sleep(15 * time.Second)
		for _, m := range fleet {
			if member, _ := findMember(m, "p001"); member.Revision != 7 {
				t.Fatalf("%s lists revision %d for p001, want 7", m.Self().Process, member.Revision)
			}
		}
	})
}

// FuzzOpen guards against datagrams on which open panics or returns neither a message
// nor an error.
func FuzzOpen(f *testing.F) {
	valid, err := seal(testKey, &memberpb.Message{Sequence: 3})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(valid)
	f.Add([]byte("short"))
	f.Fuzz(func(t *testing.T, datagram []byte) {
		message, err := open(testKey, datagram)
		if err == nil && message == nil {
			t.Fatal("open returned neither a message nor an error")
		}
	})
}
