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
func (f fixedSource) IsFresh() bool            { return true }
func (f fixedSource) Changed() <-chan struct{} { return nil }

type fixedView struct {
	self    membership.Member
	members []membership.Member
}

func (f fixedView) Self() membership.Member      { return f.self }
func (f fixedView) Members() []membership.Member { return f.members }
func (f fixedView) Changed() <-chan struct{}     { return nil }

// router is the part of a router that admits requests and serves its peers.
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
	// Shutdown fails if streams are still open when ctx ends.
	if err := r.server.Shutdown(ctx); err != nil {
		t.Errorf("shut down the server: %v", err)
	}
	r.pool.Close()
	_ = r.listener.Close()
}

// cluster holds what three routers on loopback share: their configuration and
// addresses, one store and one witness.
type cluster struct {
	store        *memstore.Store
	source       fixedSource
	members      []membership.Member
	incarnations uint64
	// witness keeps copies of the slot records, as an agent does.
	witness *lease.Witness
}

func newCluster(t *testing.T, customer *object.Customer) *cluster {
	set := object.NewSet(1)
	set.Fleet.EntrySlots = 3
	set.Customers[customer.Name] = customer
	set.Index()
	c := &cluster{store: memstore.New(), source: fixedSource{set}, witness: lease.NewWitness()}
	set.Upstreams["engine-1"] = &object.Upstream{Name: "engine-1", Address: c.serveWitness(t)}
	var hosts []store.Host
	for i := range 3 {
		c.members = append(c.members, membership.Member{
			Process: fmt.Sprintf("router-%d", i), Address: testhost.Free(t), Role: membership.RoleRouter, Region: "r1",
		})
		hosts = append(hosts, store.Host{Address: testhost.Address()})
	}
	c.store.SetHosts(hosts)
	return c
}

// serveWitness serves the cluster's witness as an agent would and returns its address.
func (c *cluster) serveWitness(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := wire.NewServer(&wirepb.Hello{Process: "agent-1"}, zerolog.Nop())
	server.Handle(wirepb.Kind_KIND_SLOTS, slotlink.Handler(c.witness))
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() {
		_ = listener.Close()
		_ = server.Shutdown(context.Background())
	})
	return listener.Addr().String()
}

// awaitWitness waits until the witness has the whole table of slot records, with at
// least the given number of slots, or until the test's context ends.
func (c *cluster) awaitWitness(t *testing.T, slots int) {
	for t.Context().Err() == nil {
		reply := c.witness.Handle(lease.WitnessRequest{})
		if reply.Informed && len(reply.Records) >= slots {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func (c *cluster) startRouter(t *testing.T, i int) *router {
	self := c.members[i]
	listener, err := net.Listen("tcp", self.Address)
	if err != nil {
		t.Fatal(err)
	}
	c.incarnations++
	hello := &wirepb.Hello{Process: self.Process, Address: self.Address, Incarnation: c.incarnations}
	r := &router{
		listener: listener,
		pool:     wire.NewPool(hello, wire.NewDialer("")),
		server:   wire.NewServer(hello, zerolog.Nop()),
	}
	r.manager = admission.New(admission.Options{
		Store: c.store, Lister: c.store, Pool: r.pool, View: fixedView{self, c.members}, Source: c.source,
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

// admitUntilRefused sends requests of the given tokens to the routers in turn until
// the first refusal. It returns the admitted tokens and the refusal.
func admitUntilRefused(routers []*router, customer *object.Customer, tokens int64) (int64, error) {
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

// Routers that each applied the customer's limit alone would together admit a
// multiple of it. Three routers must not admit more than the limit, and must still
// make nearly the whole burst available.
func TestRoutersShareOneLimit(t *testing.T) {
	customer := &object.Customer{Name: "harbour", Rate: 10, Burst: 10_000}
	c := newCluster(t, customer)
	start := time.Now()
	var routers []*router
	for i := range c.members {
		routers = append(routers, c.startRouter(t, i))
	}
	admitWithRetries(t, routers[0], customer, 7500)
	var admitted int64 = 7500
	admittedLater, err := admitUntilRefused(routers, customer, 500)
	admitted += admittedLater
	var refusal *admission.Refusal
	if !errors.As(err, &refusal) || refusal.Code != admission.CodeRateLimited || refusal.RetryAfter <= 0 {
		t.Fatalf("got %v, want a CodeRateLimited refusal with a retry time", err)
	}
	maxTokens := customer.Burst + customer.Rate*time.Since(start).Seconds()
	if float64(admitted) > maxTokens {
		t.Fatalf("admitted %d tokens, the limit is %.0f", admitted, maxTokens)
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

// admitWithRetries sends one request, which takes tokens, until it is admitted. It fails
// the test after 51 refusals with pauses of 100 ms. Requests are refused until the
// routers hold their slots.
func admitWithRetries(t *testing.T, r *router, customer *object.Customer, tokens int64) {
	t.Helper()
	for range 50 {
		if _, err := r.manager.Admit(context.Background(), customer, tokens); err == nil {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	_, err := r.manager.Admit(context.Background(), customer, tokens)
	t.Fatalf("no request was admitted in 51 tries: %v", err)
}

// A restarted router cannot read its slot from the store while the store is down. It
// must get its slot through the witness and admit requests again.
func TestRestartedRouterAdmitsWhileStoreIsDown(t *testing.T) {
	customer := &object.Customer{Name: "harbour", Rate: 10, Burst: 10_000}
	c := newCluster(t, customer)
	var routers []*router
	for i := range c.members {
		routers = append(routers, c.startRouter(t, i))
	}
	admitWithRetries(t, routers[0], customer, 7000)
	c.awaitWitness(t, len(routers))
	c.store.SetFaults(memstore.Faults{Down: true})
	for i, r := range routers {
		r.stop(t)
		routers[i] = c.startRouter(t, i)
		admitWithRetries(t, routers[i], customer, 500)
	}
	for _, r := range routers {
		r.stop(t)
	}
}
