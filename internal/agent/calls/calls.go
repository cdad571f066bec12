// Package calls is the agent's handler of calls to its plain service. A call
// that is not idempotent is sent to the service at most once; one with an
// idempotency key at most once for all requests with the key.
package calls

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/greengagegate/greengagegate/internal/fault"
	"github.com/greengagegate/greengagegate/internal/object"
	"github.com/greengagegate/greengagegate/internal/pause"
	"github.com/greengagegate/greengagegate/internal/refusal"
	"github.com/greengagegate/greengagegate/internal/retry"
	"github.com/greengagegate/greengagegate/internal/service"
	"github.com/greengagegate/greengagegate/internal/wire"
	"github.com/greengagegate/greengagegate/internal/wire/wirepb"
	"github.com/greengagegate/greengagegate/membership"
	"github.com/greengagegate/greengagegate/once"
	"github.com/greengagegate/greengagegate/store"
	"github.com/rs/zerolog"
	"golang.org/x/sync/semaphore"
)

const (
	// sendTimeout bounds a call that goes on after its caller has left.
	sendTimeout = 60 * time.Second

	// allPlaces is the number of calls that may be at the service at once.
	allPlaces = 4096

	// aloneTimeout bounds the wait of a suspect for the other calls to end.
	aloneTimeout = time.Second

	drainPollInterval = 20 * time.Millisecond
	// handOverTimeout bounds the hand-over of shards at a stop.
	handOverTimeout = 10 * time.Second
)

// Options configure a Manager.
type Options struct {
	// Driver makes the calls.
	Driver service.Driver
	// Store holds the shards of idempotency keys.
	Store store.Store
	// Hosts is the platform's list; without it no shard is taken from a lost host.
	Hosts store.HostLister
	// Pool reaches the other agents.
	Pool *wire.Pool
	// View lists the agents that are alive.
	View membership.View
	// Source gives the pool's upstreams and the retry horizon.
	Source object.Source
	// Upstream is the name of the upstream that the agent stands beside.
	Upstream string
	// Address is the agent's inner address.
	Address string
	Log     zerolog.Logger
}

// Manager serves calls. Handle may run on many goroutines at once.
type Manager struct {
	options  Options
	breaker  retry.Breaker
	places   *semaphore.Weighted
	draining atomic.Bool
	active   atomic.Int64
	keyed    atomic.Pointer[once.Manager]

	cancel context.CancelFunc
	tasks  sync.WaitGroup
}

// New returns a manager that is not started.
func New(options Options) *Manager {
	return &Manager{options: options, places: semaphore.NewWeighted(allPlaces), cancel: func() {}}
}

// Start begins to own shards of idempotency keys as soon as the upstream is in
// the configuration. It does not block.
func (m *Manager) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	m.cancel = cancel
	m.tasks.Go(func() { m.startKeyed(ctx) })
	return nil
}

// Stop refuses new calls and hands the shards over. It blocks until calls in
// flight have ended or ctx ends.
func (m *Manager) Stop(ctx context.Context) error {
	m.cancel()
	m.tasks.Wait()
	m.handOver(ctx)
	m.draining.Store(true)
	for m.active.Load() > 0 {
		if err := pause.For(ctx, drainPollInterval); err != nil {
			return fault.Wrap(err, "finish calls", m.options.Upstream)
		}
	}
	return nil
}

// handOver gives the shards to other agents. While the store is away that
// cannot be done: after a bounded time the shards stay with this host, for the
// agent's next life, as after a crash.
func (m *Manager) handOver(ctx context.Context) {
	keyed := m.keyed.Load()
	if keyed == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	if err := keyed.Stop(ctx); err != nil {
		m.options.Log.Warn().Err(err).Msg("calls: shards were not handed over")
	}
}

// Handle serves KIND_CALL: it receives a CallRequest and sends a CallReply.
func (m *Manager) Handle(ctx context.Context, _ wire.Request, stream *wire.Stream) {
	request := new(wirepb.CallRequest)
	if err := stream.Recv(request); err != nil {
		return
	}
	m.active.Add(1)
	defer m.active.Add(-1)
	if err := stream.Send(m.call(ctx, request)); err != nil {
		m.options.Log.Debug().Err(err).Msg("calls: reply not sent")
	}
}

func (m *Manager) call(ctx context.Context, request *wirepb.CallRequest) *wirepb.CallReply {
	if !request.Idempotent && request.IdempotencyKey != "" {
		return m.callOnce(ctx, request)
	}
	if m.draining.Load() {
		return refused(refusal.Draining, wirepb.RunState_RUN_NOT_RUN, "the agent is stopping", m.options.Upstream)
	}
	if !request.Idempotent {
		// The outcome must get known even when the router leaves.
		detached, cancel := context.WithTimeout(context.WithoutCancel(ctx), sendTimeout)
		defer cancel()
		ctx = detached
	}
	return m.send(ctx, request)
}

// send makes the call on the service, once.
func (m *Manager) send(ctx context.Context, request *wirepb.CallRequest) *wirepb.CallReply {
	if ctx.Err() != nil {
		return refused(refusal.DeadlineExceeded, wirepb.RunState_RUN_NOT_RUN, "the time was over before the call was sent", m.options.Upstream)
	}
	release, err := m.enter(ctx, request)
	if err != nil {
		return refused(refusal.QueueFull, wirepb.RunState_RUN_NOT_RUN, "the service was busy for too long", m.options.Upstream)
	}
	defer release()
	if ok, wait := m.breaker.Allow(); !ok {
		reply := refused(refusal.CircuitOpen, wirepb.RunState_RUN_NOT_RUN, "the service is given time to recover", m.options.Upstream)
		refusal.After(reply.Refusal, wait)
		return reply
	}
	answer, err := m.options.Driver.Do(ctx, service.Call{
		RequestID: request.RequestId,
		Method:    request.Method,
		Path:      request.Path,
		Header:    header(request.Headers),
		Body:      request.Body,
	})
	m.judge(ctx, err)
	switch {
	case err == nil:
		return &wirepb.CallReply{Status: int32(answer.Status), Headers: lines(answer.Header), Body: answer.Body}
	case errors.Is(err, service.ErrNotSent):
		return refused(refusal.UpstreamUnreachable, wirepb.RunState_RUN_NOT_RUN, err.Error(), m.options.Upstream)
	default:
		return m.lost(ctx, request, err)
	}
}

// enter waits for a place at the service. A suspect waits until it is alone there.
func (m *Manager) enter(ctx context.Context, request *wirepb.CallRequest) (release func(), err error) {
	weight := int64(1)
	if request.Suspect {
		weight = allPlaces
		alone, cancel := context.WithTimeout(ctx, aloneTimeout)
		defer cancel()
		ctx = alone
	}
	if err := m.places.Acquire(ctx, weight); err != nil {
		return nil, err
	}
	return func() { m.places.Release(weight) }, nil
}

// lost explains a call whose answer was lost. The request becomes suspect of
// having crashed the service; one that was suspect and alone is given up.
func (m *Manager) lost(ctx context.Context, request *wirepb.CallRequest, err error) *wirepb.CallReply {
	reply := refused(refusal.UpstreamLost, wirepb.RunState_RUN_UNKNOWN, err.Error(), m.options.Upstream)
	if ctx.Err() != nil {
		return reply
	}
	reply.Refusal.Suspect = true
	if request.Suspect {
		reply.Refusal.Code = string(refusal.Poisonous)
	}
	return reply
}

// judge tells the breaker what an attempt says of the service.
func (m *Manager) judge(ctx context.Context, err error) {
	switch {
	case err == nil:
		m.breaker.Success()
	case ctx.Err() != nil:
		m.breaker.Abandon()
	default:
		m.breaker.Failure()
	}
}

func refused(code refusal.Code, run wirepb.RunState, message, peer string) *wirepb.CallReply {
	return &wirepb.CallReply{Refusal: refusal.New(code, run, message, "call", peer)}
}

func header(lines []*wirepb.Header) http.Header {
	h := make(http.Header, len(lines))
	for _, line := range lines {
		h.Add(line.Name, line.Value)
	}
	return h
}

func lines(h http.Header) []*wirepb.Header {
	var out []*wirepb.Header
	for name, values := range h {
		for _, value := range values {
			out = append(out, &wirepb.Header{Name: name, Value: value})
		}
	}
	return out
}

// Halt ends the manager's tasks without a hand-over, as a crash does.
func (m *Manager) Halt() {
	m.cancel()
	m.tasks.Wait()
	if keyed := m.keyed.Load(); keyed != nil {
		keyed.Halt()
	}
}
