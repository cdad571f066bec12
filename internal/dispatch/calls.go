package dispatch

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/greengagegate/greengagegate/internal/object"
	"github.com/greengagegate/greengagegate/internal/pause"
	"github.com/greengagegate/greengagegate/internal/quarantine"
	"github.com/greengagegate/greengagegate/internal/refusal"
	"github.com/greengagegate/greengagegate/internal/retry"
	"github.com/greengagegate/greengagegate/internal/wire"
	"github.com/greengagegate/greengagegate/internal/wire/wirepb"
	"github.com/greengagegate/greengagegate/membership"
	"github.com/rs/zerolog"
)

const (
	// maxCallAttempts bounds the agents that a call without an idempotency key is
	// sent to.
	maxCallAttempts = 4

	// callBackoffBase and callBackoffLimit bound the backoff before a retry, which
	// grows with each retry.
	callBackoffBase  = 20 * time.Millisecond
	callBackoffLimit = 500 * time.Millisecond
)

// CallerOptions configure a Caller.
type CallerOptions struct {
	Pool *wire.Pool
	// View reports which agents are alive. It may be nil; all agents then count as
	// not alive and are asked in random order.
	View membership.View
	Log  zerolog.Logger
	// Quarantine knows the contents that crash upstreams. It may be nil.
	Quarantine *quarantine.Manager
}

// Caller makes calls on pools of plain services through their agents. It is safe
// for concurrent use.
type Caller struct {
	options         CallerOptions
	customerBudgets *retry.Budgets
	upstreamBudgets *retry.Budgets

	mu sync.Mutex
	// owners holds, for each shard of idempotency keys, the address of the agent that
	// last answered as its owner. The shard may have moved since.
	owners map[shardID]string
}

// NewCaller returns a caller. It starts no goroutines.
func NewCaller(options CallerOptions) *Caller {
	return &Caller{
		options:         options,
		customerBudgets: retry.NewBudgets("customer"),
		upstreamBudgets: retry.NewBudgets("upstream"),
		owners:          make(map[shardID]string),
	}
}

// Call makes one call on the route's pool. It blocks until the call is answered
// or refused, or until ctx ends. The reply is never nil and the error is always
// nil; the reply's Refusal is set if the call was not answered. A call that is
// not idempotent is sent to a further agent only while no earlier agent can have
// passed it on to its service. Call may set the request's Suspect field.
func (c *Caller) Call(ctx context.Context, set *object.Set, route *object.Route, request *wirepb.CallRequest) (*wirepb.CallReply, error) {
	c.customerBudgets.Earn(request.Customer)
	digest := callDigest(request)
	reply := c.call(ctx, set, route, request, digest)
	if reply.Refusal == nil && request.Suspect && c.options.Quarantine != nil {
		c.options.Quarantine.Clear(digest)
	}
	return reply, nil
}

func (c *Caller) call(ctx context.Context, set *object.Set, route *object.Route, request *wirepb.CallRequest, digest uint64) *wirepb.CallReply {
	if !request.Idempotent && request.IdempotencyKey != "" {
		reply, _ := c.callAdmitted(ctx, request, digest, func() *wirepb.CallReply { return c.callKeyed(ctx, set, route, request) })
		return reply
	}
	reply := refusedCall(refusal.NoUpstream, wirepb.RunState_RUN_NOT_RUN, "no upstream can take the call", route.Pool)
	for retries, upstream := range c.upstreamOrder(set, route) {
		if retries > 0 && !c.waitToRetry(ctx, request, upstream, retries) {
			break
		}
		next, givenUp := c.callAdmitted(ctx, request, digest, func() *wirepb.CallReply { return c.callAgent(ctx, upstream.Address, request) })
		reply = mergeReply(reply, next)
		c.upstreamBudgets.Earn(upstream.Name)
		if givenUp || !isRetryable(request, reply) {
			break
		}
		request.Suspect = request.Suspect || reply.Refusal.Suspect
	}
	return reply
}

// callAdmitted runs attempt if the quarantine admits the call's content, and
// records in the quarantine what the reply shows about the content. It reports
// whether the call is given up.
func (c *Caller) callAdmitted(ctx context.Context, request *wirepb.CallRequest, digest uint64, attempt func() *wirepb.CallReply) (reply *wirepb.CallReply, givenUp bool) {
	permit, refusedReply := c.admit(ctx, request, digest)
	defer permit.Release()
	if refusedReply != nil {
		return refusedReply, true
	}
	reply = attempt()
	return reply, c.recordReply(reply, digest)
}

// waitToRetry takes a retry from the budgets of the upstream and the customer and
// then blocks for the backoff of the given retry, counted from 1. It returns
// false if a budget is used up or ctx ends.
func (c *Caller) waitToRetry(ctx context.Context, request *wirepb.CallRequest, upstream *object.Upstream, retries int) bool {
	if !c.upstreamBudgets.Spend(upstream.Name) || !c.customerBudgets.Spend(request.Customer) {
		return false
	}
	return pause.For(ctx, retry.Backoff(retries-1, callBackoffBase, callBackoffLimit)) == nil
}

// upstreamOrder returns at most maxCallAttempts upstreams to try: first those whose
// agent is alive and then those whose agent is not, each group in random order. It
// leaves out upstreams that are leaving the pool.
func (c *Caller) upstreamOrder(set *object.Set, route *object.Route) []*object.Upstream {
	isAlive := c.aliveAddresses()
	var alive, notAlive []*object.Upstream
	for _, upstream := range set.PoolMembers(route.Pool) {
		switch {
		case upstream.Leaving:
		case isAlive[upstream.Address]:
			alive = append(alive, upstream)
		default:
			notAlive = append(notAlive, upstream)
		}
	}
	rand.Shuffle(len(alive), func(i, j int) { alive[i], alive[j] = alive[j], alive[i] })
	rand.Shuffle(len(notAlive), func(i, j int) { notAlive[i], notAlive[j] = notAlive[j], notAlive[i] })
	order := append(alive, notAlive...)
	return order[:min(len(order), maxCallAttempts)]
}

// aliveAddresses returns the members' addresses; the value is true if the member
// is alive.
func (c *Caller) aliveAddresses() map[string]bool {
	alive := make(map[string]bool)
	if c.options.View == nil {
		return alive
	}
	for _, member := range c.options.View.Members() {
		alive[member.Address] = member.State == membership.StateAlive
	}
	return alive
}

// callAgent sends the call to one agent and returns its reply, or a refusal if
// the agent did not answer.
func (c *Caller) callAgent(ctx context.Context, address string, request *wirepb.CallRequest) *wirepb.CallReply {
	stream, err := c.options.Pool.Open(ctx, address, wirepb.Kind_KIND_CALL, request.RequestId)
	if err != nil {
		return refusedCall(refusal.AgentUnreachable, wirepb.RunState_RUN_NOT_RUN, err.Error(), address)
	}
	defer func() { _ = stream.Close() }()
	if err := stream.Send(request); err != nil {
		return refusedCall(refusal.AgentLost, wirepb.RunState_RUN_UNKNOWN, err.Error(), address)
	}
	reply := new(wirepb.CallReply)
	if err := stream.Recv(reply); err != nil {
		return refusedCall(refusal.AgentLost, wirepb.RunState_RUN_UNKNOWN, err.Error(), address)
	}
	return checkReply(reply, address)
}

// checkReply returns the reply of an agent, or a refusal in its place if its status is not that of
// a final answer, which a caller cannot be given.
func checkReply(reply *wirepb.CallReply, address string) *wirepb.CallReply {
	if reply.Refusal != nil || reply.Status >= http.StatusOK {
		return reply
	}
	return refusedCall(refusal.AgentLost, wirepb.RunState_RUN_UNKNOWN, fmt.Sprintf("the reply has the status %d", reply.Status), address)
}

// mergeReply returns the reply of the newer attempt. If that is a refusal and an
// earlier attempt may have run, it gets the run state of the earlier one.
func mergeReply(previous, next *wirepb.CallReply) *wirepb.CallReply {
	if next.Refusal != nil && previous.Refusal.Run != wirepb.RunState_RUN_NOT_RUN {
		next.Refusal.Run = previous.Refusal.Run
	}
	return next
}

// isRetryable reports whether the call may be sent to a further agent.
func isRetryable(request *wirepb.CallRequest, reply *wirepb.CallReply) bool {
	if reply.Refusal == nil {
		return false
	}
	return request.Idempotent || reply.Refusal.Run == wirepb.RunState_RUN_NOT_RUN
}

// refusedCall returns a reply that refuses a call. The peer is the address of the
// agent that the call was sent to, the pool if no agent was chosen, or empty.
func refusedCall(code refusal.Code, run wirepb.RunState, message, peer string) *wirepb.CallReply {
	return &wirepb.CallReply{Refusal: refusal.New(code, run, message, "call", peer)}
}
