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
	// unhealthyAfter is how long the service fails before its agent gives shards away.
	unhealthyAfter = 3 * time.Second

	defaultShards  = 12
	defaultHorizon = 10 * time.Minute
)

// startKeyed waits for the configuration and begins to own shards.
func (m *Manager) startKeyed(ctx context.Context) {
	for {
		if upstream := m.upstream(); upstream != nil {
			m.beginKeyed(upstream)
			return
		}
		if pause.For(ctx, configPollInterval) != nil {
			return
		}
	}
}

func (m *Manager) upstream() *object.Upstream {
	set := m.options.Source.Current()
	if set == nil {
		return nil
	}
	return set.Upstreams[m.options.Upstream]
}

func (m *Manager) beginKeyed(upstream *object.Upstream) {
	self := m.options.View.Self()
	pool := upstream.Pool
	keyed := once.NewManager(once.Options{
		Store:     m.options.Store,
		Transport: &transport{pool: m.options.Pool, name: pool},
		Hosts:     m.options.Hosts,
		Pool:      pool,
		Self:      once.Peer{Process: self.Process, Address: m.options.Address, Incarnation: self.Incarnation},
		Peers:     func() []once.Peer { return m.peers(pool) },
		Shards:    m.shards,
		Horizon:   m.horizon,
		Healthy:   func() bool { return m.breaker.OpenFor() < unhealthyAfter },
		Log:       m.options.Log,
	})
	m.keyed.Store(keyed)
	keyed.Start()
}

func (m *Manager) shards() int {
	if set := m.options.Source.Current(); set != nil && set.Fleet.IdempotencyShards > 0 {
		return set.Fleet.IdempotencyShards
	}
	return defaultShards
}

func (m *Manager) horizon() time.Duration {
	if set := m.options.Source.Current(); set != nil && set.Fleet.RetryHorizon > 0 {
		return time.Duration(set.Fleet.RetryHorizon)
	}
	return defaultHorizon
}

// peers returns the live agents beside upstreams of the pool.
func (m *Manager) peers(pool string) []once.Peer {
	set := m.options.Source.Current()
	if set == nil {
		return nil
	}
	staying := make(map[string]bool)
	for _, upstream := range set.PoolMembers(pool) {
		staying[upstream.Address] = !upstream.Leaving
	}
	var peers []once.Peer
	for _, member := range m.options.View.Members() {
		if !staying[member.Address] || member.State == membership.StateLeaving || member.State == membership.StateDead {
			continue
		}
		peers = append(peers, once.Peer{Process: member.Process, Address: member.Address, Incarnation: member.Incarnation})
	}
	return peers
}

// callOnce runs a call with an idempotency key, or says who arbitrates the key.
func (m *Manager) callOnce(ctx context.Context, request *wirepb.CallRequest) *wirepb.CallReply {
	keyed := m.keyed.Load()
	if keyed == nil {
		return m.refuseOnce(&once.Error{Reason: once.ReasonUnavailable, RetryAfter: configPollInterval})
	}
	result, err := keyed.Do(ctx, onceRequest(request), func() once.Outcome { return m.execute(ctx, request) })
	if err != nil {
		return m.refuseOnce(err)
	}
	reply := new(wirepb.CallReply)
	if err := proto.Unmarshal(result.Answer, reply); err != nil {
		return refused(refusal.KeyAnswerLost, wirepb.RunState_RUN_RAN, err.Error(), m.options.Upstream)
	}
	reply.Replayed = result.Replayed
	return reply
}

// onceRequest covers what the service's answer may depend on. Headers are left
// out: they differ between repeats by the same caller.
func onceRequest(request *wirepb.CallRequest) once.Request {
	return once.Request{
		Customer: request.Customer,
		Key:      request.IdempotencyKey,
		Digest:   once.Sum([]byte(request.Method), []byte(request.Path), request.Body),
	}
}

// execute makes the call for a key. Once sent it goes on without its caller.
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

var codes = map[once.Reason]refusal.Code{
	once.ReasonNotOwner:    refusal.NotOwner,
	once.ReasonUnavailable: refusal.ShardUnavailable,
	once.ReasonConflict:    refusal.KeyConflict,
	once.ReasonRunning:     refusal.KeyRunning,
	once.ReasonLost:        refusal.KeyOutcomeUnknown,
	once.ReasonAnswerLost:  refusal.KeyAnswerLost,
	once.ReasonInDoubt:     refusal.ShardInDoubt,
	once.ReasonFull:        refusal.ShardFull,
	once.ReasonNotRun:      refusal.DeadlineExceeded,
}

var runStates = map[once.State]wirepb.RunState{
	once.StateUnknown: wirepb.RunState_RUN_UNKNOWN,
	once.StateNotRun:  wirepb.RunState_RUN_NOT_RUN,
	once.StateRan:     wirepb.RunState_RUN_RAN,
}

// refuseOnce turns an error of once into a reply. The execution's own refusal is
// passed on when it says why the call did not run.
func (m *Manager) refuseOnce(err error) *wirepb.CallReply {
	var failed *once.Error
	if !errors.As(err, &failed) {
		return refused(refusal.ShardUnavailable, wirepb.RunState_RUN_UNKNOWN, err.Error(), m.options.Upstream)
	}
	cause := new(wirepb.CallReply)
	if len(failed.Cause) > 0 && proto.Unmarshal(failed.Cause, cause) == nil && cause.Refusal != nil {
		return cause
	}
	reply := refused(codes[failed.Reason], runStates[failed.State()], failed.Error(), m.options.Upstream)
	if failed.Reason == once.ReasonNotOwner {
		reply.Refusal.Peer = failed.Owner.Address
	}
	if failed.RetryAfter > 0 {
		refusal.After(reply.Refusal, failed.RetryAfter)
	}
	return reply
}
