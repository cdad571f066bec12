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
	// maxRedirects bounds the agents that one attempt is passed on to.
	maxRedirects = 4
	// maxKeyedAttempts bounds the attempts to reach the arbiter of a key.
	maxKeyedAttempts = 8
	// arbiterPatience bounds the time in which the arbiter is looked for.
	arbiterPatience = 2 * time.Second
)

// shardName names a shard of idempotency keys.
type shardName struct {
	pool  string
	shard int
}

// callOnce makes a call with an idempotency key. The key's arbiter runs it at
// most once, so that a lost connection to the arbiter is no reason to give up.
// Only the arbiter can know that no request with the key has run: until it has
// answered, the outcome is told as unknown.
func (c *Caller) callOnce(ctx context.Context, set *object.Set, route *object.Route, request *wirepb.CallRequest) *wirepb.CallReply {
	name := shardOf(set, route, request)
	began := time.Now()
	reply := refusedCall(refusal.ShardUnavailable, wirepb.RunState_RUN_UNKNOWN, "no agent of the pool can be asked", route.Pool)
	for number := range maxKeyedAttempts {
		if number > 0 && !c.mayRetryKeyed(ctx, request, began, number) {
			break
		}
		next := c.attemptOnce(ctx, set, route, request, name)
		if next == nil {
			continue
		}
		reply = next
		if !unarbitrated(reply) && !freed(reply) {
			return reply
		}
	}
	if freed(reply) {
		return reply
	}
	reply.Refusal.Run = wirepb.RunState_RUN_UNKNOWN
	if reply.Refusal.RetryAfterMs == 0 {
		refusal.After(reply.Refusal, time.Second)
	}
	return reply
}

// mayRetryKeyed pauses before a numbered retry while there is time and budget.
func (c *Caller) mayRetryKeyed(ctx context.Context, request *wirepb.CallRequest, began time.Time, number int) bool {
	if time.Since(began) > arbiterPatience || !c.customers.Withdraw(request.Customer) {
		return false
	}
	return pause.For(ctx, retry.Backoff(number-1, callRetryBase, callRetryLimit)) == nil
}

// attemptOnce asks the arbiter, following redirects. It returns nil when there
// is no agent to ask.
func (c *Caller) attemptOnce(ctx context.Context, set *object.Set, route *object.Route, request *wirepb.CallRequest, name shardName) *wirepb.CallReply {
	address := c.arbiter(set, route, name)
	if address == "" {
		return nil
	}
	var reply *wirepb.CallReply
	for range maxRedirects {
		reply = c.attempt(ctx, address, request)
		next, redirected := redirect(set, route, reply)
		if !redirected {
			break
		}
		address = next
	}
	if reply.Refusal == nil || !unarbitrated(reply) {
		c.learn(name, address)
	} else {
		c.forget(name)
	}
	return reply
}

// redirect returns the address of the arbiter that a reply names, if it is one
// of the pool's agents.
func redirect(set *object.Set, route *object.Route, reply *wirepb.CallReply) (string, bool) {
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

// unarbitrated reports whether a reply says that the key's arbiter has not answered.
func unarbitrated(reply *wirepb.CallReply) bool {
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

// freed reports whether the arbiter says that the call was not sent because its
// service can't take it now. The key is free again.
func freed(reply *wirepb.CallReply) bool {
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

// arbiter returns the agent to ask first: the one that answered last, else any.
func (c *Caller) arbiter(set *object.Set, route *object.Route, name shardName) string {
	c.mu.Lock()
	known := c.owners[name]
	c.mu.Unlock()
	members := set.PoolMembers(route.Pool)
	for _, upstream := range members {
		if upstream.Address == known {
			return known
		}
	}
	alive := c.alive()
	var live, all []string
	for _, upstream := range members {
		all = append(all, upstream.Address)
		if alive[upstream.Address] {
			live = append(live, upstream.Address)
		}
	}
	if len(live) == 0 {
		live = all
	}
	if len(live) == 0 {
		return ""
	}
	return live[rand.IntN(len(live))]
}

func (c *Caller) learn(name shardName, address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.owners[name] = address
}

func (c *Caller) forget(name shardName) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.owners, name)
}

// shardOf returns the key's shard as far as the router can tell.
func shardOf(set *object.Set, route *object.Route, request *wirepb.CallRequest) shardName {
	id := once.Request{Customer: request.Customer, Key: request.IdempotencyKey}.ID()
	return shardName{pool: route.Pool, shard: once.ShardOf(id, max(1, set.Fleet.IdempotencyShards))}
}
