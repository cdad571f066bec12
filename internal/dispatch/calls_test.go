package dispatch

import (
	"testing"

	"github.com/greengagegate/greengagegate/internal/refusal"
	"github.com/greengagegate/greengagegate/internal/wire/wirepb"
)

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
		{"charge, not run", false, refusedWith(wirepb.RunState_RUN_NOT_RUN), true},
		{"charge, unknown", false, refusedWith(wirepb.RunState_RUN_UNKNOWN), false},
		{"charge, ran", false, refusedWith(wirepb.RunState_RUN_RAN), false},
	}
	for _, c := range cases {
		request := &wirepb.CallRequest{Idempotent: c.idempotent}
		if got := retryable(request, c.reply); got != c.want {
			t.Errorf("%s: got %v, want %v", c.name, got, c.want)
		}
	}
}
