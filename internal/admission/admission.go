// Package admission decides, before a request runs, whether its customer has enough
// tokens for it. It enforces the limits that package quota shares between routers.
package admission

import (
	"context"
	"fmt"
	"time"

	"github.com/greengagegate/greengagegate/internal/object"
)

// The codes of refusals. A refused request has not run.
const (
	// CodeRateLimited means that the customer is short of tokens; the caller should
	// retry after RetryAfter.
	CodeRateLimited = "rate_limited"
	// CodeAboveBurst means that the request can never be admitted because it costs
	// more than the fraction quota.MaxLentFraction of the customer's burst.
	CodeAboveBurst = "cost_above_burst"
	// CodeCanceled means that the caller disconnected while the request waited.
	CodeCanceled = "canceled"
	// CodeNoLimit means that the configuration in force has no limit for the customer.
	CodeNoLimit = "no_limit"
	// CodeNoPool means that none of the routers that hold a token pool of the
	// customer answered in time.
	CodeNoPool = "no_pool"
	// CodeStopping means that this router has not started to admit requests or is stopping.
	CodeStopping = "admission_stopped"
)

// Refusal is the error of a request that was not admitted and has not run.
type Refusal struct {
	// Code is one of the Code constants of this package.
	Code string
	// RetryAfter is the time after which a retry may succeed; 0 if the request can
	// never be admitted or the customer has no limit.
	RetryAfter time.Duration
	Message    string
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s: %s", r.Code, r.Message)
}

// Controller admits requests. It is safe for concurrent use.
type Controller interface {
	// Admit reserves tokens of a customer. It blocks for a bounded time while
	// the customer is short of tokens. A non-nil error is always a *Refusal.
	Admit(ctx context.Context, customer *object.Customer, tokens int64) (Ticket, error)
}

// Ticket is the reservation of one admitted request.
type Ticket interface {
	// Settle ends the reservation, charges the tokens that were used and returns
	// the rest to the customer. Only the first call has an effect.
	Settle(used int64)
}
