package dispatch

import (
	"context"
	"fmt"
	"slices"
	"testing"

	"github.com/greengagegate/greengagegate/internal/object"
	"github.com/greengagegate/greengagegate/internal/picker"
	"github.com/greengagegate/greengagegate/internal/refusal"
	"github.com/greengagegate/greengagegate/internal/wire"
	"github.com/greengagegate/greengagegate/internal/wire/wirepb"
)

// TestRequestIsMarkedSuspectAfterFirstCrash guards against a prompt that is run
// again without being marked as suspect after an engine crashed while the prompt
// was in flight. Each engine but the last one crashes after the given number of tokens.
func TestRequestIsMarkedSuspectAfterFirstCrash(t *testing.T) {
	for _, test := range []struct {
		name   string
		tokens []int64 // sent before each crash
		want   []bool  // whether each run, the last one included, is marked as suspect
	}{
		{"none before the first crash", []int64{0}, []bool{false, true}},
		{"some before the first crash", []int64{3}, []bool{false, true}},
		{"some before both crashes", []int64{3, 2}, []bool{false, true, true}},
	} {
		t.Run(test.name, func(t *testing.T) {
			var markedSuspect []bool
			var candidates []picker.Candidate
			for i := range len(test.tokens) + 1 {
				crashes := i < len(test.tokens)
				tokens := int64(1)
				if crashes {
					tokens = test.tokens[i]
				}
				address := startServer(t, func(s *wire.Server) {
					s.Handle(wirepb.Kind_KIND_RUN, func(_ context.Context, _ wire.Request, stream *wire.Stream) {
						request := new(wirepb.RunRequest)
						if stream.Recv(request) != nil {
							return
						}
						markedSuspect = append(markedSuspect, request.Suspect)
						if tokens > 0 {
							_ = stream.Send(&wirepb.RunEvent{Event: &wirepb.RunEvent_Tokens{Tokens: &wirepb.RunTokens{Offset: request.ResumeOffset, Count: tokens}}})
						}
						_ = stream.Send(lastEvent(crashes, request.ResumeOffset+tokens))
					})
				})
				candidates = append(candidates, picker.Candidate{Upstream: &object.Upstream{Name: fmt.Sprint(i), Address: address}})
			}
			request := &wirepb.RunRequest{RequestId: "r", Digest: 11, MaxTokens: 10}
			p := newPromptFleet(t, 1, 1).routers[0]
			if _, err := p.Run(t.Context(), Placement{candidates, request}, nil, new(answer)); err != nil {
				t.Fatal(err)
			}
			if !slices.Equal(markedSuspect, test.want) {
				t.Fatalf("runs marked as suspect: %v, want %v", markedSuspect, test.want)
			}
		})
	}
}

// lastEvent returns the last event of a run that was completed after a number of tokens or, if
// crashed is true, ended by a crash of its engine.
func lastEvent(crashed bool, tokens int64) *wirepb.RunEvent {
	if !crashed {
		return &wirepb.RunEvent{Event: &wirepb.RunEvent_End{End: &wirepb.RunEnd{Usage: &wirepb.Usage{CompletionTokens: tokens}}}}
	}
	return &wirepb.RunEvent{Event: &wirepb.RunEvent_Refusal{Refusal: &wirepb.Refusal{
		Code: string(refusal.UpstreamLost), Run: wirepb.RunState_RUN_UNKNOWN, Suspect: true,
	}}}
}
