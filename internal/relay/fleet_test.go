package relay

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/greengagegate/greengagegate/internal/bootclock"
	"github.com/greengagegate/greengagegate/internal/mirror"
	"github.com/greengagegate/greengagegate/internal/peering"
	"github.com/greengagegate/greengagegate/internal/testhost"
	"github.com/greengagegate/greengagegate/internal/wire"
	"github.com/greengagegate/greengagegate/internal/wire/wirepb"
	"github.com/greengagegate/greengagegate/store"
	"github.com/rs/zerolog"
)

// pollStore is a store with one object, whose value is its version.
type pollStore struct {
	mu      sync.Mutex
	version int64
	// value is the value of the object; nil stands for its version.
	value       []byte
	compactions int64
	changed     chan struct{}
}

// compact changes the object, as if the polls had left out a change that they counted, and
// makes the polls of each caller fail until it has listed.
func (s *pollStore) compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.value = []byte("compacted")
	s.compactions++
	close(s.changed)
	s.changed = make(chan struct{})
}

// compactionCount returns how often the store has compacted its history.
func (s *pollStore) compactionCount() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.compactions
}

func newPollStore() *pollStore { return &pollStore{version: 1, changed: make(chan struct{})} }

// set changes the object. A version of a later era stands for a restore.
func (s *pollStore) set(version int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version = version
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *pollStore) state() (object store.Object, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	value := s.value
	if value == nil {
		value = fmt.Append(nil, s.version)
	}
	return store.Object{Key: testPrefix + "a", Value: value, Version: s.version}, s.changed
}

// storeLink is one gateway's access to the store.
type storeLink struct {
	store *pollStore
	// cut makes all calls fail.
	cut   atomic.Bool
	calls atomic.Int64
	// listed is the number of compactions at the last list.
	listed atomic.Int64
}

func (l *storeLink) begin() error {
	l.calls.Add(1)
	if l.cut.Load() {
		return store.ErrUnavailable
	}
	return nil
}

func (l *storeLink) List(context.Context, string) ([]store.Object, int64, error) {
	if err := l.begin(); err != nil {
		return nil, 0, err
	}
	l.listed.Store(l.store.compactionCount())
	object, _ := l.store.state()
	return []store.Object{object}, object.Version, nil
}

func (l *storeLink) Poll(ctx context.Context, _ string, after int64, wait time.Duration) (store.Changes, error) {
	if err := l.begin(); err != nil {
		return store.Changes{}, err
	}
	timeout := time.After(wait)
	for {
		object, changed := l.store.state()
		switch {
		case l.cut.Load():
			return store.Changes{}, store.ErrUnavailable
		case l.listed.Load() < l.store.compactionCount(), store.EraOf(object.Version) != store.EraOf(after):
			return store.Changes{}, store.ErrCompacted
		case object.Version > after:
			return store.Changes{Objects: []store.Object{object}, Version: object.Version}, nil
		}
		select {
		case <-changed:
		case <-timeout:
			return store.Changes{Version: after}, nil
		case <-ctx.Done():
			return store.Changes{}, ctx.Err()
		}
	}
}

func (l *storeLink) probe(context.Context) error { return l.begin() }

// gateway is a Manager with a Mirror that reads from it.
type gateway struct {
	*Manager
	peer     peering.Peer
	link     *storeLink
	server   *wire.Server
	listener net.Listener
	silent   atomic.Bool
	// version is the version that the mirror has, eras the number of eras it has begun.
	version atomic.Int64
	eras    atomic.Int64
	// lastValue is the value of the object that the mirror has.
	lastValue atomic.Value
}

func (g *gateway) value() string {
	value, _ := g.lastValue.Load().(string)
	return value
}

// Replace, Apply, Confirm, BeginEra and MarkUnreachable implement mirror.Sink.
func (g *gateway) Replace(objects []store.Object) { g.Apply(objects) }

func (g *gateway) Apply(objects []store.Object) {
	last := objects[len(objects)-1]
	g.version.Store(last.Version)
	g.lastValue.Store(string(last.Value))
}
func (g *gateway) Confirm(bootclock.Instant) {}
func (g *gateway) BeginEra()                 { g.eras.Add(1) }
func (g *gateway) MarkUnreachable()          {}

// relayFleet is a set of gateways in one zone that share a store.
type relayFleet struct {
	t        *testing.T
	store    *pollStore
	gateways []*gateway
}

// newRelayFleet starts gateways. Those whose index is in withoutRelay are of a build that
// does not relay.
func newRelayFleet(t *testing.T, count int, withoutRelay ...int) *relayFleet {
	f := &relayFleet{t: t, store: newPollStore()}
	for i := range count {
		f.gateways = append(f.gateways, f.newGateway(i))
	}
	for i, g := range f.gateways {
		var peers []peering.Peer
		for k, other := range f.gateways {
			if k != i {
				peers = append(peers, other.peer)
			}
		}
		g.SetPeers(peers)
		g.SetContacts(f.contacts)
	}
	for _, i := range withoutRelay {
		f.gateways[i].server.Handle(wirepb.Kind_KIND_RELAY, func(context.Context, wire.Request, *wire.Stream) {})
	}
	ctx, stop := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	for _, g := range f.gateways {
		tasks.Go(func() { g.Run(ctx) })
		m := mirror.New(mirror.Options{Source: g, Prefix: testPrefix, Sink: g, PollWait: 10 * time.Second, Log: zerolog.Nop()})
		tasks.Go(func() { m.Run(ctx) })
	}
	t.Cleanup(func() {
		stop()
		f.store.set(1 << 62)
		tasks.Wait()
	})
	return f
}

func (f *relayFleet) newGateway(i int) *gateway {
	listener, err := net.Listen("tcp", testhost.AnyPort())
	if err != nil {
		f.t.Fatal(err)
	}
	g := &gateway{
		peer: peering.Peer{Name: fmt.Sprintf("gateway-%02d", i), Address: listener.Addr().String(), Zone: testZone},
		link: &storeLink{store: f.store}, listener: listener,
	}
	hello := &wirepb.Hello{Process: g.peer.Name, Address: g.peer.Address}
	pool := wire.NewPool(hello, wire.NewDialer(""))
	g.server = wire.NewServer(hello, zerolog.Nop())
	g.Manager = New(Options{
		Name: g.peer.Name, Zone: testZone, Store: g.link, Probe: g.link.probe, Pool: pool, Log: zerolog.Nop(),
	})
	g.Register(g.server)
	go func() { _ = g.server.Serve(listener) }()
	f.t.Cleanup(func() {
		_ = listener.Close()
		pool.Close()
	})
	return g
}

// contacts returns the gateways that are not silent.
func (f *relayFleet) contacts() map[string]time.Duration {
	silences := make(map[string]time.Duration)
	for _, g := range f.gateways {
		if !g.silent.Load() {
			silences[g.peer.Name] = 0
		}
	}
	return silences
}

// watcher waits until all gateways but one follow that one, and returns it.
func (f *relayFleet) watcher() *gateway {
	f.t.Helper()
	var watcher *gateway
	f.within(5*time.Second, "all gateways but one follow it", func() bool {
		direct := 0
		for _, g := range f.gateways {
			g.mu.Lock()
			follows := g.reliesOnRelay(bootclock.Now())
			g.mu.Unlock()
			if !follows {
				direct++
				watcher = g
			}
		}
		return direct == 1
	})
	return watcher
}

func (f *relayFleet) within(limit time.Duration, condition string, holds func() bool) {
	f.t.Helper()
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if holds() {
			return
		}
	}
	f.t.Fatalf("not within %v: %s", limit, condition)
}

// haveVersion reports whether all gateways but one have a version.
func (f *relayFleet) haveVersion(version int64, except *gateway) bool {
	for _, g := range f.gateways {
		if g != except && g.version.Load() != version {
			return false
		}
	}
	return true
}
