package dispatch

import (
	"context"

	"github.com/greengagegate/greengagegate/internal/quarantine"
	"github.com/greengagegate/greengagegate/internal/refusal"
	"github.com/greengagegate/greengagegate/internal/wire/wirepb"
)

// callDigest identifies a call's content over its caller's repeats.
func callDigest(request *wirepb.CallRequest) uint64 {
	return quarantine.Digest([]byte("call"), []byte(request.Customer), []byte(request.Method), []byte(request.Path), request.Body)
}

// admit waits until a call may be made and marks a suspect. It refuses a call
// whose content crashed upstreams, or whose time is over.
func (c *Caller) admit(ctx context.Context, request *wirepb.CallRequest, digest uint64) (quarantine.Permit, *wirepb.CallReply) {
	if c.options.Quarantine == nil {
		return quarantine.Permit{}, nil
	}
	permit, err := c.options.Quarantine.Admit(ctx, digest)
	if err != nil {
		return permit, refusedCall(refusal.DeadlineExceeded, unsent(request), err.Error(), "")
	}
	request.Suspect = permit.State == quarantine.StateSuspect
	if permit.State != quarantine.StateConvicted {
		return permit, nil
	}
	reply := refusedCall(refusal.Quarantined, unsent(request), "the request's content crashed upstreams", "")
	refusal.After(reply.Refusal, permit.Remaining)
	return permit, reply
}

// unsent is what is known of a call that was not sent. A keyed call may have
// run before, which only the key's arbiter knows.
func unsent(request *wirepb.CallRequest) wirepb.RunState {
	if !request.Idempotent && request.IdempotencyKey != "" {
		return wirepb.RunState_RUN_UNKNOWN
	}
	return wirepb.RunState_RUN_NOT_RUN
}

// learnOf spreads what a reply shows of its content, and reports whether the
// call is given up.
func (c *Caller) learnOf(reply *wirepb.CallReply, digest uint64) bool {
	known := c.options.Quarantine
	if known == nil || reply.Refusal == nil || !reply.Refusal.Suspect {
		return false
	}
	if refusal.Code(reply.Refusal.Code) != refusal.Poisonous {
		known.Suspect(digest, 0)
		return false
	}
	refusal.After(reply.Refusal, known.Convict(digest))
	return true
}
