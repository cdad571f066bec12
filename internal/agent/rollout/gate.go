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

// Gate passes orders to the engine in the order of their fencing numbers, which
// are configuration revisions. Some engines ignore fencing numbers, so the gate
// refuses old orders itself.
type Gate struct {
	driver engine.Driver
	source object.Source

	mu      sync.Mutex
	highest uint64
}

// NewGate returns the gate before one engine.
func NewGate(driver engine.Driver, source object.Source) *Gate {
	return &Gate{driver: driver, source: source}
}

// Send gives an order to the engine. It returns engine.ErrStaleFence, without
// having sent anything, when a newer configuration is in force or the present
// one cannot be relied on. It blocks until the engine answers.
func (g *Gate) Send(ctx context.Context, order engine.Order) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if order.Fence < g.highest || !g.current(order.Fence) {
		ordersRefused.Inc(1)
		return fault.Wrap(engine.ErrStaleFence, "check order", "")
	}
	invariant.Check(order.Fence >= g.highest, "orders-in-fence-order", "order %d after %d", order.Fence, g.highest)
	g.highest = order.Fence
	return fault.Wrap(g.driver.Order(ctx, order), "order "+string(order.Kind), "engine")
}

// current reports whether the fence is that of the configuration in force. It
// is asked right before sending, since the process may have been paused.
func (g *Gate) current(fence uint64) bool {
	set := g.source.Current()
	return set != nil && set.Revision == fence && g.source.Fresh()
}
