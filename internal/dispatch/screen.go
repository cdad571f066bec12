package dispatch

import (
	"github.com/greengagegate/greengagegate/internal/quarantine"
	"github.com/greengagegate/greengagegate/internal/refusal"
	"github.com/greengagegate/greengagegate/internal/wire/wirepb"
)

// callDigest identifies a call's content over its caller's repeats.
func callDigest(request *wirepb.CallRequest) uint64 {
	return quarantine.Digest([]byte("call"), []byte(request.Customer), []byte(request.Method), []byte(request.Path), request.Body)
}

// screen refuses a call whose content crashed upstreams, and marks a suspect. A
// keyed call may have run before, which only the key's arbiter knows.
func (c *Caller) screen(request *wirepb.CallRequest, digest uint64) *wirepb.CallReply {
	if c.options.Quarantine == nil {
		return nil
	}
	state, left := c.options.Quarantine.Lookup(digest)
	request.Suspect = state == quarantine.StateSuspect
	if state != quarantine.StateConvicted {
		return nil
	}
	run := wirepb.RunState_RUN_NOT_RUN
	if !request.Idempotent && request.IdempotencyKey != "" {
		run = wirepb.RunState_RUN_UNKNOWN
	}
	reply := refusedCall(refusal.Quarantined, run, "the request's content crashed upstreams", "")
	refusal.After(reply.Refusal, left)
	return reply
}

// learnOf spreads what a reply shows of its content, and reports whether the
// call is given up.
func (c *Caller) learnOf(reply *wirepb.CallReply, digest uint64) bool {
	known := c.options.Quarantine
	if known == nil || reply.Refusal == nil || !reply.Refusal.Suspect {
		return false
	}
	if refusal.Code(reply.Refusal.Code) != refusal.Poisonous {
		known.Suspect(digest)
		return false
	}
	refusal.After(reply.Refusal, known.Convict(digest))
	return true
}
