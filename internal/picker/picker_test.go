package picker

import (
	"context"
	"errors"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/greengagegate/greengagegate/internal/object"
	"github.com/greengagegate/greengagegate/internal/wire"
	"github.com/greengagegate/greengagegate/internal/wire/wirepb"
	"github.com/rs/zerolog"
)

// agents starts agents on loopback that answer probes with the given function.
func agents(t *testing.T, count int, answer func(agent int) *wirepb.ProbeReply) *object.Set {
	t.Helper()
	set := object.NewSet(1)
	for i := range count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		server := wire.NewServer(&wirepb.Hello{}, zerolog.Nop())
		server.Handle(wirepb.Kind_KIND_PROBE, func(ctx context.Context, _ wire.Request, stream *wire.Stream) {
			for {
				request := new(wirepb.ProbeRequest)
				if stream.Recv(request) != nil {
					return
				}
				reply := answer(i)
				if reply == nil {
					<-ctx.Done()
					return
				}
				reply.Sequence = request.Sequence
				_ = stream.Send(reply)
			}
		})
		go func() { _ = server.Serve(listener) }()
		t.Cleanup(func() {
			_ = listener.Close()
			ctx, cancel := context.WithCancel(context.Background())
			cancel()
			_ = server.Shutdown(ctx)
		})
		name := fmt.Sprintf("engine-%d", i)
		set.Upstreams[name] = &object.Upstream{
			Name: name, Address: listener.Addr().String(), Kind: object.UpstreamEngine, Pool: "engines",
		}
	}
	set.Index()
	return set
}

const (
	// testProbeTimeout and testHedgeAfter leave agents time on a busy machine.
	testProbeTimeout = 3 * time.Second
	testHedgeAfter   = 300 * time.Millisecond
)

func newPicker(t *testing.T, policy string) *Manager {
	t.Helper()
	pool := wire.NewPool(&wirepb.Hello{}, wire.NewDialer(""))
	t.Cleanup(pool.Close)
	m, err := New(Options{Policy: policy, Import: true, Pool: pool, ProbeTimeout: testProbeTimeout, HedgeAfter: testHedgeAfter})
	if err != nil {
		t.Fatal(err)
	}
	return m
}

func prompt(key uint64) Prompt {
	return Prompt{
		Customer:     "a",
		Version:      &object.ModelVersion{Pool: "engines", Weights: "v1"},
		Hashes:       []uint64{key, key + 1},
		PromptTokens: 4_000,
	}
}

func TestPoliciesChooseByWhatAgentsSay(t *testing.T) {
	set := agents(t, 4, func(agent int) *wirepb.ProbeReply {
		reply := &wirepb.ProbeReply{ExpectedWaitUs: 1_000_000, PrefillTokensPerSecond: 20_000}
		switch agent {
		case 1:
			reply.ExpectedWaitUs = 0
		case 2:
			reply.ExpectedWaitUs, reply.CachedTokens = 100_000, 4_000
		case 3:
			return &wirepb.ProbeReply{Unavailable: true}
		}
		return reply
	})
	for policy, want := range map[string]string{PolicyLeastLoaded: "engine-1", PolicyProbeAll: "engine-2", PolicyPrefix: "engine-2"} {
		candidates, err := newPicker(t, policy).Pick(t.Context(), set, prompt(7))
		if err != nil || candidates[0].Upstream.Name != want {
			t.Errorf("%s: %v, %v", policy, candidates, err)
		}
	}
	for _, policy := range []string{PolicyRandom, PolicyHash} {
		candidates, err := newPicker(t, policy).Pick(t.Context(), set, prompt(7))
		if err != nil || len(candidates) != 4 {
			t.Errorf("%s: %v, %v", policy, candidates, err)
		}
	}
	if _, err := New(Options{Policy: "best"}); err == nil {
		t.Error("unknown policy accepted")
	}
}

func TestSilentAgentsAreReplacedAndDeadFleetIsAnError(t *testing.T) {
	set := agents(t, 6, func(agent int) *wirepb.ProbeReply {
		if agent != 5 {
			return nil
		}
		return &wirepb.ProbeReply{}
	})
	m := newPicker(t, PolicyProbeAll)
	candidates, err := m.Pick(t.Context(), set, prompt(1))
	if err != nil || len(candidates) != 1 || candidates[0].Upstream.Name != "engine-5" {
		t.Fatalf("got %v, %v", candidates, err)
	}
	m.Report("engine-5", Outcome{Kind: OutcomeFailed})
	if _, err := m.Pick(t.Context(), set, prompt(1)); !errors.Is(err, ErrNoUpstream) {
		t.Fatalf("got %v, want ErrNoUpstream", err)
	}
}

func TestSilentAgentIsLeftOutForAWhile(t *testing.T) {
	set := agents(t, 2, func(agent int) *wirepb.ProbeReply {
		if agent == 0 {
			return nil
		}
		return &wirepb.ProbeReply{}
	})
	m := newPicker(t, PolicyProbeAll)
	for avoided := false; !avoided; _, avoided = m.watch.verdict("engine-0") {
		if _, err := m.Pick(t.Context(), set, prompt(1)); err != nil {
			t.Fatal(err)
		}
	}
	if _, avoided := m.watch.verdict("engine-1"); avoided {
		t.Fatal("answering agent left out")
	}
}

func TestLineIsOpenedAgainAfterTheAgentClosedIt(t *testing.T) {
	set := agents(t, 1, func(int) *wirepb.ProbeReply { return &wirepb.ProbeReply{CachedTokens: 5} })
	m := newPicker(t, PolicyProbeAll)
	l := m.lines.line(set.Upstreams["engine-0"].Address)
	for range 3 {
		reply, err := m.lines.ask(t.Context(), l.address, &wirepb.ProbeRequest{})
		if err != nil || reply.CachedTokens != 5 {
			t.Fatalf("got %v, %v", reply, err)
		}
		l.mu.Lock()
		stream := l.stream
		l.mu.Unlock()
		_ = stream.Close()
		for ended := false; !ended; {
			l.mu.Lock()
			ended = l.stream == nil
			l.mu.Unlock()
		}
	}
	if len(l.pending) != 0 {
		t.Fatalf("%d probes left waiting", len(l.pending))
	}
}

func TestLeavingUpstreamsGetNoWork(t *testing.T) {
	set := agents(t, 3, func(int) *wirepb.ProbeReply { return &wirepb.ProbeReply{} })
	set.Upstreams["engine-0"].Leaving = true
	for _, policy := range []string{PolicyRandom, PolicyHash, PolicyPrefix} {
		candidates, err := newPicker(t, policy).Pick(t.Context(), set, prompt(3))
		if err != nil {
			t.Fatal(err)
		}
		for _, candidate := range candidates {
			if candidate.Upstream.Name == "engine-0" {
				t.Errorf("%s: leaving upstream chosen", policy)
			}
		}
	}
}

func TestUpstreamThatUnderstatesItsWaitIsDemotedAndTriedAgain(t *testing.T) {
	now := time.Now()
	w := newWatch()
	w.now = func() time.Time { return now }
	for range 10 {
		w.report("liar", Outcome{Expected: 10 * time.Millisecond, FirstToken: 2 * time.Second})
		for i := range 9 {
			w.report(fmt.Sprintf("honest-%d", i), Outcome{Expected: time.Second, FirstToken: 1040 * time.Millisecond})
		}
	}
	if penalty, _ := w.verdict("liar"); penalty < time.Second {
		t.Fatalf("penalty %v", penalty)
	}
	if penalty, _ := w.verdict("honest-1"); penalty != 0 {
		t.Fatalf("honest upstream has penalty %v", penalty)
	}
	now = now.Add(30 * time.Second)
	if penalty, _ := w.verdict("liar"); penalty != 0 {
		t.Fatalf("penalty %v stays without news", penalty)
	}
}

func TestOldWeightsServeUntilEnoughUpstreamsHaveTheNewOnes(t *testing.T) {
	set := agents(t, 10, func(int) *wirepb.ProbeReply { return &wirepb.ProbeReply{} })
	for _, name := range []string{"m-1", "m-2"} {
		set.ModelVersions[name] = &object.ModelVersion{Name: name, Model: "m", Pool: "engines", Weights: name}
	}
	set.Index()
	m := newPicker(t, PolicyPrefix)
	onNew := func() int {
		count := 0
		for customer := range 100 {
			versions := m.Versions(set, "m", "engines", fmt.Sprint(customer))
			if len(versions) != 2 {
				t.Fatalf("versions %v", versions)
			}
			if versions[0].Name == "m-2" {
				count++
			}
		}
		return count
	}
	if got := onNew(); got != 100 {
		t.Fatalf("%d customers on the newest weights before anything is known", got)
	}
	previous := 0
	for upgraded := range 11 {
		for i := range 10 {
			weights := []string{"m-1"}
			if i < upgraded {
				weights = append(weights, "m-2")
			}
			m.versions.note(fmt.Sprintf("engine-%d", i), weights)
		}
		now := onNew()
		if now < previous {
			t.Fatalf("%d customers on new weights at %d upstreams, %d before", now, upgraded, previous)
		}
		previous = now
		if upgraded < 3 && now != 0 {
			t.Fatalf("%d customers on new weights at %d of 10 upstreams", now, upgraded)
		}
	}
	if previous != 100 {
		t.Fatalf("%d customers on new weights in the end", previous)
	}
}
