// Package refusal names the reasons for which a request is not served, and the
// HTTP status of each. What each one proves is listed in docs/REFUSALS.md.
package refusal

import (
	"net/http"
	"time"

	"github.com/greengagegate/greengagegate/internal/wire/wirepb"
)

// Code names a reason. Codes are part of the callers' interface.
type Code string

// The codes of refusals by routers and agents.
const (
	// NoUpstream says that no upstream of the pool can take the request.
	NoUpstream Code = "no_upstream"
	// AgentUnreachable says that no agent could be reached.
	AgentUnreachable Code = "agent_unreachable"
	// AgentLost says that the connection to an agent broke after the request was sent.
	AgentLost Code = "agent_lost"
	// Draining says that the process is stopping and takes no new work.
	Draining Code = "draining"
	// QueueFull says that the agent's queue took no more requests.
	QueueFull Code = "queue_full"
	// UpstreamUnreachable says that no byte of the request reached the upstream.
	UpstreamUnreachable Code = "upstream_unreachable"
	// UpstreamLost says that the upstream's answer was lost.
	UpstreamLost Code = "upstream_lost"
	// CircuitOpen says that the agent gives its upstream time to recover.
	CircuitOpen Code = "circuit_open"
	// DeadlineExceeded says that the request's time was over.
	DeadlineExceeded Code = "deadline_exceeded"
	// RetryBudget says that the budget for retries is spent.
	RetryBudget Code = "retry_budget"
	// NotOwner is passed between processes only: another agent owns the key's shard.
	NotOwner Code = "not_owner"
	// KeyConflict says that the idempotency key came earlier with another content.
	KeyConflict Code = "key_conflict"
	// KeyRunning says that the first call with the key has not ended.
	KeyRunning Code = "key_running"
	// KeyOutcomeUnknown says that the first call with the key may have run.
	KeyOutcomeUnknown Code = "key_outcome_unknown"
	// KeyAnswerLost says that the call with the key ran while its answer was not kept.
	KeyAnswerLost Code = "key_answer_lost"
	// ShardUnavailable says that the arbiter of the key cannot be asked now.
	ShardUnavailable Code = "shard_unavailable"
	// ShardInDoubt says that a lost arbiter may have run calls without a record.
	ShardInDoubt Code = "shard_in_doubt"
	// ShardFull says that the arbiter remembers as many keys as it may.
	ShardFull Code = "shard_full"
	// Quarantined says that the request's content crashed upstreams.
	Quarantined Code = "quarantined"
	// Poisonous says that the request was in flight at two crashes of its upstream.
	Poisonous Code = "poisonous"
)

var statuses = map[Code]int{
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

// Status returns the HTTP status of a code; 503 for codes it does not know.
func Status(code string) int {
	if status, ok := statuses[Code(code)]; ok {
		return status
	}
	return http.StatusServiceUnavailable
}

// New returns a refusal that arose at a step and peer.
func New(code Code, run wirepb.RunState, message, step, peer string) *wirepb.Refusal {
	return &wirepb.Refusal{Code: string(code), Message: message, Run: run, Step: step, Peer: peer}
}

// After sets how long the caller should wait before it asks again.
func After(r *wirepb.Refusal, wait time.Duration) *wirepb.Refusal {
	r.RetryAfterMs = max(1, wait.Milliseconds())
	return r
}
