package dispatch

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/greengagegate/greengagegate/internal/agent/calls"
	"github.com/greengagegate/greengagegate/internal/object"
	"github.com/greengagegate/greengagegate/internal/service"
	"github.com/greengagegate/greengagegate/internal/testhost"
	"github.com/greengagegate/greengagegate/internal/wire"
	"github.com/greengagegate/greengagegate/internal/wire/wirepb"
	"github.com/greengagegate/greengagegate/membership"
	"github.com/greengagegate/greengagegate/store/memstore"
	"github.com/rs/zerolog"
)

// point is a moment in the life of a call at which something crashes.
type point string

const (
	beforeSending   point = "before sending"
	afterSending    point = "after sending"
	afterRunning    point = "after running"
	beforeAnswering point = "before answering"
)

var points = []point{beforeSending, afterSending, afterRunning, beforeAnswering}

// world is three agents beside services, and the ledger of what these executed.
type world struct {
	t     *testing.T
	store *memstore.Store
	set   *object.Set

	requests atomic.Int64
	poisoned atomic.Int64

	mu       sync.Mutex
	agents   map[string]*agentProcess
	births   uint64
	ledger   map[string][]string // request ids of executions, by key
	at       point
	strike   func(agent string)
	upstream bool
	// paused makes agents that crash go on with the calls that they have begun, as
	// a process does that was paused while its shards moved.
	paused bool
}

type agentProcess struct {
	name     string
	listener net.Listener
	server   *wire.Server
	pool     *wire.Pool
	manager  *calls.Manager
	member   membership.Member
	dead     chan struct{}
}

var agentNames = []string{"s1", "s2", "s3"}

func newWorld(t *testing.T) *world {
	w := &world{t: t, store: memstore.New(), agents: make(map[string]*agentProcess), ledger: make(map[string][]string)}
	w.set = object.NewSet(1)
	w.set.Fleet = object.Fleet{IdempotencyShards: 6, RetryHorizon: object.Duration(time.Minute)}
	w.set.Routes["charges"] = &object.Route{Name: "charges", Path: "/charges", Pool: "billing"}
	listeners := make(map[string]net.Listener)
	for _, name := range agentNames {
		listener, err := net.Listen("tcp", testhost.AnyPort())
		if err != nil {
			t.Fatal(err)
		}
		w.set.Upstreams[name] = &object.Upstream{Name: name, Address: listener.Addr().String(), Pool: "billing", Kind: object.UpstreamService}
		listeners[name] = listener
	}
	w.set.Index()
	for _, name := range agentNames {
		w.begin(name, listeners[name])
	}
	t.Cleanup(w.stop)
	return w
}

// begin starts a new life of an agent.
func (w *world) begin(name string, listener net.Listener) {
	w.mu.Lock()
	w.births++
	incarnation := w.births
	w.mu.Unlock()
	address := listener.Addr().String()
	hello := &wirepb.Hello{Process: name, Address: address, Incarnation: incarnation}
	a := &agentProcess{
		name: name, listener: listener, dead: make(chan struct{}),
		server: wire.NewServer(hello, zerolog.Nop()),
		pool:   wire.NewPool(hello, wire.NewDialer("")),
		member: membership.Member{Process: name, Address: address, Role: membership.RoleAgent, Incarnation: incarnation},
	}
	a.manager = calls.New(calls.Options{
		Driver: &ledgerDriver{w, a}, Store: w.store, Pool: a.pool, View: view{w, a.member},
		Source: source{w.set}, Upstream: name, Address: address, Log: zerolog.Nop(),
	})
	a.server.Handle(wirepb.Kind_KIND_CALL, a.manager.Handle)
	a.server.Handle(wirepb.Kind_KIND_ONCE, a.manager.HandleOnce)
	if err := a.manager.Start(context.Background()); err != nil {
		w.t.Error(err)
	}
	w.mu.Lock()
	w.agents[name] = a
	w.mu.Unlock()
	go func() { _ = a.server.Serve(listener) }()
}

func (w *world) agent(name string) *agentProcess {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.agents[name]
}

// crash cuts an agent off from everything and starts its next life.
func (w *world) crash(name string) {
	a := w.agent(name)
	close(a.dead)
	_ = a.listener.Close()
	gone, cancel := context.WithCancel(context.Background())
	cancel()
	_ = a.server.Shutdown(gone)
	a.pool.Close()
	a.manager.Halt()
	listener, err := net.Listen("tcp", a.member.Address)
	if err != nil {
		w.t.Error(err)
		return
	}
	w.begin(name, listener)
}

func (w *world) stop() {
	for _, name := range agentNames {
		a := w.agent(name)
		_ = a.listener.Close()
		gone, cancel := context.WithCancel(context.Background())
		cancel()
		_ = a.server.Shutdown(gone)
		a.pool.Close()
		a.manager.Halt()
	}
}

func (w *world) executions(key string) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.ledger[key])
}

// reach runs the strike if the call has come to its point, once.
func (w *world) reach(at point, agent string) {
	w.mu.Lock()
	strike := w.strike
	if w.at != at || strike == nil {
		w.mu.Unlock()
		return
	}
	w.strike = nil
	w.mu.Unlock()
	strike(agent)
}

// ledgerDriver is an agent's service. It counts executions by key.
type ledgerDriver struct {
	w *world
	a *agentProcess
}

func (d *ledgerDriver) Do(_ context.Context, call service.Call) (service.Answer, error) {
	if string(call.Body) == poisonText {
		d.w.poisoned.Add(1)
		return service.Answer{}, service.ErrOutcomeUnknown
	}
	key := call.Header.Get("Idempotency-Key")
	d.w.reach(beforeSending, d.a.name)
	if d.crashed(beforeSending) {
		return service.Answer{}, service.ErrNotSent
	}
	d.w.reach(afterSending, d.a.name)
	if d.crashed(afterSending) {
		return service.Answer{}, service.ErrOutcomeUnknown
	}
	d.w.mu.Lock()
	d.w.ledger[key] = append(d.w.ledger[key], call.RequestID)
	d.w.mu.Unlock()
	for _, at := range []point{afterRunning, beforeAnswering} {
		d.w.reach(at, d.a.name)
		if d.crashed(at) {
			return service.Answer{}, service.ErrOutcomeUnknown
		}
	}
	return service.Answer{Status: 200, Body: []byte("paid " + key)}, nil
}

// crashed reports whether the service crashed at this point, or its agent did
// before it sent anything.
func (d *ledgerDriver) crashed(at point) bool {
	d.w.mu.Lock()
	defer d.w.mu.Unlock()
	if d.w.upstream && d.w.at == at && d.w.strike == nil {
		d.w.upstream = false
		return true
	}
	select {
	case <-d.a.dead:
		return at == beforeSending && !d.w.paused
	default:
		return false
	}
}

type view struct {
	w    *world
	self membership.Member
}

func (v view) Self() membership.Member { return v.self }

func (v view) Members() []membership.Member {
	var members []membership.Member
	for _, name := range agentNames {
		if a := v.w.agent(name); a != nil {
			members = append(members, a.member)
		}
	}
	return members
}

func (v view) Changed() <-chan struct{} { return make(chan struct{}) }

type source struct{ set *object.Set }

func (s source) Current() *object.Set     { return s.set }
func (s source) Fresh() bool              { return true }
func (s source) Changed() <-chan struct{} { return make(chan struct{}) }

// router returns a caller of its own sessions.
func (w *world) router() *Caller {
	pool := wire.NewPool(&wirepb.Hello{}, wire.NewDialer(""))
	w.t.Cleanup(pool.Close)
	return NewCaller(CallerOptions{Pool: pool, View: view{w: w}, Log: zerolog.Nop()})
}

func (w *world) call(ctx context.Context, router *Caller, key string) told {
	request := &wirepb.CallRequest{
		RequestId: fmt.Sprintf("%s-%d", key, w.requests.Add(1)), Customer: "limon", Method: "POST", Path: "/charges",
		Body: []byte("pay"), IdempotencyKey: key, Pool: "billing",
		Headers: []*wirepb.Header{{Name: "Idempotency-Key", Value: key}},
	}
	ctx, cancel := context.WithTimeout(ctx, 10*time.Second)
	defer cancel()
	reply, err := router.Call(ctx, w.set, w.set.Routes["charges"], request)
	if err != nil {
		w.t.Error(err)
	}
	return told{request.RequestId, reply}
}

// warm waits until keyed calls are answered.
func (w *world) warm() {
	router := w.router()
	for i := 0; ; i++ {
		reply := w.call(w.t.Context(), router, fmt.Sprintf("warm-%d", i)).reply
		if reply.Refusal == nil && i >= 20 {
			return
		}
		if reply.Refusal != nil {
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// told is one request and what its caller was told.
type told struct {
	requestID string
	reply     *wirepb.CallReply
}

// check compares what a key's callers were told with the ledger.
func (w *world) check(key string, all []told) {
	w.t.Helper()
	executions := w.executions(key)
	if len(executions) > 1 {
		w.t.Errorf("%s ran %d times", key, len(executions))
	}
	onlyNotRun := true
	for _, one := range all {
		switch run := runOf(one.reply); run {
		case wirepb.RunState_RUN_RAN:
			if len(executions) != 1 {
				w.t.Errorf("%s was told to have run and ran %d times", key, len(executions))
			}
		case wirepb.RunState_RUN_NOT_RUN:
			if slices.Contains(executions, one.requestID) {
				w.t.Errorf("%s was told not to have run (%s) and ran", one.requestID, one.reply.Refusal.Code)
			}
		}
		onlyNotRun = onlyNotRun && runOf(one.reply) == wirepb.RunState_RUN_NOT_RUN
	}
	if onlyNotRun && len(executions) > 0 {
		w.t.Errorf("%s was told only not to have run and ran", key)
	}
}

func runOf(reply *wirepb.CallReply) wirepb.RunState {
	if reply.Refusal == nil {
		return wirepb.RunState_RUN_RAN
	}
	return reply.Refusal.Run
}

// begun reports whether the strike has begun, and calls it off otherwise.
func (w *world) begun() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	begun := w.strike == nil
	w.strike = nil
	return begun
}

// strikeAt makes the next call that comes to a point meet a crash, then sends it
// and its repeats through two other routers at once. A call that is refused on
// the way there meets none.
func (w *world) strikeAt(at point, key string, strike func(cancel context.CancelFunc, agent string)) []told {
	ctx, cancel := context.WithCancel(w.t.Context())
	defer cancel()
	struck := make(chan struct{})
	w.mu.Lock()
	w.at = at
	w.strike = func(agent string) {
		strike(cancel, agent)
		close(struck)
	}
	w.mu.Unlock()
	replies := make([]told, 3)
	var group sync.WaitGroup
	ended := make(chan struct{})
	group.Go(func() {
		defer close(ended)
		replies[0] = w.call(ctx, w.router(), key)
	})
	select {
	case <-struck:
	case <-ended:
		if w.begun() {
			<-struck
		}
	}
	for i := 1; i < len(replies); i++ {
		group.Go(func() { replies[i] = w.call(w.t.Context(), w.router(), key) })
	}
	group.Wait()
	return replies
}
