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

func TestCrashesAroundOneCall(t *testing.T) {
	w := newCallFleet(t)
	w.warm()
	cases := map[string]func(cancel context.CancelFunc, agent string){
		"agent":    func(_ context.CancelFunc, agent string) { w.crash(agent) },
		"upstream": func(context.CancelFunc, string) { w.mu.Lock(); w.upstream = true; w.mu.Unlock() },
		"router":   func(cancel context.CancelFunc, _ string) { cancel() },
	}
	for name, inject := range cases {
		for _, at := range points {
			key := name + " " + string(at)
			replies := w.injectAt(at, key, inject)
			w.check(key, replies)
			w.mu.Lock()
			w.at, w.inject, w.upstream = "", nil, false
			w.mu.Unlock()
			again := w.call(t.Context(), w.router(), key)
			w.check(key, append(replies, again))
			if name == "upstream" && at == beforeSending && replies[0].reply.Refusal != nil {
				t.Errorf("a call that was not sent was not tried again: %v", replies[0].reply.Refusal)
			}
			if name == "router" && again.reply.Refusal != nil {
				t.Errorf("%s: a repeat after the router's crash got %s", key, again.reply.Refusal.Code)
			}
		}
	}
}

func TestKeyedCallIsUnknownWithoutArbiter(t *testing.T) {
	w := newCallFleet(t)
	w.warm()
	for _, name := range agentNames {
		_ = w.agent(name).listener.Close()
		_ = w.agent(name).server.Shutdown(context.Background())
	}
	reply := w.call(t.Context(), w.router(), "k").reply
	if reply.Refusal == nil || reply.Refusal.Run != wirepb.RunState_RUN_UNKNOWN || reply.Refusal.RetryAfterMs <= 0 {
		t.Fatalf("got %v", reply)
	}
}

func TestUnkeyedChargeIsNotRepeatedAfterLoss(t *testing.T) {
	w := newCallFleet(t)
	w.mu.Lock()
	w.at = afterRunning
	w.inject = func(agent string) { w.crash(agent) }
	w.mu.Unlock()
	request := &wirepb.CallRequest{RequestId: "r", Customer: "limon", Method: "POST", Path: "/charges", Pool: "billing"}
	reply, err := w.router().Call(t.Context(), w.set, w.set.Routes["charges"], request)
	if err != nil || reply.Refusal.GetCode() != string(refusal.AgentLost) || reply.Refusal.Run != wirepb.RunState_RUN_UNKNOWN {
		t.Fatalf("got %v, %v", reply, err)
	}
	if n := len(w.executions("")); n != 1 {
		t.Fatalf("ran %d times", n)
	}
}

func TestNotSentIsToldAsNotRun(t *testing.T) {
	set := object.NewSet(1)
	set.Routes["charges"] = &object.Route{Name: "charges", Pool: "billing"}
	set.Upstreams["gone"] = &object.Upstream{Name: "gone", Address: "127.0.0.1:1", Pool: "billing"}
	set.Index()
	pool := wire.NewPool(&wirepb.Hello{}, func(context.Context, string) (net.Conn, error) { return nil, errors.New("refused") })
	caller := NewCaller(CallerOptions{Pool: pool, Log: zerolog.Nop()})
	reply, _ := caller.Call(t.Context(), set, set.Routes["charges"], &wirepb.CallRequest{Pool: "billing"})
	if reply.Refusal.GetCode() != string(refusal.AgentUnreachable) || reply.Refusal.Run != wirepb.RunState_RUN_NOT_RUN {
		t.Fatalf("got %v", reply)
	}
}

func TestPoisonCallIsConvicted(t *testing.T) {
	w := newCallFleet(t)
	known := quarantine.New(quarantine.Options{View: view{w: w}, Source: source{w.set}, Log: zerolog.Nop()})
	caller := w.router()
	caller.options.Quarantine = known
	route := &object.Route{Name: "verdicts", Path: "/verdicts", Pool: "billing", Idempotent: true}
	codes := make(map[string]int)
	for range 20 {
		request := &wirepb.CallRequest{Customer: "limon", Method: "GET", Path: "/verdicts", Body: []byte(poisonText), Idempotent: true}
		reply, _ := caller.Call(t.Context(), w.set, route, request)
		codes[reply.GetRefusal().GetCode()]++
	}
	if n := w.poisoned.Load(); n != 2 || codes[string(refusal.Quarantined)] != 19 || codes[string(refusal.Poisonous)] != 1 {
		t.Fatalf("crashed %d services, answers %v", n, codes)
	}
	other := &wirepb.CallRequest{Customer: "limon", Method: "GET", Path: "/verdicts", Body: []byte("harmless"), Idempotent: true}
	if reply, _ := caller.Call(t.Context(), w.set, route, other); reply.Refusal != nil {
		t.Fatalf("another content got %v", reply.Refusal)
	}
}
