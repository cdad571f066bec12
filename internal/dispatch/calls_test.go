package dispatch

import (
	"testing"

	"github.com/greengagegate/greengagegate/internal/refusal"
	"github.com/greengagegate/greengagegate/internal/wire/wirepb"
)

// TestRetryable guards against a retry of a call that was answered, or that is not
// idempotent and may have run.
func TestRetryable(t *testing.T) {
	refusedWith := func(run wirepb.RunState) *wirepb.CallReply {
		return refusedCall(refusal.AgentLost, run, "", "")
	}
	cases := []struct {
		name       string
		idempotent bool
		reply      *wirepb.CallReply
		want       bool
	}{
		{"answered", true, &wirepb.CallReply{Status: 200}, false},
		{"idempotent, unknown", true, refusedWith(wirepb.RunState_RUN_UNKNOWN), true},
		{"not idempotent, not run", false, refusedWith(wirepb.RunState_RUN_NOT_RUN), true},
		{"not idempotent, unknown", false, refusedWith(wirepb.RunState_RUN_UNKNOWN), false},
		{"not idempotent, ran", false, refusedWith(wirepb.RunState_RUN_RAN), false},
	}
	for _, c := range cases {
		request := &wirepb.CallRequest{Idempotent: c.idempotent}
		if got := isRetryable(request, c.reply); got != c.want {
			t.Errorf("%s: got %v, want %v", c.name, got, c.want)
		}
	}
}

// Guards against a reply of an agent with an impossible status that is given to the caller (MIXED).
func TestReplyWithImpossibleStatusIsRefused(t *testing.T) {
	for _, status := range []int32{-1, 0, 20, 99, 101, 199} {
		reply := checkReply(&wirepb.CallReply{Status: status, Body: []byte("body")}, "agent")
		if reply.Refusal == nil || reply.Refusal.Run != wirepb.RunState_RUN_UNKNOWN || len(reply.Body) > 0 {
			t.Errorf("status %d: got %v, want a refusal of which it is unknown whether it ran", status, reply)
		}
	}
	refused := refusedCall(refusal.QueueFull, wirepb.RunState_RUN_NOT_RUN, "", "")
	for _, reply := range []*wirepb.CallReply{refused, {Status: 200}, {Status: 599}, {Status: 999}} {
		if got := checkReply(reply, "agent"); got != reply {
			t.Errorf("got %v, want %v unchanged", got, reply)
		}
	}
}
