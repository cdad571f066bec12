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

// TestRequestsBecomeSuspectWithTheFirstCrash runs a prompt on engines that crash
// after some tokens each, and looks at which runs are suspect.
func TestRequestsBecomeSuspectWithTheFirstCrash(t *testing.T) {
	for _, test := range []struct {
		name   string
		tokens []int64 // given before each crash
		want   []bool  // whether each run, the last one included, is suspect
	}{
		{"none before the first crash", []int64{0}, []bool{false, true}},
		{"some before the first crash", []int64{3}, []bool{false, true}},
		{"some before both crashes", []int64{3, 2}, []bool{false, true, true}},
	} {
		t.Run(test.name, func(t *testing.T) {
			var suspect []bool
			var candidates []picker.Candidate
			for i := range len(test.tokens) + 1 {
				crashes := i < len(test.tokens)
				tokens := int64(1)
				if crashes {
					tokens = test.tokens[i]
				}
				address := serve(t, func(s *wire.Server) {
					s.Handle(wirepb.Kind_KIND_RUN, func(_ context.Context, _ wire.Request, stream *wire.Stream) {
						request := new(wirepb.RunRequest)
						if stream.Recv(request) != nil {
							return
						}
						suspect = append(suspect, request.Suspect)
						if tokens > 0 {
							_ = stream.Send(&wirepb.RunEvent{Event: &wirepb.RunEvent_Tokens{Tokens: &wirepb.RunTokens{Offset: request.ResumeOffset, Count: tokens}}})
						}
						_ = stream.Send(ending(crashes))
					})
				})
				candidates = append(candidates, picker.Candidate{Upstream: &object.Upstream{Name: fmt.Sprint(i), Address: address}})
			}
			request := &wirepb.RunRequest{RequestId: "r", Digest: 11, MaxTokens: 10}
			p := newPromptFleet(t, 1, 1).routers[0]
			if _, err := p.Run(t.Context(), Placement{candidates, request}, nil, new(text)); err != nil {
				t.Fatal(err)
			}
			if !slices.Equal(suspect, test.want) {
				t.Fatalf("suspect runs %v, want %v", suspect, test.want)
			}
		})
	}
}

// ending is the last event of a run.
func ending(crashed bool) *wirepb.RunEvent {
	if !crashed {
		return &wirepb.RunEvent{Event: &wirepb.RunEvent_End{End: &wirepb.RunEnd{}}}
	}
	return &wirepb.RunEvent{Event: &wirepb.RunEvent_Refusal{Refusal: &wirepb.Refusal{
		Code: string(refusal.UpstreamLost), Run: wirepb.RunState_RUN_UNKNOWN, Suspect: true,
	}}}
}
