package dispatch

import (
	"context"
	"errors"
	"net"
	"testing"

	"github.com/greengagegate/greengagegate/internal/object"
	"github.com/greengagegate/greengagegate/internal/quarantine"
	"github.com/greengagegate/greengagegate/internal/refusal"
	"github.com/greengagegate/greengagegate/internal/wire"
	"github.com/greengagegate/greengagegate/internal/wire/wirepb"
	"github.com/rs/zerolog"
)

// TestCrashesAroundOneCall guards against a call with an idempotency key that is
// executed twice, or whose run state is reported wrongly, when its agent, service
// or router crashes at any stage of the call.
func TestCrashesAroundOneCall(t *testing.T) {
	f := newCallFleet(t)
	f.waitUntilReady()
	cases := map[string]func(cancel context.CancelFunc, agent string){
		"agent":    func(_ context.CancelFunc, agent string) { f.crash(agent) },
		"upstream": func(context.CancelFunc, string) { f.mu.Lock(); f.crashService = true; f.mu.Unlock() },
		"router":   func(cancel context.CancelFunc, _ string) { cancel() },
	}
	for name, inject := range cases {
		for _, stage := range callStages {
			key := name + " " + string(stage)
			results := f.callWithFault(stage, key, inject)
			f.checkExecutions(key, results)
			f.mu.Lock()
			f.faultStage, f.injectFault, f.crashService = "", nil, false
			f.mu.Unlock()
			repeat := f.call(t.Context(), f.newCaller(), key)
			f.checkExecutions(key, append(results, repeat))
			if name == "upstream" && stage == beforeSending && results[0].reply.Refusal != nil {
				t.Errorf("a call that was not sent to its service was not retried: %v", results[0].reply.Refusal)
			}
			if name == "router" && repeat.reply.Refusal != nil {
				t.Errorf("%s: a repeat after the router's crash was refused with %s", key, repeat.reply.Refusal.Code)
			}
		}
	}
}

// TestKeyedCallIsUnknownWithoutArbiter guards against a call with a key that is
// reported as not run while its arbiter, which alone knows, is unreachable.
func TestKeyedCallIsUnknownWithoutArbiter(t *testing.T) {
	f := newCallFleet(t)
	f.waitUntilReady()
	for _, name := range agentNames {
		_ = f.agent(name).listener.Close()
		_ = f.agent(name).server.Shutdown(context.Background())
	}
	reply := f.call(t.Context(), f.newCaller(), "k").reply
	if reply.Refusal == nil || reply.Refusal.Run != wirepb.RunState_RUN_UNKNOWN || reply.Refusal.RetryAfterMs <= 0 {
		t.Fatalf("reply %v, want a refusal with an unknown run state and a time to retry", reply)
	}
}

// TestUnkeyedCallIsNotRetriedAfterLoss guards against a call that is neither
// idempotent nor has a key and is executed twice, because it was sent to a
// further agent after the connection to the first one broke.
func TestUnkeyedCallIsNotRetriedAfterLoss(t *testing.T) {
	f := newCallFleet(t)
	f.mu.Lock()
	f.faultStage = afterRunning
	f.injectFault = func(agent string) { f.crash(agent) }
	f.mu.Unlock()
	request := &wirepb.CallRequest{RequestId: "r", Customer: "limon", Method: "POST", Path: "/charges", Pool: "billing"}
	reply, err := f.newCaller().Call(t.Context(), f.set, f.set.Routes["charges"], request)
	if err != nil || reply.Refusal.GetCode() != string(refusal.AgentLost) || reply.Refusal.Run != wirepb.RunState_RUN_UNKNOWN {
		t.Fatalf("reply %v, error %v, want the refusal of a lost agent with an unknown run state", reply, err)
	}
	if n := len(f.executions("")); n != 1 {
		t.Fatalf("executed %d times, want once", n)
	}
}

// TestUnsentCallIsReportedAsNotRun guards against a call whose outcome is reported
// as unknown although no agent could be dialed.
func TestUnsentCallIsReportedAsNotRun(t *testing.T) {
	set := object.NewSet(1)
	set.Routes["charges"] = &object.Route{Name: "charges", Pool: "billing"}
	set.Upstreams["gone"] = &object.Upstream{Name: "gone", Address: "127.0.0.1:1", Pool: "billing"}
	set.Index()
	pool := wire.NewPool(&wirepb.Hello{}, func(context.Context, string) (net.Conn, error) { return nil, errors.New("refused") })
	caller := NewCaller(CallerOptions{Pool: pool, Log: zerolog.Nop()})
	reply, _ := caller.Call(t.Context(), set, set.Routes["charges"], &wirepb.CallRequest{Pool: "billing"})
	if reply.Refusal.GetCode() != string(refusal.AgentUnreachable) || reply.Refusal.Run != wirepb.RunState_RUN_NOT_RUN {
		t.Fatalf("reply %v, want the refusal of an unreachable agent with the state not run", reply)
	}
}

// TestPoisonCallIsConvicted guards against a call that crashes a third service:
// after two crashes its repeats are refused, while calls with another content are
// still made.
func TestPoisonCallIsConvicted(t *testing.T) {
	f := newCallFleet(t)
	manager := quarantine.New(quarantine.Options{View: fleetView{fleet: f}, Source: fixedSource{f.set}, Log: zerolog.Nop()})
	caller := f.newCaller()
	caller.options.Quarantine = manager
	route := &object.Route{Name: "verdicts", Path: "/verdicts", Pool: "billing", Idempotent: true}
	codes := make(map[string]int)
	for range 20 {
		request := &wirepb.CallRequest{Customer: "limon", Method: "GET", Path: "/verdicts", Body: []byte(poisonText), Idempotent: true}
		reply, _ := caller.Call(t.Context(), f.set, route, request)
		codes[reply.GetRefusal().GetCode()]++
	}
	if n := f.poisonCalls.Load(); n != 2 || codes[string(refusal.Quarantined)] != 19 || codes[string(refusal.Poisonous)] != 1 {
		t.Fatalf("the call crashed %d services, refusals by code: %v; want 2 services, 1 refusal as poisonous and 19 as quarantined", n, codes)
	}
	other := &wirepb.CallRequest{Customer: "limon", Method: "GET", Path: "/verdicts", Body: []byte("harmless"), Idempotent: true}
	if reply, _ := caller.Call(t.Context(), f.set, route, other); reply.Refusal != nil {
		t.Fatalf("a call with another content was refused: %v", reply.Refusal)
	}
}
