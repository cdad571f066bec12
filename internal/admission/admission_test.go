package admission_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/greengagegate/greengagegate/internal/admission"
	"github.com/greengagegate/greengagegate/internal/object"
	"github.com/greengagegate/greengagegate/internal/slotlink"
	"github.com/greengagegate/greengagegate/internal/testhost"
	"github.com/greengagegate/greengagegate/internal/wire"
	"github.com/greengagegate/greengagegate/internal/wire/wirepb"
	"github.com/greengagegate/greengagegate/lease"
	"github.com/greengagegate/greengagegate/membership"
	"github.com/greengagegate/greengagegate/store"
	"github.com/greengagegate/greengagegate/store/memstore"
	"github.com/rs/zerolog"
)

type fixedSource struct{ set *object.Set }

func (f fixedSource) Current() *object.Set     { return f.set }
func (f fixedSource) Fresh() bool              { return true }
func (f fixedSource) Changed() <-chan struct{} { return nil }

type fixedView struct {
	self    membership.Member
	members []membership.Member
}

func (f fixedView) Self() membership.Member      { return f.self }
func (f fixedView) Members() []membership.Member { return f.members }
func (f fixedView) Changed() <-chan struct{}     { return nil }

// router is the part of a router that admits.
type router struct {
	manager  *admission.Manager
	server   *wire.Server
	pool     *wire.Pool
	listener net.Listener
}

func (r *router) stop(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	if err := r.manager.Stop(ctx); err != nil {
		t.Error(err)
	}
	if err := r.server.Shutdown(ctx); err != nil {
		t.Errorf("streams were left open: %v", err)
	}
	r.pool.Close()
	_ = r.listener.Close()
}

// site is a few routers on loopback with one store.
type site struct {
	store   *memstore.Store
	source  fixedSource
	members []membership.Member
	lives   uint64
	// witness remembers the slots, as an agent does.
	witness *lease.Witness
}

func newSite(t *testing.T, customer *object.Customer) *site {
	set := object.NewSet(1)
	set.Fleet.EntrySlots = 3
	set.Customers[customer.Name] = customer
	set.Index()
	s := &site{store: memstore.New(), source: fixedSource{set}, witness: lease.NewWitness()}
	set.Upstreams["engine-1"] = &object.Upstream{Name: "engine-1", Address: s.serveWitness(t)}
	var hosts []store.Host
	for i := range 3 {
		listener, err := net.Listen("tcp", testhost.AnyPort())
		if err != nil {
			t.Fatal(err)
		}
		address := listener.Addr().String()
		_ = listener.Close()
		s.members = append(s.members, membership.Member{
			Process: fmt.Sprintf("router-%d", i), Address: address, Role: membership.RoleRouter, Region: "r1",
		})
		hosts = append(hosts, store.Host{Address: testhost.Address()})
	}
	s.store.SetHosts(hosts)
	return s
}

// serveWitness starts what an agent does for the slots and returns its address.
func (s *site) serveWitness(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := wire.NewServer(&wirepb.Hello{Process: "agent-1"}, zerolog.Nop())
	server.Handle(wirepb.Kind_KIND_SLOTS, slotlink.Handler(s.witness))
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() {
		_ = listener.Close()
		_ = server.Shutdown(context.Background())
	})
	return listener.Addr().String()
}

// awaitWitness waits until the witness can speak for a number of slots.
func (s *site) awaitWitness(t *testing.T, slots int) {
	for t.Context().Err() == nil {
		reply := s.witness.Handle(lease.WitnessRequest{})
		if reply.Informed && len(reply.Records) >= slots {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func (s *site) boot(t *testing.T, i int) *router {
	self := s.members[i]
	listener, err := net.Listen("tcp", self.Address)
	if err != nil {
		t.Fatal(err)
	}
	s.lives++
	hello := &wirepb.Hello{Process: self.Process, Address: self.Address, Incarnation: s.lives}
	r := &router{
		listener: listener,
		pool:     wire.NewPool(hello, wire.NewDialer("")),
		server:   wire.NewServer(hello, zerolog.Nop()),
	}
	r.manager = admission.New(admission.Options{
		Store: s.store, Lister: s.store, Pool: r.pool, View: fixedView{self, s.members}, Source: s.source,
		Address: self.Address, Region: self.Region, Log: zerolog.Nop(),
	})
	r.manager.Register(r.server)
	go func() { _ = r.server.Serve(listener) }()
	if err := r.manager.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	return r
}

// spend admits requests until the first refusal, through all routers in turn,
// and returns the tokens admitted.
func spend(routers []*router, customer *object.Customer, tokens int64) (int64, error) {
	var admitted int64
	for i := 0; ; i++ {
		ticket, err := routers[i%len(routers)].manager.Admit(context.Background(), customer, tokens)
		if err != nil {
			return admitted, err
		}
		ticket.Settle(tokens)
		admitted += tokens
	}
}

func TestRoutersShareOneLimitOverTheWire(t *testing.T) {
	customer := &object.Customer{Name: "harbour", Rate: 10, Burst: 10_000}
	site := newSite(t, customer)
	start := time.Now()
	var routers []*router
	for i := range site.members {
		routers = append(routers, site.boot(t, i))
	}
	waitForTokens(t, routers[0], customer, 7500)
	var admitted int64 = 7500
	more, err := spend(routers, customer, 500)
	admitted += more
	var refusal *admission.Refusal
	if !errors.As(err, &refusal) || refusal.Code != admission.CodeRateLimited || refusal.RetryAfter <= 0 {
		t.Fatalf("got %v, want a refusal with a time", err)
	}
	bound := customer.Burst + customer.Rate*time.Since(start).Seconds()
	if float64(admitted) > bound {
		t.Fatalf("admitted %d tokens, the limit is %.0f", admitted, bound)
	}
	if admitted < 9000 {
		t.Fatalf("admitted only %d tokens of a burst of %.0f", admitted, customer.Burst)
	}
	_, err = routers[0].manager.Admit(context.Background(), customer, 10_001)
	if !errors.As(err, &refusal) || refusal.Code != admission.CodeAboveBurst {
		t.Fatalf("got %v, want %s", err, admission.CodeAboveBurst)
	}
	for _, r := range routers {
		r.stop(t)
	}
}

// waitForTokens admits one request as soon as the routers have found their slots.
func waitForTokens(t *testing.T, r *router, customer *object.Customer, tokens int64) {
	t.Helper()
	for range 50 {
		if _, err := r.manager.Admit(context.Background(), customer, tokens); err == nil {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	_, err := r.manager.Admit(context.Background(), customer, tokens)
	t.Fatalf("nothing was admitted: %v", err)
}

func TestRestartedRouterServesWhileTheStoreIsAway(t *testing.T) {
	customer := &object.Customer{Name: "harbour", Rate: 10, Burst: 10_000}
	site := newSite(t, customer)
	var routers []*router
	for i := range site.members {
		routers = append(routers, site.boot(t, i))
	}
	waitForTokens(t, routers[0], customer, 7000)
	site.awaitWitness(t, len(routers))
	site.store.SetFaults(memstore.Faults{Down: true})
	for i, r := range routers {
		r.stop(t)
		routers[i] = site.boot(t, i)
		waitForTokens(t, routers[i], customer, 500)
	}
	for _, r := range routers {
		r.stop(t)
	}
}
