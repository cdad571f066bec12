package dispatch

import (
	"context"
	"math/rand/v2"
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
	// maxCallAttempts bounds the agents that one call without a key is offered to.
	maxCallAttempts = 4

	callRetryBase  = 20 * time.Millisecond
	callRetryLimit = 500 * time.Millisecond
)

// CallerOptions configure a Caller.
type CallerOptions struct {
	Pool *wire.Pool
	View membership.View
	Log  zerolog.Logger
	// Quarantine knows the contents that crash upstreams; it may be nil.
	Quarantine *quarantine.Manager
}

// Caller makes calls on pools of plain services through their agents.
type Caller struct {
	options   CallerOptions
	customers *retry.Budgets
	upstreams *retry.Budgets

	mu sync.Mutex
	// owners are the agents that last answered for a shard, a hint only.
	owners map[shardName]string
}

// NewCaller returns a caller. It has no tasks of its own.
func NewCaller(options CallerOptions) *Caller {
	return &Caller{
		options:   options,
		customers: retry.NewBudgets("customer"),
		upstreams: retry.NewBudgets("upstream"),
		owners:    make(map[shardName]string),
	}
}

// Call makes one call on the route's pool and blocks until its outcome is known
// or ctx ends. The reply is never nil and the error always is; without an answer
// the reply's Refusal is set. A call that is not idempotent is offered to a
// further agent only while no agent can have passed it on.
func (c *Caller) Call(ctx context.Context, set *object.Set, route *object.Route, request *wirepb.CallRequest) (*wirepb.CallReply, error) {
	c.customers.Deposit(request.Customer)
	digest := callDigest(request)
	reply := c.call(ctx, set, route, request, digest)
	if reply.Refusal == nil && request.Suspect && c.options.Quarantine != nil {
		c.options.Quarantine.Clear(digest)
	}
	return reply, nil
}

func (c *Caller) call(ctx context.Context, set *object.Set, route *object.Route, request *wirepb.CallRequest, digest uint64) *wirepb.CallReply {
	if !request.Idempotent && request.IdempotencyKey != "" {
		reply, _ := c.try(ctx, request, digest, func() *wirepb.CallReply { return c.callOnce(ctx, set, route, request) })
		return reply
	}
	reply := refusedCall(refusal.NoUpstream, wirepb.RunState_RUN_NOT_RUN, "no upstream can take the call", route.Pool)
	for number, upstream := range c.order(set, route) {
		if number > 0 && !c.mayRetry(ctx, request, upstream, number) {
			break
		}
		next, final := c.try(ctx, request, digest, func() *wirepb.CallReply { return c.attempt(ctx, upstream.Address, request) })
		reply = later(reply, next)
		c.upstreams.Deposit(upstream.Name)
		if final || !retryable(request, reply) {
			break
		}
		request.Suspect = request.Suspect || reply.Refusal.Suspect
	}
	return reply
}

// try makes an attempt when the call's content may be run, and learns from it.
// It reports whether the call is given up.
func (c *Caller) try(ctx context.Context, request *wirepb.CallRequest, digest uint64, attempt func() *wirepb.CallReply) (reply *wirepb.CallReply, final bool) {
	permit, refused := c.admit(ctx, request, digest)
	defer permit.Release()
	if refused != nil {
		return refused, true
	}
	reply = attempt()
	return reply, c.learnOf(reply, digest)
}

// mayRetry spends the budgets and pauses before a numbered retry.
func (c *Caller) mayRetry(ctx context.Context, request *wirepb.CallRequest, upstream *object.Upstream, number int) bool {
	if !c.upstreams.Withdraw(upstream.Name) || !c.customers.Withdraw(request.Customer) {
		return false
	}
	return pause.For(ctx, retry.Backoff(number-1, callRetryBase, callRetryLimit)) == nil
}

// order returns the upstreams to try, a random live one first.
func (c *Caller) order(set *object.Set, route *object.Route) []*object.Upstream {
	alive := c.alive()
	var live, silent []*object.Upstream
	for _, upstream := range set.PoolMembers(route.Pool) {
		switch {
		case upstream.Leaving:
		case alive[upstream.Address]:
			live = append(live, upstream)
		default:
			silent = append(silent, upstream)
		}
	}
	rand.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	rand.Shuffle(len(silent), func(i, j int) { silent[i], silent[j] = silent[j], silent[i] })
	order := append(live, silent...)
	return order[:min(len(order), maxCallAttempts)]
}

// alive returns the addresses of members that take work.
func (c *Caller) alive() map[string]bool {
	alive := make(map[string]bool)
	if c.options.View == nil {
		return alive
	}
	for _, member := range c.options.View.Members() {
		alive[member.Address] = member.State == membership.StateAlive
	}
	return alive
}

// attempt offers the call to one agent.
func (c *Caller) attempt(ctx context.Context, address string, request *wirepb.CallRequest) *wirepb.CallReply {
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
	return reply
}

// later returns the newer of two replies. A refusal after an attempt that may
// have run is not told as not run.
func later(before, now *wirepb.CallReply) *wirepb.CallReply {
	if now.Refusal != nil && before.Refusal.Run != wirepb.RunState_RUN_NOT_RUN {
		now.Refusal.Run = before.Refusal.Run
	}
	return now
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
