// Package dispatch carries admitted requests to upstreams: prompts to one of
// several candidates, resumed elsewhere when a stream is lost, and calls to
// plain services.
package dispatch

import (
	"context"
	"math/rand/v2"

	"github.com/greengagegate/greengagegate/internal/object"
	"github.com/greengagegate/greengagegate/internal/refusal"
	"github.com/greengagegate/greengagegate/internal/wire"
	"github.com/greengagegate/greengagegate/internal/wire/wirepb"
	"github.com/greengagegate/greengagegate/membership"
	"github.com/rs/zerolog"
)

// maxCallAttempts bounds the agents that one call is offered to.
const maxCallAttempts = 4

// CallerOptions configure a Caller.
type CallerOptions struct {
	Pool *wire.Pool
	View membership.View
	Log  zerolog.Logger
}

// Caller makes calls on pools of plain services through their agents.
type Caller struct {
	options CallerOptions
}

// NewCaller returns a caller. It has no tasks of its own.
func NewCaller(options CallerOptions) *Caller {
	return &Caller{options: options}
}

// Call makes one call on the route's pool and blocks until its outcome is known
// or ctx ends. The reply is never nil; without an answer its Refusal is set. A
// call that is not idempotent is offered to a further agent only while no agent
// can have passed it on.
func (c *Caller) Call(ctx context.Context, set *object.Set, route *object.Route, request *wirepb.CallRequest) (*wirepb.CallReply, error) {
	reply := refusedCall(refusal.NoUpstream, wirepb.RunState_RUN_NOT_RUN, "no upstream can take the call", "")
	for _, upstream := range c.order(set, route) {
		next := c.attempt(ctx, upstream, request)
		reply = next
		if !retryable(request, next) || ctx.Err() != nil {
			break
		}
	}
	return reply, nil
}

// order returns the upstreams to try, a random one first.
func (c *Caller) order(set *object.Set, route *object.Route) []*object.Upstream {
	var live []*object.Upstream
	for _, upstream := range set.PoolMembers(route.Pool) {
		if !upstream.Leaving {
			live = append(live, upstream)
		}
	}
	rand.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	return live[:min(len(live), maxCallAttempts)]
}

// attempt offers the call to one agent.
func (c *Caller) attempt(ctx context.Context, upstream *object.Upstream, request *wirepb.CallRequest) *wirepb.CallReply {
	stream, err := c.options.Pool.Open(ctx, upstream.Address, wirepb.Kind_KIND_CALL, request.RequestId)
	if err != nil {
		return refusedCall(refusal.AgentUnreachable, wirepb.RunState_RUN_NOT_RUN, err.Error(), upstream.Address)
	}
	defer func() { _ = stream.Close() }()
	if err := stream.Send(request); err != nil {
		return refusedCall(refusal.AgentLost, wirepb.RunState_RUN_UNKNOWN, err.Error(), upstream.Address)
	}
	reply := new(wirepb.CallReply)
	if err := stream.Recv(reply); err != nil {
		return refusedCall(refusal.AgentLost, wirepb.RunState_RUN_UNKNOWN, err.Error(), upstream.Address)
	}
	return reply
}

// retryable reports whether a further agent may be offered the call.
func retryable(request *wirepb.CallRequest, reply *wirepb.CallReply) bool {
	if reply.Refusal == nil {
		return false
	}
	return request.Idempotent || reply.Refusal.Run == wirepb.RunState_RUN_NOT_RUN
}

func refusedCall(code refusal.Code, run wirepb.RunState, message, peer string) *wirepb.CallReply {
	return &wirepb.CallReply{Refusal: refusal.New(code, run, message, "call", peer)}
}
