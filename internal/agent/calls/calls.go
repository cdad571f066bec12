// Package calls implements the agent's handler for calls to its plain service. A
// CallRequest is sent to the service at most once. A call that is not idempotent and has
// an idempotency key is executed at most once for all CallRequests with the key.
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
	// sendTimeout limits each call that is not idempotent, in place of the caller's
	// deadline, because such a call continues after its caller has disconnected.
	sendTimeout = 60 * time.Second

	// maxConcurrentCalls is the maximum number of concurrent calls to the service.
	maxConcurrentCalls = 4096

	// exclusiveTimeout limits how long a suspect waits for the other calls to end.
	exclusiveTimeout = time.Second

	drainPollInterval = 20 * time.Millisecond
	// handOverTimeout limits the handover of shards when the agent stops.
	handOverTimeout = 10 * time.Second
)

// Options configures a Manager.
type Options struct {
	// Driver sends the calls to the service.
	Driver service.Driver
	// Store holds the shards of idempotency keys.
	Store store.Store
	// Hosts lists the platform's hosts. Without it, shards of a lost host are not
	// taken over.
	Hosts store.HostLister
	// Pool holds the sessions to the other agents.
	Pool *wire.Pool
	// View lists the agents that are alive.
	View membership.View
	// Source provides the configuration: the pool's upstreams, the number of shards
	// and the retry horizon.
	Source object.Source
	// Upstream is the name of the agent's upstream.
	Upstream string
	// Address is the address at which other processes of the cluster reach the agent.
	Address string
	Log     zerolog.Logger
}

// Manager serves calls to one service. Handle and HandleOnce are safe for
// concurrent use.
type Manager struct {
	options Options
	breaker retry.Breaker
	// callSlots limits concurrent calls; a suspect takes all of them.
	callSlots *semaphore.Weighted
	draining  atomic.Bool
	// active is the number of Handle calls in progress.
	active atomic.Int64
	// idempotency runs calls with idempotency keys. It is nil until the upstream is
	// in the configuration.
	idempotency atomic.Pointer[once.Manager]

	cancel context.CancelFunc
	tasks  sync.WaitGroup
}

// New returns a manager. Calls with idempotency keys are refused until it has been
// started.
func New(options Options) *Manager {
	return &Manager{options: options, callSlots: semaphore.NewWeighted(maxConcurrentCalls), cancel: func() {}}
}

// Start begins to acquire shards of idempotency keys once the upstream is in the
// configuration. It does not block.
func (m *Manager) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	m.cancel = cancel
	m.tasks.Go(func() { m.startIdempotencyWhenConfigured(ctx) })
	return nil
}

// Stop hands the shards over to other agents and then refuses new calls without an
// idempotency key. Calls with a key that arrive after the handover are refused with the
// address of the new owner. Stop blocks until the calls in flight have ended or ctx
// ends, and returns an error in the latter case.
func (m *Manager) Stop(ctx context.Context) error {
	m.cancel()
	m.tasks.Wait()
	m.handOverShards(ctx)
	m.draining.Store(true)
	for m.active.Load() > 0 {
		if err := pause.For(ctx, drainPollInterval); err != nil {
			return fault.Wrap(err, "finish calls", m.options.Upstream)
		}
	}
	return nil
}

// handOverShards hands the shards over to other agents. This is not possible while
// the store is unavailable. After handOverTimeout the shards stay with this host
// for the agent's next incarnation, as after a crash.
func (m *Manager) handOverShards(ctx context.Context) {
	idempotency := m.idempotency.Load()
	if idempotency == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	if err := idempotency.Stop(ctx); err != nil {
		m.options.Log.Warn().Err(err).Msg("calls: handover of shards failed; the shards stay with this host")
	}
}

// Handle serves a KIND_CALL stream: it receives a CallRequest and sends a CallReply.
func (m *Manager) Handle(ctx context.Context, _ wire.Request, stream *wire.Stream) {
	request := new(wirepb.CallRequest)
	if err := stream.Recv(request); err != nil {
		return
	}
	m.active.Add(1)
	defer m.active.Add(-1)
	if err := stream.Send(m.call(ctx, request)); err != nil {
		m.options.Log.Debug().Err(err).Msg("calls: could not send a reply to the router; dropping it")
	}
}

// call runs a request and returns the service's answer or a refusal. It ignores the
// idempotency key of an idempotent call.
func (m *Manager) call(ctx context.Context, request *wirepb.CallRequest) *wirepb.CallReply {
	if !request.Idempotent && request.IdempotencyKey != "" {
		return m.callWithKey(ctx, request)
	}
	if m.draining.Load() {
		return refusalReply(refusal.Draining, wirepb.RunState_RUN_NOT_RUN, "the agent is stopping", m.options.Upstream)
	}
	if !request.Idempotent {
		// The outcome must be learned even if the router disconnects.
		detachedCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), sendTimeout)
		defer cancel()
		ctx = detachedCtx
	}
	return m.send(ctx, request)
}

// send sends the call to the service at most once and reports the outcome to the
// circuit breaker.
func (m *Manager) send(ctx context.Context, request *wirepb.CallRequest) *wirepb.CallReply {
	if ctx.Err() != nil {
		return refusalReply(refusal.DeadlineExceeded, wirepb.RunState_RUN_NOT_RUN, "the time was over before the call was sent", m.options.Upstream)
	}
	release, err := m.acquireCallSlot(ctx, request)
	if err != nil {
		return refusalReply(refusal.QueueFull, wirepb.RunState_RUN_NOT_RUN, "the service was busy for too long", m.options.Upstream)
	}
	defer release()
	if ok, wait := m.breaker.Allow(); !ok {
		reply := refusalReply(refusal.CircuitOpen, wirepb.RunState_RUN_NOT_RUN, "the service is given time to recover", m.options.Upstream)
		refusal.WithRetryAfter(reply.Refusal, wait)
		return reply
	}
	answer, err := m.options.Driver.Do(ctx, service.Call{
		RequestID: request.RequestId,
		Method:    request.Method,
		Path:      request.Path,
		Header:    httpHeader(request.Headers),
		Body:      request.Body,
	})
	m.reportToBreaker(ctx, err)
	switch {
	case err == nil:
		return &wirepb.CallReply{Status: int32(answer.Status), Headers: wireHeaders(answer.Header), Body: answer.Body}
	case errors.Is(err, service.ErrNotSent):
		return refusalReply(refusal.UpstreamUnreachable, wirepb.RunState_RUN_NOT_RUN, err.Error(), m.options.Upstream)
	default:
		return m.outcomeUnknownReply(ctx, request, err)
	}
}

// acquireCallSlot waits for a free slot at the service. A suspect waits until it is the
// only call, for at most exclusiveTimeout. The caller must call release.
func (m *Manager) acquireCallSlot(ctx context.Context, request *wirepb.CallRequest) (release func(), err error) {
	weight := int64(1)
	if request.Suspect {
		weight = maxConcurrentCalls
		exclusiveCtx, cancel := context.WithTimeout(ctx, exclusiveTimeout)
		defer cancel()
		ctx = exclusiveCtx
	}
	if err := m.callSlots.Acquire(ctx, weight); err != nil {
		return nil, err
	}
	return func() { m.callSlots.Release(weight) }, nil
}

// outcomeUnknownReply returns the refusal of a call that may have reached the service
// and whose answer was lost, too large or for another request id. Unless
// ctx has ended, the request is marked as suspected of having crashed the service.
// A request that the router had marked as suspect, and that therefore ran alone at this
// service, is refused as poisonous.
func (m *Manager) outcomeUnknownReply(ctx context.Context, request *wirepb.CallRequest, err error) *wirepb.CallReply {
	reply := refusalReply(refusal.UpstreamLost, wirepb.RunState_RUN_UNKNOWN, err.Error(), m.options.Upstream)
	if ctx.Err() != nil {
		return reply
	}
	reply.Refusal.Suspect = true
	if request.Suspect {
		reply.Refusal.Code = string(refusal.Poisonous)
	}
	return reply
}

// reportToBreaker reports the result of an attempt to the circuit breaker. A failure
// after ctx ended does not count as a failure of the service.
func (m *Manager) reportToBreaker(ctx context.Context, err error) {
	switch {
	case err == nil:
		m.breaker.Success()
	case ctx.Err() != nil:
		m.breaker.Abandon()
	default:
		m.breaker.Failure()
	}
}

// refusalReply returns a reply that refuses the call. peer names where the refusal
// arose.
func refusalReply(code refusal.Code, run wirepb.RunState, message, peer string) *wirepb.CallReply {
	return &wirepb.CallReply{Refusal: refusal.New(code, run, message, "call", peer)}
}

// httpHeader converts the header fields of a request for the service.
func httpHeader(headers []*wirepb.Header) http.Header {
	h := make(http.Header, len(headers))
	for _, header := range headers {
		h.Add(header.Name, header.Value)
	}
	return h
}

// wireHeaders converts the header fields of the service's answer for the reply. The
// order of names is random, that of a name's values is kept.
func wireHeaders(h http.Header) []*wirepb.Header {
	var headers []*wirepb.Header
	for name, values := range h {
		for _, value := range values {
			headers = append(headers, &wirepb.Header{Name: name, Value: value})
		}
	}
	return headers
}

// Halt ends the manager's tasks without a handover of shards, like a crash.
func (m *Manager) Halt() {
	m.cancel()
	m.tasks.Wait()
	if idempotency := m.idempotency.Load(); idempotency != nil {
		idempotency.StopWithoutHandover()
	}
}
