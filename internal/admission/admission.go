// Package admission decides, before a request runs, whether its customer has
// tokens for it. It applies the limits that package quota keeps across routers.
package admission

import (
	"context"
	"fmt"
	"time"

	"github.com/greengagegate/greengagegate/internal/object"
)

// The codes of refusals. None of the refused requests has run.
const (
	// CodeRateLimited asks the caller to come back after RetryAfter.
	CodeRateLimited = "rate_limited"
	// CodeAboveBurst means that the request can never be admitted: it costs more than the customer's burst.
	CodeAboveBurst = "cost_above_burst"
	// CodeCanceled means that the caller left while the request waited.
	CodeCanceled = "canceled"
	// CodeNoLimit means that the configuration in force has no such customer.
	CodeNoLimit = "no_limit"
	// CodeNoPool means that no router that grants tokens could be reached.
	CodeNoPool = "no_pool"
	// CodeStopping means that this router has not begun to admit, or is stopping.
	CodeStopping = "admission_stopped"
)

// Refusal is the error of a request that was not admitted and has not run.
type Refusal struct {
	// Code is one of the codes above.
	Code string
	// RetryAfter is zero when the request can never be admitted.
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
	// the customer is short of tokens. An error is always a *Refusal.
	Admit(ctx context.Context, customer *object.Customer, tokens int64) (Ticket, error)
}

// Ticket is the reservation of one admitted request.
type Ticket interface {
	// Settle ends the reservation with the tokens that were used and returns
	// the rest to the customer. Only the first call has an effect.
	Settle(used int64)
}
