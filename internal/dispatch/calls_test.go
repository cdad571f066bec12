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
