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

// callStage is a stage of a call at which a fault is injected.
type callStage string

const (
	// beforeSending is the stage before the agent sends the call to its service.
	beforeSending callStage = "before sending"
	// afterSending is the stage before the service executes the call.
	afterSending callStage = "after sending"
	// afterRunning is the stage after the service has executed the call.
	afterRunning callStage = "after running"
	// beforeAnswering is the stage before the service answers.
	beforeAnswering callStage = "before answering"
)

var callStages = []callStage{beforeSending, afterSending, afterRunning, beforeAnswering}

// callFleet is three agents with their services, and a record of the calls that
// the services executed.
type callFleet struct {
	t     *testing.T
	store *memstore.Store
	set   *object.Set

	requestCount atomic.Int64
	poisonCalls  atomic.Int64

	mu              sync.Mutex
	agents          map[string]*agentProcess
	lastIncarnation uint64
	executionsByKey map[string][]string // request ids by idempotency key
	faultStage      callStage
	// injectFault injects the fault at faultStage. It is nil once the fault was injected.
	injectFault func(agent string)
	// crashService crashes the service at faultStage, once.
	crashService bool
	// If ownerPaused is true, a crashed agent completes the calls that it has begun,
	// like a process that was paused while its shards moved.
	ownerPaused bool
}

// agentProcess is one incarnation of an agent.
type agentProcess struct {
	name     string
	listener net.Listener
	server   *wire.Server
	pool     *wire.Pool
	manager  *calls.Manager
	member   membership.Member
	crashed  chan struct{}
}

var agentNames = []string{"s1", "s2", "s3"}

func newCallFleet(t *testing.T) *callFleet {
	f := &callFleet{t: t, store: memstore.New(), agents: make(map[string]*agentProcess), executionsByKey: make(map[string][]string)}
	f.set = object.NewSet(1)
	f.set.Fleet = object.Fleet{IdempotencyShards: 6, RetryHorizon: object.Duration(time.Minute)}
	f.set.Routes["charges"] = &object.Route{Name: "charges", Path: "/charges", Pool: "billing"}
	listeners := make(map[string]net.Listener)
	for _, name := range agentNames {
		listener, err := net.Listen("tcp", testhost.AnyPort())
		if err != nil {
			t.Fatal(err)
		}
		f.set.Upstreams[name] = &object.Upstream{Name: name, Address: listener.Addr().String(), Pool: "billing", Kind: object.UpstreamService}
		listeners[name] = listener
	}
	f.set.Index()
	for _, name := range agentNames {
		f.startAgent(name, listeners[name])
	}
	t.Cleanup(f.stop)
	return f
}

// startAgent starts a new incarnation of an agent.
func (f *callFleet) startAgent(name string, listener net.Listener) {
	f.mu.Lock()
	f.lastIncarnation++
	incarnation := f.lastIncarnation
	f.mu.Unlock()
	address := listener.Addr().String()
	hello := &wirepb.Hello{Process: name, Address: address, Incarnation: incarnation}
	a := &agentProcess{
		name: name, listener: listener, crashed: make(chan struct{}),
		server: wire.NewServer(hello, zerolog.Nop()),
		pool:   wire.NewPool(hello, wire.NewDialer("")),
		member: membership.Member{Process: name, Address: address, Role: membership.RoleAgent, Incarnation: incarnation},
	}
	a.manager = calls.New(calls.Options{
		Driver: &recordingService{f, a}, Store: f.store, Pool: a.pool, View: fleetView{f, a.member},
		Source: fixedSource{f.set}, Upstream: name, Address: address, Log: zerolog.Nop(),
	})
	a.server.Handle(wirepb.Kind_KIND_CALL, a.manager.Handle)
	a.server.Handle(wirepb.Kind_KIND_ONCE, a.manager.HandleOnce)
	if err := a.manager.Start(context.Background()); err != nil {
		f.t.Error(err)
	}
	f.mu.Lock()
	f.agents[name] = a
	f.mu.Unlock()
	go func() { _ = a.server.Serve(listener) }()
}

func (f *callFleet) agent(name string) *agentProcess {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.agents[name]
}

// crash cuts all connections of an agent and starts its next incarnation.
func (f *callFleet) crash(name string) {
	a := f.agent(name)
	close(a.crashed)
	_ = a.listener.Close()
	canceled, cancel := context.WithCancel(context.Background())
	cancel()
	_ = a.server.Shutdown(canceled)
	a.pool.Close()
	a.manager.Halt()
	listener, err := net.Listen("tcp", a.member.Address)
	if err != nil {
		f.t.Error(err)
		return
	}
	f.startAgent(name, listener)
}

func (f *callFleet) stop() {
	for _, name := range agentNames {
		a := f.agent(name)
		_ = a.listener.Close()
		canceled, cancel := context.WithCancel(context.Background())
		cancel()
		_ = a.server.Shutdown(canceled)
		a.pool.Close()
		a.manager.Halt()
	}
}

// executions returns the ids of the requests that the services executed for a key.
func (f *callFleet) executions(key string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.executionsByKey[key])
}

// reachStage injects the fault if it is set for this stage of the call and was
// not injected before.
func (f *callFleet) reachStage(stage callStage, agent string) {
	f.mu.Lock()
	injectFault := f.injectFault
	if f.faultStage != stage || injectFault == nil {
		f.mu.Unlock()
		return
	}
	f.injectFault = nil
	f.mu.Unlock()
	injectFault(agent)
}

// newCaller returns a caller with a connection pool of its own, like that of
// another router.
func (f *callFleet) newCaller() *Caller {
	pool := wire.NewPool(&wirepb.Hello{}, wire.NewDialer(""))
	f.t.Cleanup(pool.Close)
	return NewCaller(CallerOptions{Pool: pool, View: fleetView{fleet: f}, Log: zerolog.Nop()})
}

func (f *callFleet) call(ctx context.Context, caller *Caller, key string) callResult {
	request := &wirepb.CallRequest{
		RequestId: fmt.Sprintf("%s-%d", key, f.requestCount.Add(1)), Customer: "limon", Method: "POST", Path: "/charges",
		Body: []byte("pay"), IdempotencyKey: key, Pool: "billing",
		Headers: []*wirepb.Header{{Name: "Idempotency-Key", Value: key}},
	}
	ctx, cancel := context.WithTimeout(ctx, 10*time.Second)
	defer cancel()
	reply, err := caller.Call(ctx, f.set, f.set.Routes["charges"], request)
	if err != nil {
		f.t.Error(err)
	}
	return callResult{request.RequestId, reply}
}

// waitUntilReady makes calls with new keys until more than 20 were made and the
// last one was answered. So many keys reach most of the 6 shards.
func (f *callFleet) waitUntilReady() {
	caller := f.newCaller()
	for i := 0; ; i++ {
		reply := f.call(f.t.Context(), caller, fmt.Sprintf("warm-%d", i)).reply
		if reply.Refusal == nil && i >= 20 {
			return
		}
		if reply.Refusal != nil {
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// callResult is one request and the reply to it.
type callResult struct {
	requestID string
	reply     *wirepb.CallReply
}

// checkExecutions compares the replies for a key with the recorded executions.
func (f *callFleet) checkExecutions(key string, results []callResult) {
	f.t.Helper()
	executions := f.executions(key)
	if len(executions) > 1 {
		f.t.Errorf("%s was executed %d times", key, len(executions))
	}
	onlyNotRun := true
	for _, result := range results {
		switch run := runState(result.reply); run {
		case wirepb.RunState_RUN_RAN:
			if len(executions) != 1 {
				f.t.Errorf("%s was reported as run, but executed %d times", key, len(executions))
			}
		case wirepb.RunState_RUN_NOT_RUN:
			if slices.Contains(executions, result.requestID) {
				f.t.Errorf("%s was reported as not run (%s), but was executed", result.requestID, result.reply.Refusal.Code)
			}
		}
		onlyNotRun = onlyNotRun && runState(result.reply) == wirepb.RunState_RUN_NOT_RUN
	}
	if onlyNotRun && len(executions) > 0 {
		f.t.Errorf("all requests for %s were reported as not run, but one was executed", key)
	}
}

func runState(reply *wirepb.CallReply) wirepb.RunState {
	if reply.Refusal == nil {
		return wirepb.RunState_RUN_RAN
	}
	return reply.Refusal.Run
}

// withdrawFault returns true if the fault has been injected, or is being injected.
// Otherwise it makes sure that the fault is not injected any more.
func (f *callFleet) withdrawFault() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	injected := f.injectFault == nil
	f.injectFault = nil
	return injected
}

// callWithFault makes a call and injects a fault when the call reaches the given
// stage. Then it repeats the call through two other routers at the same time and
// returns all results. If the call is refused before it reaches the stage, no
// fault is injected.
func (f *callFleet) callWithFault(stage callStage, key string, inject func(cancel context.CancelFunc, agent string)) []callResult {
	ctx, cancel := context.WithCancel(f.t.Context())
	defer cancel()
	injected := make(chan struct{})
	f.mu.Lock()
	f.faultStage = stage
	f.injectFault = func(agent string) {
		inject(cancel, agent)
		close(injected)
	}
	f.mu.Unlock()
	results := make([]callResult, 3)
	var group sync.WaitGroup
	ended := make(chan struct{})
	group.Go(func() {
		defer close(ended)
		results[0] = f.call(ctx, f.newCaller(), key)
	})
	select {
	case <-injected:
	case <-ended:
		if f.withdrawFault() {
			<-injected
		}
	}
	for i := 1; i < len(results); i++ {
		group.Go(func() { results[i] = f.call(f.t.Context(), f.newCaller(), key) })
	}
	group.Wait()
	return results
}
