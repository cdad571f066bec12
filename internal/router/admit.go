package router

import (
	"context"

	"github.com/greengagegate/greengagegate/internal/admission"
	"github.com/greengagegate/greengagegate/internal/object"
)

// unlimited is the ticket of requests that count against no customer.
type unlimited struct{}

// Settle implements admission.Ticket.
func (unlimited) Settle(int64) {}

// admit reserves tokens of a customer. Requests on open routes that name no
// customer are not limited.
func (s *Server) admit(ctx context.Context, customer *object.Customer, tokens int64) (admission.Ticket, error) {
	if customer == nil {
		return unlimited{}, nil
	}
	return s.options.Admission.Admit(ctx, customer, tokens)
}
