package relay

import (
	"context"
	"errors"
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

const (
	testPrefix = "things/"
	testZone   = "z"
	// switchTime is the time within which a gateway notices that relaying has failed.
	switchTime = maxPathAge + replyWait + requestMargin
)

// pollStore is a store with one object, whose value is its version.
type pollStore struct {
	mu      sync.Mutex
	version int64
	changed chan struct{}
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
	return store.Object{Key: testPrefix + "a", Value: fmt.Append(nil, s.version), Version: s.version}, s.changed
}

// storeLink is one gateway's access to the store.
type storeLink struct {
	store *pollStore
	// cut makes all calls fail.
	cut   atomic.Bool
	calls atomic.Int64
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
		case store.EraOf(object.Version) != store.EraOf(after):
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
}

// Replace, Apply, Confirm, BeginEra and MarkUnreachable implement mirror.Sink.
func (g *gateway) Replace(objects []store.Object) { g.version.Store(objects[0].Version) }

func (g *gateway) Apply(objects []store.Object) { g.version.Store(objects[len(objects)-1].Version) }
func (g *gateway) Confirm(bootclock.Instant)    {}
func (g *gateway) BeginEra()                    { g.eras.Add(1) }
func (g *gateway) MarkUnreachable()             {}

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

// Load pattern: a list of upstreams changes several times a second, and each gateway that
// polls it makes a call for each change.
func TestOneGatewayOfZonePollsTheStore(t *testing.T) {
	f := newRelayFleet(t, smallFleet+2)
	watcher := f.watcher()
	// Polls that began before may still be answered.
	f.store.set(2)
	f.within(time.Second, "the change arrives", func() bool { return f.haveVersion(2, nil) })
	before := make(map[*gateway]int64)
	for _, g := range f.gateways {
		before[g] = g.link.calls.Load()
	}
	for version := int64(3); version < 13; version++ {
		f.store.set(version)
		f.within(time.Second, "the change arrives", func() bool { return f.haveVersion(version, nil) })
	}
	for _, g := range f.gateways {
		if calls := g.link.calls.Load() - before[g]; g != watcher && calls > 0 {
			t.Errorf("%s made %d calls to the store, want none", g.peer.Name, calls)
		}
	}
}

// When the gateway that polls fails in any way, the others notice it and follow another one.
// A gateway that is only cut from the store does so as well.
func TestGatewaysReadStoreWhenRelayingFails(t *testing.T) {
	for name, fail := range map[string]func(f *relayFleet, watcher *gateway){
		"stopped": func(_ *relayFleet, watcher *gateway) {
			watcher.silent.Store(true)
			_ = watcher.listener.Close()
			ctx, cancel := context.WithCancel(context.Background())
			cancel()
			_ = watcher.server.Shutdown(ctx)
		},
		"frozen": func(f *relayFleet, watcher *gateway) {
			watcher.mu.Lock()
			f.t.Cleanup(watcher.mu.Unlock)
		},
		"cut from the store": func(_ *relayFleet, watcher *gateway) { watcher.link.cut.Store(true) },
	} {
		t.Run(name, func(t *testing.T) {
			f := newRelayFleet(t, smallFleet+2)
			watcher := f.watcher()
			f.store.set(2)
			f.within(time.Second, "the change arrives", func() bool { return f.haveVersion(2, nil) })
			fail(f, watcher)
			f.store.set(3)
			lost := watcher
			if watcher.link.cut.Load() {
				lost = nil
			}
			f.within(switchTime+500*time.Millisecond, "the change arrives", func() bool { return f.haveVersion(3, lost) })
		})
	}
}

// A gateway of a build that does not relay may be chosen.
func TestPeerWithoutRelayingIsReplacedByTheStore(t *testing.T) {
	const count = smallFleet + 2
	all := make([]int, count)
	for i := range all {
		all[i] = i
	}
	f := newRelayFleet(t, count, all...)
	f.within(time.Second, "all gateways read the object", func() bool { return f.haveVersion(1, nil) })
	f.store.set(2)
	f.within(time.Second, "the change arrives", func() bool { return f.haveVersion(2, nil) })
}

// A restore of the store reaches the mirrors of all gateways as a new era.
func TestRestoreIsRelayed(t *testing.T) {
	f := newRelayFleet(t, smallFleet+2)
	f.watcher()
	restored := store.MakeVersion(1, 1)
	f.store.set(restored)
	f.within(switchTime, "the restored object arrives", func() bool { return f.haveVersion(restored, nil) })
	for _, g := range f.gateways {
		if eras := g.eras.Load(); eras != 1 {
			t.Errorf("the mirror of %s began %d eras, want 1", g.peer.Name, eras)
		}
	}
}

func TestSmallFleetReadsStore(t *testing.T) {
	f := newRelayFleet(t, smallFleet)
	time.Sleep(2 * replyWait)
	for _, g := range f.gateways {
		if g.choose() != nil {
			t.Fatal("a gateway of a small fleet follows another")
		}
	}
}

// A copy gives the changes since a version, or all objects to a reader that lacks more.
func TestCopyGivesChangesOrAllObjects(t *testing.T) {
	c := new(prefixCopy)
	if _, ok := c.since(0); ok {
		t.Error("an empty copy has news")
	}
	object := func(key string, version int64, deleted bool) store.Object {
		return store.Object{Key: key, Version: version, Deleted: deleted}
	}
	c.record(&mirror.Update{Full: true, Version: 10, Objects: []store.Object{object("a", 3, false), object("b", 7, false)}})
	c.record(&mirror.Update{Version: 14, Objects: []store.Object{object("a", 12, true), object("c", 13, false)}})
	for _, test := range []struct {
		after int64
		want  string
	}{
		{0, "all [b c] up to 14"},
		{9, "all [b c] up to 14"},
		{10, "changes [a c] up to 14"},
		{12, "changes [c] up to 14"},
		{13, "changes [] up to 14"},
		{14, "nothing"},
		{store.MakeVersion(1, 2), "nothing"},
	} {
		if got := describe(c.since(test.after)); got != test.want {
			t.Errorf("since %d: got %s, want %s", test.after, got, test.want)
		}
	}
	if c.record(&mirror.Update{Full: true, Version: 9}) {
		t.Error("an older update was recorded")
	}
	for version := int64(20); version < 20+2*maxLoggedChanges; version++ {
		c.record(&mirror.Update{Version: version, Objects: []store.Object{object("d", version, false)}})
	}
	if update, _ := c.since(14); !update.Full || len(c.changes) > maxLoggedChanges {
		t.Errorf("full %v with %d changes kept, want all objects and at most %d", update.Full, len(c.changes), maxLoggedChanges)
	}
}

func describe(update mirror.Update, ok bool) string {
	if !ok {
		return "nothing"
	}
	kind := "changes"
	if update.Full {
		kind = "all"
	}
	var keys []string
	for _, object := range update.Objects {
		keys = append(keys, object.Key)
	}
	return fmt.Sprint(kind, " ", keys, " up to ", update.Version)
}

// A read ends with its context and does not return news then.
func TestReadEndsWithContext(t *testing.T) {
	f := newRelayFleet(t, smallFleet+2)
	watcher := f.watcher()
	for _, g := range f.gateways {
		if g == watcher {
			continue
		}
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		_, err := g.Read(ctx, testPrefix, 1, 10*time.Second)
		cancel()
		if !errors.Is(err, context.DeadlineExceeded) {
			t.Fatalf("error %v, want the end of the context", err)
		}
		return
	}
}
