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

// callFleet is three agents beside services, and the ledger of what these executed.
type callFleet struct {
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
	inject   func(agent string)
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

func newCallFleet(t *testing.T) *callFleet {
	w := &callFleet{t: t, store: memstore.New(), agents: make(map[string]*agentProcess), ledger: make(map[string][]string)}
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
func (w *callFleet) begin(name string, listener net.Listener) {
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

func (w *callFleet) agent(name string) *agentProcess {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.agents[name]
}

// crash cuts an agent off from everything and starts its next life.
func (w *callFleet) crash(name string) {
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

func (w *callFleet) stop() {
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

func (w *callFleet) executions(key string) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.ledger[key])
}

// reach injects the fault if the call has come to its point, once.
func (w *callFleet) reach(at point, agent string) {
	w.mu.Lock()
	inject := w.inject
	if w.at != at || inject == nil {
		w.mu.Unlock()
		return
	}
	w.inject = nil
	w.mu.Unlock()
	inject(agent)
}

// router returns a caller of its own sessions.
func (w *callFleet) router() *Caller {
	pool := wire.NewPool(&wirepb.Hello{}, wire.NewDialer(""))
	w.t.Cleanup(pool.Close)
	return NewCaller(CallerOptions{Pool: pool, View: view{w: w}, Log: zerolog.Nop()})
}

func (w *callFleet) call(ctx context.Context, router *Caller, key string) told {
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
func (w *callFleet) warm() {
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
func (w *callFleet) check(key string, all []told) {
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

// begun reports whether the fault has been injected, and calls it off otherwise.
func (w *callFleet) begun() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	begun := w.inject == nil
	w.inject = nil
	return begun
}

// injectAt makes the next call that comes to a point meet a crash, then sends it
// and its repeats through two other routers at once. A call that is refused on
// the way there meets none.
func (w *callFleet) injectAt(at point, key string, inject func(cancel context.CancelFunc, agent string)) []told {
	ctx, cancel := context.WithCancel(w.t.Context())
	defer cancel()
	struck := make(chan struct{})
	w.mu.Lock()
	w.at = at
	w.inject = func(agent string) {
		inject(cancel, agent)
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
