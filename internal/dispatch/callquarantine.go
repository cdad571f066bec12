package dispatch

import (
	"context"

	"github.com/greengagegate/greengagegate/internal/quarantine"
	"github.com/greengagegate/greengagegate/internal/refusal"
	"github.com/greengagegate/greengagegate/internal/wire/wirepb"
)

// callDigest returns the digest of a call's content. It is the same for all
// repeats of the call. The first part keeps calls apart from prompts, which use
// the same quarantine.
func callDigest(request *wirepb.CallRequest) uint64 {
	return quarantine.Digest([]byte("call"), []byte(request.Customer), []byte(request.Method), []byte(request.Path), request.Body)
}

// admit blocks until the call may be made, and marks the request if its content
// is suspect. It returns a refusal if the content is convicted or ctx ends. If there
// is no refusal, the permit must be released; otherwise Release has no effect.
func (c *Caller) admit(ctx context.Context, request *wirepb.CallRequest, digest uint64) (quarantine.Permit, *wirepb.CallReply) {
	if c.options.Quarantine == nil {
		return quarantine.Permit{}, nil
	}
	permit, err := c.options.Quarantine.Admit(ctx, digest)
	if err != nil {
		return permit, refusedCall(refusal.DeadlineExceeded, unsentRunState(request), err.Error(), "")
	}
	request.Suspect = permit.State == quarantine.StateSuspect
	if permit.State != quarantine.StateConvicted {
		return permit, nil
	}
	reply := refusedCall(refusal.Quarantined, unsentRunState(request), "the request's content crashed upstreams", "")
	refusal.WithRetryAfter(reply.Refusal, permit.Remaining)
	return permit, reply
}

// unsentRunState returns the run state of a call that was not sent in this attempt. A
// call with an idempotency key may have run before, which only the key's arbiter
// knows.
func unsentRunState(request *wirepb.CallRequest) wirepb.RunState {
	if !request.Idempotent && request.IdempotencyKey != "" {
		return wirepb.RunState_RUN_UNKNOWN
	}
	return wirepb.RunState_RUN_NOT_RUN
}

// recordReply makes the content suspect or convicts it if the reply shows a
// crash. It reports whether it convicted the content; the call is then given up.
func (c *Caller) recordReply(reply *wirepb.CallReply, digest uint64) bool {
	manager := c.options.Quarantine
	if manager == nil || reply.Refusal == nil || !reply.Refusal.Suspect {
		return false
	}
	if refusal.Code(reply.Refusal.Code) != refusal.Poisonous {
		manager.Suspect(digest, 0)
		return false
	}
	refusal.WithRetryAfter(reply.Refusal, manager.Convict(digest))
	return true
}
