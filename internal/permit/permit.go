// Package permit bounds how often all gateways together use a resource. For each resource
// one gateway, its owner, spaces the uses; the others ask it before each one. What a gateway
// may do on its own would otherwise add up with the number of gateways, and an equal part of
// a small bound is less than one use.
//
// The owner is the first gateway in rendezvous order among those that are in contact. While
// gateways are cut off from each other, each side has an owner, which grants uses in
// proportion to the gateways that it is in contact with.
package permit

import (
	"context"
	"time"

	"github.com/greengagegate/greengagegate/internal/bootclock"
	"github.com/greengagegate/greengagegate/internal/fault"
	"github.com/greengagegate/greengagegate/internal/metrics"
	"github.com/greengagegate/greengagegate/internal/peering"
	"github.com/greengagegate/greengagegate/internal/rendezvous"
	"github.com/greengagegate/greengagegate/internal/wire"
	"github.com/greengagegate/greengagegate/internal/wire/wirepb"
	"github.com/rs/zerolog"
)

const (
	// askTimeout bounds one request to an owner. It is short because a caller's request
	// waits for the answer.
	askTimeout = 200 * time.Millisecond
	// unansweredRetryAfter is the time after which an owner that didn't answer is asked
	// again.
	unansweredRetryAfter = 250 * time.Millisecond
)

// Options configures a Manager. All fields but Now are required.
type Options struct {
	// Name is the name of this gateway.
	Name string
	// Gateways sends requests to the other gateways.
	Gateways peering.Caller
	// Silences returns, for each other gateway by name, how long it has been silent.
	Silences func() map[string]time.Duration
	Log      zerolog.Logger
	// Now reads the clock; nil means bootclock.Now.
	Now func() bootclock.Instant
}

// Manager acquires permits for this gateway and grants them for the resources that it owns.
// It is safe for concurrent use.
type Manager struct {
	options Options
	pacer   *pacer
}

// New returns a Manager. It answers other gateways only after Register.
func New(options Options) *Manager {
	if options.Now == nil {
		options.Now = bootclock.Now
	}
	return &Manager{options: options, pacer: newPacer()}
}

// Register adds the handler for other gateways' requests to a wire server.
func (m *Manager) Register(server *wire.Server) {
	server.Handle(wirepb.Kind_KIND_PERMIT, m.handle)
}

// Acquire asks the owner of a resource for one use. It blocks for at most askTimeout. After
// an error the owner may or may not have counted the use; the decision is a refusal then.
func (m *Manager) Acquire(ctx context.Context, request Request) (Decision, error) {
	owner, ratio := m.owner(request.Resource)
	if owner == m.options.Name {
		return m.grant(request, ratio), nil
	}
	decision, err := m.ask(ctx, owner, request)
	if err != nil {
		metrics.Counter("permit.asks", "result", "no-answer").Inc(1)
		return Decision{RetryAfter: unansweredRetryAfter}, fault.Wrap(err, "ask for a permit", owner)
	}
	metrics.Counter("permit.asks", "result", "answered").Inc(1)
	return decision, nil
}

// owner returns the owner of a resource, and the part of its uses that the gateways in
// contact with this one may have.
func (m *Manager) owner(resource string) (name string, ratio float64) {
	ranking := rendezvous.New[string](resource)
	ranking.Add(m.options.Name, m.options.Name)
	silences := m.options.Silences()
	inContact := peering.InContact(silences)
	for _, peer := range inContact {
		ranking.Add(peer, peer)
	}
	return ranking.Best(), float64(1+len(inContact)) / float64(1+len(silences))
}

// grant decides a request as the owner of its resource.
func (m *Manager) grant(request Request, ratio float64) Decision {
	decision := m.pacer.take(request, ratio, m.options.Now())
	result := "refused"
	if decision.Granted {
		result = "granted"
	}
	metrics.Counter("permit.decisions", "result", result).Inc(1)
	return decision
}

// ask sends a request to another gateway.
func (m *Manager) ask(ctx context.Context, owner string, request Request) (Decision, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	message := &wirepb.PermitRequest{Resource: request.Resource, IntervalUs: request.Interval.Microseconds(), Burst: request.Burst}
	var reply wirepb.PermitReply
	if err := m.options.Gateways.Call(ctx, owner, wirepb.Kind_KIND_PERMIT, message, &reply); err != nil {
		return Decision{}, err
	}
	return Decision{Granted: reply.Granted, RetryAfter: time.Duration(reply.RetryUs) * time.Microsecond}, nil
}

// handle answers one request of another gateway. It refuses invalid ones.
func (m *Manager) handle(_ context.Context, _ wire.Request, stream *wire.Stream) {
	var message wirepb.PermitRequest
	if err := stream.Recv(&message); err != nil {
		m.options.Log.Debug().Err(err).Str("peer", stream.Peer()).Msg("permit: could not read a request; dropping it")
		return
	}
	request := Request{Resource: message.Resource, Interval: time.Duration(message.IntervalUs) * time.Microsecond, Burst: message.Burst}
	decision := Decision{RetryAfter: maxRetryAfter}
	if request.isValid() {
		_, ratio := m.owner(request.Resource)
		decision = m.grant(request, ratio)
	}
	reply := &wirepb.PermitReply{Granted: decision.Granted, RetryUs: decision.RetryAfter.Microseconds()}
	if err := stream.Send(reply); err != nil {
		m.options.Log.Debug().Err(err).Str("peer", stream.Peer()).Msg("permit: could not send a reply; a granted use stays counted")
	}
}
