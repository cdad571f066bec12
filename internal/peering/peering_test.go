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

// gateway is one side of an exchange, which counts what it heard of whom.
type gateway struct {
	*Manager
	name    string
	address string
	mu      sync.Mutex
	heard   map[string]int
	// answers counts the news that answered a question.
	answers int
}

func newGateway(t *testing.T, name string) *gateway {
	listener, err := net.Listen("tcp", testhost.AnyPort())
	if err != nil {
		t.Fatal(err)
	}
	g := &gateway{name: name, address: listener.Addr().String(), heard: make(map[string]int)}
	hello := &wirepb.Hello{Process: name, Address: g.address}
	server, pool := wire.NewServer(hello, zerolog.Nop()), wire.NewPool(hello, wire.NewDialer(""))
	g.Manager = New(Options{
		Name: name, Pool: pool, Log: zerolog.Nop(), OnUpdate: g.hear,
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

func (g *gateway) hear(news *wirepb.GatewayNews, asked bootclock.Instant) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.heard[news.Name]++
	if asked > 0 {
		g.answers++
	}
}

func (g *gateway) count(name string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.heard[name]
}

func (g *gateway) answered() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.answers
}

func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for range 1000 {
		if holds() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("it did not come about that %s", what)
}

func TestBothSidesHearEachOther(t *testing.T) {
	a, b := newGateway(t, "a"), newGateway(t, "b")
	a.SetPeers([]Peer{{"b", b.address}})
	b.SetPeers([]Peer{{"a", a.address}})
	eventually(t, "news go to and fro", func() bool { return a.count("b") > 2 && b.count("a") > 2 })
	a.SetPeers(nil)
	b.SetPeers(nil)
	time.Sleep(2 * baseInterval)
	before := a.count("b")
	time.Sleep(2 * baseInterval)
	if after := a.count("b"); after != before {
		t.Errorf("%d news after the peers were dropped", after-before)
	}
}

// Urgent news go out before the next turn.
func TestUrgentNewsDoNotWaitForTheirTurn(t *testing.T) {
	a, b := newGateway(t, "a"), newGateway(t, "b")
	b.SetPeers([]Peer{{"a", a.address}})
	eventually(t, "the first news are there", func() bool { return a.count("b") == 1 })
	started := time.Now()
	for range 50 {
		before := a.count("b")
		b.SendNow()
		eventually(t, "urgent news are there", func() bool { return a.count("b") > before })
	}
	turns := int(time.Since(started)/baseInterval) + 2
	if got := a.count("b"); got < 50 || got > 51+turns {
		t.Errorf("%d news after 50 urgent ones", got)
	}
	if a.answered() != 0 || b.answered() == 0 {
		t.Errorf("%d and %d answers, only the second side has asked", a.answered(), b.answered())
	}
}
