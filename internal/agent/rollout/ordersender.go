package rollout

import (
	"context"
	"sync"

	"github.com/greengagegate/greengagegate/internal/engine"
	"github.com/greengagegate/greengagegate/internal/fault"
	"github.com/greengagegate/greengagegate/internal/invariant"
	"github.com/greengagegate/greengagegate/internal/metrics"
	"github.com/greengagegate/greengagegate/internal/object"
)

var ordersRefused = metrics.Counter("agent.orders_refused")

// orderSender sends orders to the engine by increasing fencing token. Fencing tokens
// are configuration revisions. It refuses stale orders itself, since some engines
// ignore fencing tokens.
type orderSender struct {
	driver engine.Driver
	source object.Source

	mu sync.Mutex
	// highestToken is the highest fencing token sent so far.
	highestToken uint64
}

// newOrderSender returns the sender for one engine.
func newOrderSender(driver engine.Driver, source object.Source) *orderSender {
	return &orderSender{driver: driver, source: source}
}

// Send sends an order to the engine and blocks until the engine answers. It returns
// engine.ErrStaleFence without sending the order when a newer configuration is in
// force or the current one can no longer be relied on.
func (s *orderSender) Send(ctx context.Context, order engine.Order) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if order.Fence < s.highestToken || !s.isCurrent(order.Fence) {
		ordersRefused.Inc(1)
		return fault.Wrap(engine.ErrStaleFence, "check order", "")
	}
	invariant.Check(order.Fence >= s.highestToken, "orders-in-fence-order", "fencing token %d sent after %d", order.Fence, s.highestToken)
	s.highestToken = order.Fence
	return fault.Wrap(s.driver.Order(ctx, order), "order "+string(order.Kind), "engine")
}

// isCurrent reports whether the fencing token is the revision of the configuration in
// force. It is called right before sending, since the process may have been paused.
func (s *orderSender) isCurrent(token uint64) bool {
	set := s.source.Current()
	return set != nil && set.Revision == token && s.source.IsFresh()
}
