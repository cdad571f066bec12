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

// startAgents starts count agents on the loopback interface and returns a set with
// their upstreams. Each agent answers each probe with the result of replyOf for the
// agent. If the result is nil, the agent leaves this probe and all later probes on the
// stream unanswered.
func startAgents(t *testing.T, count int, replyOf func(agent int) *wirepb.ProbeReply) *object.Set {
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
				reply := replyOf(i)
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
	// testProbeTimeout and testHedgeAfter exceed the defaults, so that agents answer
	// in time on a busy machine.
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

func testPrompt(key uint64) Prompt {
	return Prompt{
		Customer:     "a",
		Version:      &object.ModelVersion{Pool: "engines", Weights: "v1"},
		Hashes:       []uint64{key, key + 1},
		PromptTokens: 4_000,
	}
}

// TestPoliciesChooseByProbeReplies checks that each policy weighs queue delay and
// cached tokens as intended: engine-1 has the shortest queue delay, engine-2 the
// whole prompt in its cache, engine-3 is unavailable. Policies random and hash
// send no probes and return all four upstreams.
func TestPoliciesChooseByProbeReplies(t *testing.T) {
	set := startAgents(t, 4, func(agent int) *wirepb.ProbeReply {
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
		candidates, err := newPicker(t, policy).Pick(t.Context(), set, testPrompt(7))
		if err != nil || candidates[0].Upstream.Name != want {
			t.Errorf("%s: got %v, %v, want the best upstream first", policy, candidates, err)
		}
	}
	for _, policy := range []string{PolicyRandom, PolicyHash} {
		candidates, err := newPicker(t, policy).Pick(t.Context(), set, testPrompt(7))
		if err != nil || len(candidates) != 4 {
			t.Errorf("%s: got %v, %v, want all upstreams", policy, candidates, err)
		}
	}
	if _, err := New(Options{Policy: "best"}); err == nil {
		t.Error("New accepted an unknown policy")
	}
}

// TestPickReturnsTheOnlyUpstreamThatAnswers guards against a request that fails
// because most agents accept probes without answering. Once the only upstream that
// answers has failed as well, Pick must return ErrNoUpstream.
func TestPickReturnsTheOnlyUpstreamThatAnswers(t *testing.T) {
	set := startAgents(t, 6, func(agent int) *wirepb.ProbeReply {
		if agent != 5 {
			return nil
		}
		return &wirepb.ProbeReply{}
	})
	m := newPicker(t, PolicyProbeAll)
	candidates, err := m.Pick(t.Context(), set, testPrompt(1))
	if err != nil || len(candidates) != 1 || candidates[0].Upstream.Name != "engine-5" {
		t.Fatalf("got %v, %v, want only engine-5", candidates, err)
	}
	m.Report("engine-5", Outcome{Kind: OutcomeFailed})
	if _, err := m.Pick(t.Context(), set, testPrompt(1)); !errors.Is(err, ErrNoUpstream) {
		t.Fatalf("got %v, want ErrNoUpstream", err)
	}
}

// TestAgentThatDoesNotAnswerIsExcluded guards against probes that are sent again
// and again to an agent that does not answer.
func TestAgentThatDoesNotAnswerIsExcluded(t *testing.T) {
	set := startAgents(t, 2, func(agent int) *wirepb.ProbeReply {
		if agent == 0 {
			return nil
		}
		return &wirepb.ProbeReply{}
	})
	m := newPicker(t, PolicyProbeAll)
	for excluded := false; !excluded; _, excluded = m.outcomes.penaltyOf("engine-0") {
		if _, err := m.Pick(t.Context(), set, testPrompt(1)); err != nil {
			t.Fatal(err)
		}
	}
	if _, excluded := m.outcomes.penaltyOf("engine-1"); excluded {
		t.Fatal("engine-1 is excluded although its agent answers")
	}
}

// TestProbeStreamIsReopenedAfterItEnds guards against an agent that cannot be
// probed any more once its stream has ended, and against probes that stay pending.
func TestProbeStreamIsReopenedAfterItEnds(t *testing.T) {
	set := startAgents(t, 1, func(int) *wirepb.ProbeReply { return &wirepb.ProbeReply{CachedTokens: 5} })
	m := newPicker(t, PolicyProbeAll)
	probes := m.streams.streamTo(set.Upstreams["engine-0"].Address)
	for range 3 {
		reply, err := m.streams.probe(t.Context(), probes.address, &wirepb.ProbeRequest{})
		if err != nil || reply.CachedTokens != 5 {
			t.Fatalf("got %v, %v, want a reply with 5 cached tokens", reply, err)
		}
		probes.mu.Lock()
		stream := probes.stream
		probes.mu.Unlock()
		_ = stream.Close()
		for ended := false; !ended; {
			probes.mu.Lock()
			ended = probes.stream == nil
			probes.mu.Unlock()
		}
	}
	if len(probes.replyChannels) != 0 {
		t.Fatalf("%d probes are still pending", len(probes.replyChannels))
	}
}

// TestLeavingUpstreamsReceiveNoRequests guards against new requests on upstreams
// that the configuration marks as leaving, also by policies that send no probes.
func TestLeavingUpstreamsReceiveNoRequests(t *testing.T) {
	set := startAgents(t, 3, func(int) *wirepb.ProbeReply { return &wirepb.ProbeReply{} })
	set.Upstreams["engine-0"].Leaving = true
	for _, policy := range []string{PolicyRandom, PolicyHash, PolicyPrefix} {
		candidates, err := newPicker(t, policy).Pick(t.Context(), set, testPrompt(3))
		if err != nil {
			t.Fatal(err)
		}
		for _, candidate := range candidates {
			if candidate.Upstream.Name == "engine-0" {
				t.Errorf("%s: chose an upstream that is leaving", policy)
			}
		}
	}
}

// TestLateUpstreamIsPenalizedUntilItsLatenessDecays guards against an agent that
// predicts a short wait and so attracts requests whose first tokens come late. The
// penalty must spare upstreams that are only a little late. It must also end without
// new observations, because an upstream that receives no requests gives none. The
// late upstream is called "liar"; the upstreams called "honest" are 40 ms late, which
// is tolerated.
func TestLateUpstreamIsPenalizedUntilItsLatenessDecays(t *testing.T) {
	now := time.Now()
	tracker := newOutcomeTracker()
	tracker.now = func() time.Time { return now }
	for range 10 {
		tracker.report("liar", Outcome{ExpectedTTFT: 10 * time.Millisecond, TTFT: 2 * time.Second})
		for i := range 9 {
			tracker.report(fmt.Sprintf("honest-%d", i), Outcome{ExpectedTTFT: time.Second, TTFT: 1040 * time.Millisecond})
		}
	}
	if penalty, _ := tracker.penaltyOf("liar"); penalty < time.Second {
		t.Fatalf("late upstream has a penalty of %v, want at least 1s", penalty)
	}
	if penalty, _ := tracker.penaltyOf("honest-1"); penalty != 0 {
		t.Fatalf("upstream that is 40 ms late has a penalty of %v, want 0", penalty)
	}
	now = now.Add(30 * time.Second)
	if penalty, _ := tracker.penaltyOf("liar"); penalty != 0 {
		t.Fatalf("penalty is %v after 30s without observations, want 0", penalty)
	}
}

// TestCustomersSwitchToNewWeightsGradually guards against requests for weights that
// too few upstreams have loaded. While upstreams load version 2 one by one, no
// customer may switch below 3 of 10 upstreams, the number of switched customers may
// not fall, and all must have switched in the end. Before any upstream has reported,
// all use the newest version.
func TestCustomersSwitchToNewWeightsGradually(t *testing.T) {
	set := startAgents(t, 10, func(int) *wirepb.ProbeReply { return &wirepb.ProbeReply{} })
	for _, name := range []string{"m-1", "m-2"} {
		set.ModelVersions[name] = &object.ModelVersion{Name: name, Model: "m", Pool: "engines", Weights: name}
	}
	set.Index()
	m := newPicker(t, PolicyPrefix)
	countOnNewWeights := func() int {
		count := 0
		for customer := range 100 {
			versions := m.Versions(set, "m", "engines", fmt.Sprint(customer))
			if len(versions) != 2 {
				t.Fatalf("got versions %v, want 2", versions)
			}
			if versions[0].Name == "m-2" {
				count++
			}
		}
		return count
	}
	if got := countOnNewWeights(); got != 100 {
		t.Fatalf("%d of 100 customers use the newest weights before any upstream has reported, want all", got)
	}
	previous := 0
	for upgraded := range 11 {
		for i := range 10 {
			weights := []string{"m-1"}
			if i < upgraded {
				weights = append(weights, "m-2")
			}
			m.loadedWeights.record(fmt.Sprintf("engine-%d", i), weights)
		}
		current := countOnNewWeights()
		if current < previous {
			t.Fatalf("%d customers use the new weights at %d of 10 upstreams, fewer than the %d before", current, upgraded, previous)
		}
		previous = current
		if upgraded < 3 && current != 0 {
			t.Fatalf("%d customers use the new weights at %d of 10 upstreams, want none", current, upgraded)
		}
	}
	if previous != 100 {
		t.Fatalf("%d of 100 customers use the new weights after all upstreams have loaded them, want all", previous)
	}
}
