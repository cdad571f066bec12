package configsync

import (
	"context"
	"flag"
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/greengagegate/greengagegate/internal/slope"
	"github.com/greengagegate/greengagegate/internal/wire"
	"github.com/greengagegate/greengagegate/internal/wire/wirepb"
	"github.com/greengagegate/greengagegate/membership"
	"github.com/greengagegate/greengagegate/snapshot"
	"github.com/greengagegate/greengagegate/store/memstore"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"
)

var slopes = flag.Bool("slopes", false, "measure the cost at several sizes")

// streamOverheadBytes is the number of bytes that a stream adds to its two messages, in
// both directions together, as measured by TestExchangeOverhead.
const streamOverheadBytes = 87

// memoryNetwork is a Transport between managers in one process. It counts the exchanges
// and the bytes that they would take on the network.
type memoryNetwork struct {
	managers  map[string]*Manager
	bytes     atomic.Int64
	exchanges atomic.Int64
}

func (n *memoryNetwork) Exchange(_ context.Context, address string, request *wirepb.ConfigExchange) (*wirepb.ConfigReply, error) {
	time.Sleep(time.Millisecond)
	reply := n.managers[address].HandleExchange("", proto.Clone(request).(*wirepb.ConfigExchange))
	time.Sleep(time.Millisecond)
	n.exchanges.Add(1)
	n.bytes.Add(int64(frameBytes(request) + frameBytes(reply) + streamOverheadBytes))
	return reply, nil
}

// startManagers starts the given number of managers, distributed over six zones, with
// a common store.
func startManagers(t *testing.T, count int, backing *memstore.Store) (*memoryNetwork, []*Manager) {
	t.Helper()
	n := &memoryNetwork{managers: make(map[string]*Manager)}
	var members []membership.Member
	for i := range count {
		name := fmt.Sprintf("10.%d.%d.%d:7600", i%6, i/200, i%200)
		members = append(members, membership.Member{Process: name, Address: name, Zone: fmt.Sprintf("zone-%d", i%6)})
	}
	var managers []*Manager
	for i, self := range members {
		m := New(Options{Store: backing, Transport: n, View: fixedView{self, members}, Log: zerolog.Nop(), Seed: uint64(i + 1)})
		n.managers[self.Address] = m
		managers = append(managers, m)
	}
	for _, m := range managers {
		_ = m.Start(t.Context())
	}
	return n, managers
}

// commit commits next to the store and applies it to the manager.
func commit(t *testing.T, m *Manager, next *snapshot.Snapshot) {
	t.Helper()
	state, err := m.repository.Head(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := m.repository.Commit(t.Context(), state, m.Snapshot(), next, snapshot.Entry{Nonce: snapshot.NewNonce()}, nil); err != nil {
		t.Fatal(err)
	}
	if err := m.Apply(next, ""); err != nil {
		t.Fatal(err)
	}
}

// fleetScenario is a situation in which the cost of a fleet is measured: setup brings it
// about, and run lasts for the observation time.
type fleetScenario struct {
	name  string
	setup func()
	run   func()
}

// TestSlopes prints the cost of the configuration for one process in fleets of several
// sizes: without changes, with one change in 10 s, and with an unavailable store. It
// also prints the cost of holding and changing sets of several sizes.
func TestSlopes(t *testing.T) {
	if !*slopes {
		t.Skip("run with -slopes")
	}
	for _, size := range []int{3, 30, 350} {
		synctest.Test(t, func(t *testing.T) { measureFleet(t, size) })
	}
	for _, customers := range []int{5, 500, 4900} {
		measureApply(t, customers)
	}
}

// measureFleet prints the cost for one process in a fleet of the given size.
func measureFleet(t *testing.T, size int) {
	const observationTime = 60 * time.Second
	backing := memstore.New()
	n, managers := startManagers(t, size, backing)
	defer func() {
		for _, m := range managers {
			_ = m.Stop(context.Background())
		}
	}()
	current := generateSet(t, 50)
	commit(t, managers[0], current)
	time.Sleep(20 * time.Second)
	publishChanges := func() {
		for i := range 6 {
			value := fmt.Appendf(nil, `{"burst":500000,"rate":%d,"weight":1}`, 1000+i)
			current = current.Apply(current.Revision()+1, []snapshot.Change{{Key: "Customer/customer-0007", Value: value}})
			commit(t, managers[i%size], current)
			time.Sleep(time.Second)
			requireRevision(t, managers, current.Revision())
			time.Sleep(9 * time.Second)
		}
	}
	scenarios := []fleetScenario{
		{"config quiet", func() {}, func() { time.Sleep(observationTime) }},
		{"config one change in 10 s", func() {}, publishChanges},
		{"config store silent", func() {
			backing.SetFaults(memstore.Faults{Down: true})
			time.Sleep(20 * time.Second)
		}, func() { time.Sleep(observationTime) }},
	}
	for _, scenario := range scenarios {
		scenario.setup()
		callsBefore, bytesBefore, usageBefore := backing.Counts(), n.bytes.Load(), slope.Read()
		scenario.run()
		usageAfter, callsAfter := slope.Read(), backing.Counts()
		processSeconds := float64(size) * observationTime.Seconds()
		report(t, slope.Point{
			Name: scenario.name, Size: float64(size), Unit: "members",
			// Each byte is sent by one member and received by another.
			BytesPerSecond:     2 * float64(n.bytes.Load()-bytesBefore) / processSeconds,
			CPUMicrosPerSecond: float64((usageAfter.CPU - usageBefore.CPU).Microseconds()) / processSeconds,
		})
		storeCalls := callsAfter.Reads + callsAfter.Writes + callsAfter.Watches - callsBefore.Reads - callsBefore.Writes - callsBefore.Watches
		oldestAge, freshCount := time.Duration(0), 0
		for _, m := range managers {
			oldestAge = max(oldestAge, m.EvidenceAge())
			if m.IsFresh() {
				freshCount++
			}
		}
		fmt.Printf("%s, %d members: %d calls on the store in %s; at the end %d fresh, oldest evidence %s\n",
			scenario.name, size, storeCalls, observationTime, freshCount, oldestAge.Round(time.Millisecond))
	}
}

// requireRevision fails the test unless all managers have the revision. It is called
// one second after the revision was applied to one of them.
func requireRevision(t *testing.T, managers []*Manager, revision uint64) {
	t.Helper()
	for i, m := range managers {
		if m.Revision() != revision {
			t.Fatalf("member %d has revision %d, want %d", i, m.Revision(), revision)
		}
	}
}

// measureApply prints the memory that a set takes and the processor time that one change
// takes, reported as the cost of one change per second.
func measureApply(t *testing.T, customers int) {
	empty := slope.Read()
	m := New(Options{Store: memstore.New(), Transport: NewTransport(nil), View: fixedView{}, Log: zerolog.Nop(), Seed: 1})
	if err := m.Apply(generateSet(t, customers), ""); err != nil {
		t.Fatal(err)
	}
	loaded := slope.Read()
	const changes = 10
	start := slope.Read()
	for i := range changes {
		value := fmt.Appendf(nil, `{"burst":500000,"rate":%d,"weight":1}`, 1000+i)
		next := m.Snapshot().Apply(uint64(i+2), []snapshot.Change{{Key: "Customer/customer-0003", Value: value}})
		if err := m.Apply(next, ""); err != nil {
			t.Fatal(err)
		}
	}
	end := slope.Read()
	report(t, slope.Point{
		Name: "config one change applied a second", Size: float64(customers), Unit: "customers",
		CPUMicrosPerSecond: float64((end.CPU - start.CPU).Microseconds()) / changes,
		HeapBytes:          float64(loaded.Heap) - float64(empty.Heap),
	})
	_ = m.Stop(context.Background())
}

func report(t *testing.T, p slope.Point) {
	t.Helper()
	if err := slope.Print(os.Stdout, p); err != nil {
		t.Fatal(err)
	}
}

// countingConn counts the bytes that are read from and written to a connection.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// TestExchangeOverhead measures the number of bytes that a stream adds to its two
// messages. The first exchange, which also opens the connection, is not counted.
func TestExchangeOverhead(t *testing.T) {
	if !*slopes {
		t.Skip("run with -slopes")
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	self := membership.Member{Process: "a", Address: listener.Addr().String()}
	m := startServingManager(t, memstore.New(), listener, fixedView{self, nil})
	if err := m.Apply(generateSet(t, 5), ""); err != nil {
		t.Fatal(err)
	}
	var total atomic.Int64
	pool := wire.NewPool(&wirepb.Hello{Process: "b"}, func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := wire.NewDialer("")(ctx, address)
		return countingConn{conn, &total}, err
	})
	defer pool.Close()
	transport := NewTransport(pool)
	hash := m.Snapshot().Hash()
	request := &wirepb.ConfigExchange{Revision: 1, Hash: hash[:]}
	const exchanges = 1000
	before := slope.Read()
	var messages int
	var once sync.Once
	for range exchanges {
		reply, err := transport.Exchange(t.Context(), self.Address, request)
		if err != nil {
			t.Fatal(err)
		}
		once.Do(func() { total.Store(0); messages = -frameBytes(request) - frameBytes(reply) })
		messages += frameBytes(request) + frameBytes(reply)
	}
	report(t, slope.Point{
		Name: "config one exchange a second over TCP, both ends", Size: 1, Unit: "exchanges",
		BytesPerSecond:     float64(total.Load()) / (exchanges - 1),
		CPUMicrosPerSecond: float64((slope.Read().CPU - before.CPU).Microseconds()) / exchanges,
	})
	fmt.Printf("stream overhead: %d bytes beside %d bytes of messages in an exchange\n",
		(int(total.Load())-messages)/(exchanges-1), messages/(exchanges-1))
}
