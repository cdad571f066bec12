package calls

import (
	"context"
	"errors"
	"time"

	"github.com/greengagegate/greengagegate/internal/object"
	"github.com/greengagegate/greengagegate/internal/pause"
	"github.com/greengagegate/greengagegate/internal/refusal"
	"github.com/greengagegate/greengagegate/internal/wire/wirepb"
	"github.com/greengagegate/greengagegate/membership"
	"github.com/greengagegate/greengagegate/once"
	"google.golang.org/protobuf/proto"
)

const (
	configPollInterval = 50 * time.Millisecond
	// unhealthyTimeout is how long the circuit breaker is open before the agent hands
	// over its shards.
	unhealthyTimeout = 3 * time.Second

	defaultShardCount = 12
	// defaultHorizon is the default retention time of idempotency keys.
	defaultHorizon = 10 * time.Minute
)

// startIdempotencyWhenConfigured waits until the upstream is in the configuration
// and then begins to acquire shards. It returns early when ctx ends.
func (m *Manager) startIdempotencyWhenConfigured(ctx context.Context) {
	for {
		if upstream := m.upstream(); upstream != nil {
			m.startIdempotency(upstream)
			return
		}
		if pause.For(ctx, configPollInterval) != nil {
			return
		}
	}
}

// upstream returns the configuration of the agent's upstream, or nil if it is not
// in the configuration.
func (m *Manager) upstream() *object.Upstream {
	set := m.options.Source.Current()
	if set == nil {
		return nil
	}
	return set.Upstreams[m.options.Upstream]
}

// startIdempotency creates and starts the manager of idempotency keys for the
// upstream's pool.
func (m *Manager) startIdempotency(upstream *object.Upstream) {
	self := m.options.View.Self()
	pool := upstream.Pool
	idempotency := once.NewManager(once.Options{
		Store:     m.options.Store,
		Transport: &transport{sessions: m.options.Pool, poolName: pool},
		Hosts:     m.options.Hosts,
		Pool:      pool,
		Self:      once.Peer{Process: self.Process, Address: m.options.Address, Incarnation: self.Incarnation},
		Peers:     func() []once.Peer { return m.peers(pool) },
		Shards:    m.shardCount,
		Horizon:   m.horizon,
		Healthy:   func() bool { return m.breaker.OpenFor() < unhealthyTimeout },
		Log:       m.options.Log,
	})
	m.idempotency.Store(idempotency)
	idempotency.Start()
}

// shardCount returns the configured number of shards, or defaultShardCount.
func (m *Manager) shardCount() int {
	if set := m.options.Source.Current(); set != nil && set.Fleet.IdempotencyShards > 0 {
		return set.Fleet.IdempotencyShards
	}
	return defaultShardCount
}

// horizon returns the retention time of idempotency keys: the configured retry
// horizon, or defaultHorizon.
func (m *Manager) horizon() time.Duration {
	if set := m.options.Source.Current(); set != nil && set.Fleet.RetryHorizon > 0 {
		return time.Duration(set.Fleet.RetryHorizon)
	}
	return defaultHorizon
}

// peers returns the agents of the pool's upstreams that are in the membership. It omits
// agents whose upstream is leaving the pool, and agents that the membership lists as
// leaving or dead.
func (m *Manager) peers(pool string) []once.Peer {
	set := m.options.Source.Current()
	if set == nil {
		return nil
	}
	eligible := make(map[string]bool)
	for _, upstream := range set.PoolMembers(pool) {
		eligible[upstream.Address] = !upstream.Leaving
	}
	var peers []once.Peer
	for _, member := range m.options.View.Members() {
		if !eligible[member.Address] || member.State == membership.StateLeaving || member.State == membership.StateDead {
			continue
		}
		peers = append(peers, once.Peer{Process: member.Process, Address: member.Address, Incarnation: member.Incarnation})
	}
	return peers
}

// callWithKey runs a call with an idempotency key at most once. If another agent
// owns the key's shard, the refusal names that agent.
func (m *Manager) callWithKey(ctx context.Context, request *wirepb.CallRequest) *wirepb.CallReply {
	idempotency := m.idempotency.Load()
	if idempotency == nil {
		return m.onceErrorReply(&once.Error{Reason: once.ReasonUnavailable, RetryAfter: configPollInterval})
	}
	result, err := idempotency.Do(ctx, onceRequest(request), func() once.Outcome { return m.execute(ctx, request) })
	if err != nil {
		return m.onceErrorReply(err)
	}
	reply := new(wirepb.CallReply)
	if err := proto.Unmarshal(result.Answer, reply); err != nil {
		return refusalReply(refusal.KeyAnswerLost, wirepb.RunState_RUN_RAN, err.Error(), m.options.Upstream)
	}
	reply.Replayed = result.Replayed
	return reply
}

// onceRequest returns the request for package once. The digest covers what the
// service's answer may depend on, except for headers, because they differ between
// retries by the same caller.
func onceRequest(request *wirepb.CallRequest) once.Request {
	return once.Request{
		Customer: request.Customer,
		Key:      request.IdempotencyKey,
		Digest:   once.ContentDigest([]byte(request.Method), []byte(request.Path), request.Body),
	}
}

// execute sends the call for a key. The call continues after its caller has
// disconnected, for at most sendTimeout.
func (m *Manager) execute(ctx context.Context, request *wirepb.CallRequest) once.Outcome {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), sendTimeout)
	defer cancel()
	reply := m.send(ctx, request)
	answer, err := proto.Marshal(reply)
	if err != nil {
		return once.Outcome{State: once.StateUnknown}
	}
	switch {
	case reply.Refusal == nil:
		return once.Outcome{State: once.StateRan, Answer: answer}
	case reply.Refusal.Run == wirepb.RunState_RUN_NOT_RUN:
		return once.Outcome{State: once.StateNotRun, Answer: answer}
	default:
		return once.Outcome{State: once.StateUnknown, Answer: answer}
	}
}

// refusalCodes maps the reasons of package once to refusal codes.
var refusalCodes = map[once.Reason]refusal.Code{
	once.ReasonNotOwner:       refusal.NotOwner,
	once.ReasonUnavailable:    refusal.ShardUnavailable,
	once.ReasonConflict:       refusal.KeyConflict,
	once.ReasonRunning:        refusal.KeyRunning,
	once.ReasonOutcomeUnknown: refusal.KeyOutcomeUnknown,
	once.ReasonAnswerLost:     refusal.KeyAnswerLost,
	once.ReasonInDoubt:        refusal.ShardInDoubt,
	once.ReasonFull:           refusal.ShardFull,
	once.ReasonNotRun:         refusal.DeadlineExceeded,
}

// runStates maps the execution states of package once to run states on the wire.
var runStates = map[once.State]wirepb.RunState{
	once.StateUnknown: wirepb.RunState_RUN_UNKNOWN,
	once.StateNotRun:  wirepb.RunState_RUN_NOT_RUN,
	once.StateRan:     wirepb.RunState_RUN_RAN,
}

// onceErrorReply converts an error of package once to a refusal. If the execution
// itself was refused, it returns that refusal.
func (m *Manager) onceErrorReply(err error) *wirepb.CallReply {
	var onceErr *once.Error
	if !errors.As(err, &onceErr) {
		return refusalReply(refusal.ShardUnavailable, wirepb.RunState_RUN_UNKNOWN, err.Error(), m.options.Upstream)
	}
	cause := new(wirepb.CallReply)
	if len(onceErr.Cause) > 0 && proto.Unmarshal(onceErr.Cause, cause) == nil && cause.Refusal != nil {
		return cause
	}
	reply := refusalReply(refusalCodes[onceErr.Reason], runStates[onceErr.State()], onceErr.Error(), m.options.Upstream)
	if onceErr.Reason == once.ReasonNotOwner {
		reply.Refusal.Peer = onceErr.Owner.Address
	}
	if onceErr.RetryAfter > 0 {
		refusal.WithRetryAfter(reply.Refusal, onceErr.RetryAfter)
	}
	return reply
}
