// Package refusal defines the codes that routers and agents return for requests
// that they do not serve, and the HTTP status of each code. A refusal also states whether
// the request may have run (wirepb.RunState). docs/REFUSALS.md explains this for each
// code.
package refusal

import (
	"net/http"
	"time"

	"github.com/greengagegate/greengagegate/internal/wire/wirepb"
)

// Code identifies the reason for a refusal. Callers compare codes, so existing
// codes must not change.
type Code string

// The codes of refusals by routers and agents.
const (
	// NoUpstream means that no upstream of the pool can take the request.
	NoUpstream Code = "no_upstream"
	// AgentUnreachable means that the agent could not be reached.
	AgentUnreachable Code = "agent_unreachable"
	// AgentLost means that the connection to an agent broke after the request was sent.
	AgentLost Code = "agent_lost"
	// Draining means that the process is stopping and accepts no new requests.
	Draining Code = "draining"
	// QueueFull means that the agent's queue had no room for the request.
	QueueFull Code = "queue_full"
	// UpstreamUnreachable means that no byte of the request reached the upstream.
	UpstreamUnreachable Code = "upstream_unreachable"
	// UpstreamLost means that the upstream's answer was lost.
	UpstreamLost Code = "upstream_lost"
	// CircuitOpen means that the agent's circuit breaker is open, which gives the
	// upstream time to recover.
	CircuitOpen Code = "circuit_open"
	// DeadlineExceeded means that the request's deadline passed.
	DeadlineExceeded Code = "deadline_exceeded"
	// RetryBudget means that the retry budget of the upstream is spent.
	RetryBudget Code = "retry_budget"
	// NotOwner means that another agent owns the shard of the idempotency key. It is
	// sent between processes only and never to callers.
	NotOwner Code = "not_owner"
	// KeyConflict means that the idempotency key was used earlier with different content.
	KeyConflict Code = "key_conflict"
	// KeyRunning means that the first call with the key has not finished.
	KeyRunning Code = "key_running"
	// KeyOutcomeUnknown means that the first call with the key may have run, but its
	// outcome is not known.
	KeyOutcomeUnknown Code = "key_outcome_unknown"
	// KeyAnswerLost means that the first call with the key ran, but its answer was not
	// kept.
	KeyAnswerLost Code = "key_answer_lost"
	// ShardUnavailable means that the arbiter of the key's shard cannot be reached now.
	ShardUnavailable Code = "shard_unavailable"
	// ShardInDoubt means that a former arbiter may have run calls of the shard in an
	// unjournaled period, so that no record of them exists.
	ShardInDoubt Code = "shard_in_doubt"
	// ShardFull means that the arbiter already holds its maximum number of keys.
	ShardFull Code = "shard_full"
	// Quarantined means that the request is refused without being run now, because its
	// content is quarantined after it crashed upstreams.
	Quarantined Code = "quarantined"
	// Poisonous means that the request's content was in flight at repeated upstream
	// crashes and is now quarantined.
	Poisonous Code = "poisonous"
)

var statusByCode = map[Code]int{
	DeadlineExceeded:    http.StatusGatewayTimeout,
	AgentLost:           http.StatusBadGateway,
	UpstreamLost:        http.StatusBadGateway,
	KeyConflict:         http.StatusUnprocessableEntity,
	KeyRunning:          http.StatusConflict,
	KeyOutcomeUnknown:   http.StatusConflict,
	KeyAnswerLost:       http.StatusConflict,
	ShardInDoubt:        http.StatusConflict,
	Quarantined:         http.StatusUnprocessableEntity,
	Poisonous:           http.StatusUnprocessableEntity,
	NoUpstream:          http.StatusServiceUnavailable,
	AgentUnreachable:    http.StatusServiceUnavailable,
	Draining:            http.StatusServiceUnavailable,
	UpstreamUnreachable: http.StatusServiceUnavailable,
	QueueFull:           http.StatusServiceUnavailable,
	CircuitOpen:         http.StatusServiceUnavailable,
	RetryBudget:         http.StatusServiceUnavailable,
	ShardUnavailable:    http.StatusServiceUnavailable,
	ShardFull:           http.StatusServiceUnavailable,
}

// Status returns the HTTP status of a code, or 503 for an unknown code. code is the string
// of a wirepb.Refusal.
func Status(code string) int {
	if status, ok := statusByCode[Code(code)]; ok {
		return status
	}
	return http.StatusServiceUnavailable
}

// New returns a refusal of a request. run states whether the request may have run. step
// names what failed, such as "run prompt". peer is the address or name of the process or
// upstream concerned; it may be empty.
func New(code Code, run wirepb.RunState, message, step, peer string) *wirepb.Refusal {
	return &wirepb.Refusal{Code: string(code), Message: message, Run: run, Step: step, Peer: peer}
}

// WithRetryAfter sets the time after which the caller should retry, which is at least 1 ms,
// and returns r.
func WithRetryAfter(r *wirepb.Refusal, wait time.Duration) *wirepb.Refusal {
	r.RetryAfterMs = max(1, wait.Milliseconds())
	return r
}
