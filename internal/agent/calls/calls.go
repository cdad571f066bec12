// Package calls is the agent's handler of calls to its plain service. A call
// that is not idempotent is sent to the service at most once.
package calls

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"

	"github.com/greengagegate/greengagegate/internal/object"
	"github.com/greengagegate/greengagegate/internal/refusal"
	"github.com/greengagegate/greengagegate/internal/service"
	"github.com/greengagegate/greengagegate/internal/wire"
	"github.com/greengagegate/greengagegate/internal/wire/wirepb"
	"github.com/greengagegate/greengagegate/membership"
	"github.com/greengagegate/greengagegate/store"
	"github.com/rs/zerolog"
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
	draining atomic.Bool
}

// New returns a manager that is not started.
func New(options Options) *Manager {
	return &Manager{options: options}
}

// Start begins to own shards of idempotency keys. It does not block.
func (m *Manager) Start(context.Context) error {
	return nil
}

// Stop refuses new calls and hands the shards over. It blocks until calls in
// flight have ended or ctx ends.
func (m *Manager) Stop(context.Context) error {
	m.draining.Store(true)
	return nil
}

// Handle serves KIND_CALL: it receives a CallRequest and sends a CallReply.
func (m *Manager) Handle(ctx context.Context, _ wire.Request, stream *wire.Stream) {
	request := new(wirepb.CallRequest)
	if err := stream.Recv(request); err != nil {
		return
	}
	reply := m.call(ctx, request)
	if err := stream.Send(reply); err != nil {
		m.options.Log.Debug().Err(err).Msg("calls: reply not sent")
	}
}

// HandleOnce serves KIND_ONCE: messages of other agents about shards.
func (m *Manager) HandleOnce(context.Context, wire.Request, *wire.Stream) {}

func (m *Manager) call(ctx context.Context, request *wirepb.CallRequest) *wirepb.CallReply {
	if m.draining.Load() {
		return refused(refusal.Draining, wirepb.RunState_RUN_NOT_RUN, "the agent is stopping", m.options.Upstream)
	}
	return m.send(ctx, request)
}

// send makes the call on the service, once.
func (m *Manager) send(ctx context.Context, request *wirepb.CallRequest) *wirepb.CallReply {
	answer, err := m.options.Driver.Do(ctx, service.Call{
		RequestID: request.RequestId,
		Method:    request.Method,
		Path:      request.Path,
		Header:    header(request.Headers),
		Body:      request.Body,
	})
	switch {
	case err == nil:
		return &wirepb.CallReply{Status: int32(answer.Status), Headers: lines(answer.Header), Body: answer.Body}
	case errors.Is(err, service.ErrNotSent):
		return refused(refusal.UpstreamUnreachable, wirepb.RunState_RUN_NOT_RUN, err.Error(), m.options.Upstream)
	default:
		return refused(refusal.UpstreamLost, wirepb.RunState_RUN_UNKNOWN, err.Error(), m.options.Upstream)
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
