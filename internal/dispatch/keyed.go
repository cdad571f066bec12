package dispatch

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/greengagegate/greengagegate/internal/object"
	"github.com/greengagegate/greengagegate/internal/pause"
	"github.com/greengagegate/greengagegate/internal/refusal"
	"github.com/greengagegate/greengagegate/internal/retry"
	"github.com/greengagegate/greengagegate/internal/wire/wirepb"
	"github.com/greengagegate/greengagegate/once"
)

const (
	// maxAgentsPerAttempt bounds the agents that are asked in one attempt: the first
	// one and those that the call is redirected to.
	maxAgentsPerAttempt = 4
	// maxKeyedAttempts bounds the attempts to get an answer from a key's arbiter.
	maxKeyedAttempts = 8
	// arbiterRetryPeriod is the time from the start of callKeyed after which no
	// further attempt to reach the arbiter begins.
	arbiterRetryPeriod = 2 * time.Second
)

// shardID identifies a shard of idempotency keys. The agent that owns a shard is
// the arbiter of the shard's keys.
type shardID struct {
	pool  string
	shard int
}

// callKeyed makes a call with an idempotency key. The key's arbiter runs the call
// at most once, so the call may be sent again after the connection to the arbiter
// was lost. If no attempt gets a decision of the arbiter, the refusal's run state
// is RUN_UNKNOWN, because only the arbiter knows whether a request with the key has
// run. If the arbiter released the key without sending the call, callKeyed tries
// again too; the refusal of the last attempt then keeps the state RUN_NOT_RUN.
func (c *Caller) callKeyed(ctx context.Context, set *object.Set, route *object.Route, request *wirepb.CallRequest) *wirepb.CallReply {
	shard := shardOf(set, route, request)
	start := time.Now()
	reply := refusedCall(refusal.ShardUnavailable, wirepb.RunState_RUN_UNKNOWN, "no agent of the pool can be asked", route.Pool)
	for retries := range maxKeyedAttempts {
		if retries > 0 && !c.waitToRetryKeyed(ctx, request, start, retries) {
			break
		}
		next := c.callArbiter(ctx, set, route, request, shard)
		if next == nil {
			continue
		}
		reply = next
		if !isUnarbitrated(reply) && !isKeyReleased(reply) {
			return reply
		}
	}
	if isKeyReleased(reply) {
		return reply
	}
	reply.Refusal.Run = wirepb.RunState_RUN_UNKNOWN
	if reply.Refusal.RetryAfterMs == 0 {
		refusal.WithRetryAfter(reply.Refusal, time.Second)
	}
	return reply
}

// waitToRetryKeyed takes a retry from the customer's budget and then blocks for
// the backoff of the given retry, counted from 1. It returns false if
// arbiterRetryPeriod has passed since start, the budget is used up or ctx ends.
func (c *Caller) waitToRetryKeyed(ctx context.Context, request *wirepb.CallRequest, start time.Time, retries int) bool {
	if time.Since(start) > arbiterRetryPeriod || !c.customerBudgets.Spend(request.Customer) {
		return false
	}
	return pause.For(ctx, retry.Backoff(retries-1, callBackoffBase, callBackoffLimit)) == nil
}

// callArbiter sends the call to the known owner of the shard or to a random agent,
// follows at most maxAgentsPerAttempt-1 redirects to the arbiter, and updates the
// known owner. It returns nil if the pool has no agent.
func (c *Caller) callArbiter(ctx context.Context, set *object.Set, route *object.Route, request *wirepb.CallRequest, shard shardID) *wirepb.CallReply {
	address := c.firstAddress(set, route, shard)
	if address == "" {
		return nil
	}
	var reply *wirepb.CallReply
	for range maxAgentsPerAttempt {
		reply = c.callAgent(ctx, address, request)
		next, redirected := redirectAddress(set, route, reply)
		if !redirected {
			break
		}
		address = next
	}
	if reply.Refusal == nil || !isUnarbitrated(reply) {
		c.setOwner(shard, address)
	} else {
		c.forgetOwner(shard)
	}
	return reply
}

// redirectAddress returns the address of the arbiter that a reply redirects to.
// It returns false if the reply is no redirect to an agent of the pool.
func redirectAddress(set *object.Set, route *object.Route, reply *wirepb.CallReply) (string, bool) {
	if reply.Refusal == nil || refusal.Code(reply.Refusal.Code) != refusal.NotOwner {
		return "", false
	}
	for _, upstream := range set.PoolMembers(route.Pool) {
		if upstream.Address == reply.Refusal.Peer {
			return upstream.Address, true
		}
	}
	return "", false
}

// isUnarbitrated reports whether a reply is no decision of the key's arbiter: the
// agent did not answer, is not the arbiter, or could not decide.
func isUnarbitrated(reply *wirepb.CallReply) bool {
	if reply.Refusal == nil {
		return false
	}
	switch refusal.Code(reply.Refusal.Code) {
	case refusal.AgentUnreachable, refusal.AgentLost, refusal.NotOwner, refusal.ShardUnavailable:
		return true
	default:
		return false
	}
}

// isKeyReleased reports whether the arbiter answered that it did not send the
// call, because its service can't take it now, and released the key.
func isKeyReleased(reply *wirepb.CallReply) bool {
	if reply.Refusal == nil || reply.Refusal.Run != wirepb.RunState_RUN_NOT_RUN {
		return false
	}
	switch refusal.Code(reply.Refusal.Code) {
	case refusal.UpstreamUnreachable, refusal.CircuitOpen, refusal.QueueFull:
		return true
	default:
		return false
	}
}

// firstAddress returns the address of the agent to ask first: the known owner
// of the shard, else a random alive agent of the pool, else a random agent of the
// pool. It returns "" if the pool has no agent.
func (c *Caller) firstAddress(set *object.Set, route *object.Route, shard shardID) string {
	c.mu.Lock()
	owner := c.owners[shard]
	c.mu.Unlock()
	members := set.PoolMembers(route.Pool)
	for _, upstream := range members {
		if upstream.Address == owner {
			return owner
		}
	}
	isAlive := c.aliveAddresses()
	var choices, all []string
	for _, upstream := range members {
		all = append(all, upstream.Address)
		if isAlive[upstream.Address] {
			choices = append(choices, upstream.Address)
		}
	}
	if len(choices) == 0 {
		choices = all
	}
	if len(choices) == 0 {
		return ""
	}
	return choices[rand.IntN(len(choices))]
}

func (c *Caller) setOwner(shard shardID, address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.owners[shard] = address
}

func (c *Caller) forgetOwner(shard shardID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.owners, shard)
}

// shardOf returns the shard of the request's key, by the number of shards in the
// router's settings. Agents may use another number for a short time.
func shardOf(set *object.Set, route *object.Route, request *wirepb.CallRequest) shardID {
	id := once.Request{Customer: request.Customer, Key: request.IdempotencyKey}.ID()
	return shardID{pool: route.Pool, shard: once.ShardOf(id, max(1, set.Fleet.IdempotencyShards))}
}
