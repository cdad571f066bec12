package router

import (
	"context"

	"github.com/greengagegate/greengagegate/internal/admission"
	"github.com/greengagegate/greengagegate/internal/object"
)

// unlimitedTicket is the admission.Ticket of a request that has no customer and is
// therefore not limited.
type unlimitedTicket struct{}

// Settle implements admission.Ticket.
func (unlimitedTicket) Settle(int64) {}

// admit reserves tokens of the customer's limit. A nil customer means a request
// without a valid key on an open route; such requests are not limited.
func (s *Server) admit(ctx context.Context, customer *object.Customer, tokens int64) (admission.Ticket, error) {
	if customer == nil {
		return unlimitedTicket{}, nil
	}
	return s.options.Admission.Admit(ctx, customer, tokens)
}
