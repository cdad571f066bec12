package dispatch

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/greengagegate/greengagegate/internal/object"
	"github.com/greengagegate/greengagegate/internal/picker"
	"github.com/greengagegate/greengagegate/internal/refusal"
	"github.com/greengagegate/greengagegate/internal/wire"
	"github.com/greengagegate/greengagegate/internal/wire/wirepb"
	"github.com/rs/zerolog"
)

// startScriptedAgent starts an agent that answers each run with the events and then closes
// the stream. It returns the agent's upstream as a candidate.
func startScriptedAgent(t *testing.T, name string, events ...*wirepb.RunEvent) picker.Candidate {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := wire.NewServer(&wirepb.Hello{}, zerolog.Nop())
	server.Handle(wirepb.Kind_KIND_RUN, func(_ context.Context, _ wire.Request, stream *wire.Stream) {
		if stream.Recv(new(wirepb.RunRequest)) != nil {
			return
		}
		for _, event := range events {
			_ = stream.Send(event)
		}
	})
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() {
		_ = listener.Close()
		_ = server.Shutdown(context.Background())
	})
	return picker.Candidate{
		Upstream:     &object.Upstream{Name: name, Address: listener.Addr().String()},
		ExpectedTTFT: time.Millisecond,
		CachedTokens: 4_000,
	}
}

type discardSink struct{}

func (discardSink) Tokens([]byte, int64) error { return nil }

// TestOutcomeOfEachCandidateIsReported guards against a picker that prefers a full
// or failing upstream because it receives no outcome or a wrong one.
func TestOutcomeOfEachCandidateIsReported(t *testing.T) {
	candidates := []picker.Candidate{
		startScriptedAgent(t, "full", &wirepb.RunEvent{Event: &wirepb.RunEvent_Refusal{Refusal: &wirepb.Refusal{Code: string(refusal.QueueFull), Run: wirepb.RunState_RUN_NOT_RUN}}}),
		startScriptedAgent(t, "lost"),
		startScriptedAgent(t, "good",
			&wirepb.RunEvent{Event: &wirepb.RunEvent_Started{Started: &wirepb.RunStarted{CachedTokens: 2_000}}},
			&wirepb.RunEvent{Event: &wirepb.RunEvent_Tokens{Tokens: &wirepb.RunTokens{Count: 1, Text: []byte("x")}}},
			&wirepb.RunEvent{Event: &wirepb.RunEvent_End{End: &wirepb.RunEnd{Usage: &wirepb.Usage{CompletionTokens: 1}}}}),
	}
	pool := wire.NewPool(&wirepb.Hello{}, wire.NewDialer(""))
	defer pool.Close()
	var outcomes []string
	p := NewPrompter(PrompterOptions{Pool: pool, Log: zerolog.Nop(), Report: func(upstream string, o picker.Outcome) {
		outcomes = append(outcomes, fmt.Sprint(upstream, " ", o.Kind, " ", o.ExpectedCached, " ", o.Cached))
		if o.Kind == picker.OutcomeFirstToken && (o.ExpectedTTFT != time.Millisecond || o.TTFT <= 0) {
			t.Errorf("outcome of the first token: %+v", o)
		}
	}})
	if _, err := p.Run(t.Context(), Placement{candidates, &wirepb.RunRequest{MaxTokens: 1}}, nil, discardSink{}); err != nil {
		t.Fatal(err)
	}
	want := fmt.Sprintf("[full %d 0 0 lost %d 0 0 good %d 4000 2000]", picker.OutcomeQueueFull, picker.OutcomeFailed, picker.OutcomeFirstToken)
	if fmt.Sprint(outcomes) != want {
		t.Fatalf("reported %v, want %s", outcomes, want)
	}
}
