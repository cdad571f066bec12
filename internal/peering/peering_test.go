package peering

import (
	"net"
	"sync"
	"testing"
	"time"

	"github.com/greengagegate/greengagegate/internal/bootclock"
	"github.com/greengagegate/greengagegate/internal/testhost"
	"github.com/greengagegate/greengagegate/internal/wire"
	"github.com/greengagegate/greengagegate/internal/wire/wirepb"
	"github.com/rs/zerolog"
)

// gateway is a Manager that counts the updates received from each peer.
type gateway struct {
	*Manager
	name     string
	address  string
	mu       sync.Mutex
	received map[string]int
	// replyCount counts the updates received as replies to this gateway's requests.
	replyCount int
}

func newGateway(t *testing.T, name string) *gateway {
	listener, err := net.Listen("tcp", testhost.AnyPort())
	if err != nil {
		t.Fatal(err)
	}
	g := &gateway{name: name, address: listener.Addr().String(), received: make(map[string]int)}
	hello := &wirepb.Hello{Process: name, Address: g.address}
	server, pool := wire.NewServer(hello, zerolog.Nop()), wire.NewPool(hello, wire.NewDialer(""))
	g.Manager = New(Options{
		Name: name, Pool: pool, Log: zerolog.Nop(), OnUpdate: g.onUpdate,
		Update: func(string) *wirepb.GatewayNews { return &wirepb.GatewayNews{Name: name} },
	})
	g.Register(server)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() {
		g.Stop()
		_ = listener.Close()
		pool.Close()
	})
	return g
}

func (g *gateway) onUpdate(update *wirepb.GatewayNews, sentAt bootclock.Instant) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.received[update.Name]++
	if sentAt > 0 {
		g.replyCount++
	}
}

func (g *gateway) receivedFrom(name string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.received[name]
}

func (g *gateway) replies() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.replyCount
}

func eventually(t *testing.T, condition string, isMet func() bool) {
	t.Helper()
	for range 1000 {
		if isMet() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("condition not met within 10 s: %s", condition)
}

func TestPeersExchangeUpdates(t *testing.T) {
	a, b := newGateway(t, "a"), newGateway(t, "b")
	a.SetPeers([]Peer{{Name: "b", Address: b.address}})
	b.SetPeers([]Peer{{Name: "a", Address: a.address}})
	eventually(t, "both sides receive updates", func() bool { return a.receivedFrom("b") > 2 && b.receivedFrom("a") > 2 })
	a.SetPeers(nil)
	b.SetPeers(nil)
	time.Sleep(2 * baseInterval)
	before := a.receivedFrom("b")
	time.Sleep(2 * baseInterval)
	if after := a.receivedFrom("b"); after != before {
		t.Errorf("%d updates were received after the peers were removed, want 0", after-before)
	}
}

// SendNow must start one exchange per call without waiting for the interval. 50 calls must
// give at least 50 updates, and at most one more per interval that passed, with a margin.
func TestSendNowDoesNotWaitForInterval(t *testing.T) {
	a, b := newGateway(t, "a"), newGateway(t, "b")
	b.SetPeers([]Peer{{Name: "a", Address: a.address}})
	eventually(t, "the first update is received", func() bool { return a.receivedFrom("b") == 1 })
	started := time.Now()
	for range 50 {
		before := a.receivedFrom("b")
		b.SendNow()
		eventually(t, "the update sent by SendNow is received", func() bool { return a.receivedFrom("b") > before })
	}
	intervals := int(time.Since(started)/baseInterval) + 2
	if got := a.receivedFrom("b"); got < 50 || got > 51+intervals {
		t.Errorf("%d updates were received after 50 calls of SendNow", got)
	}
	if a.replies() != 0 || b.replies() == 0 {
		t.Errorf("%d and %d replies were received; only the second gateway sent requests", a.replies(), b.replies())
	}
}
