package share

// CustomerStatus is a snapshot of one customer's limit at a gateway.
type CustomerStatus struct {
	Customer string
	// Tokens is the number of tokens in the local bucket after the last request or
	// refund, not refilled since. It is below zero after a request larger than the
	// bucket's burst.
	Tokens float64
	// Demand is the rate that this gateway's callers request, in tokens per second.
	Demand float64
	// Pooled is the number of tokens in the customer's pool at this gateway after the
	// last request to the pool, not refilled since. It is 0 if the pool was never used.
	Pooled float64
}

// CustomerStatuses returns the status of each customer that sent requests to this
// gateway, in no particular order.
func (m *Manager) CustomerStatuses() []CustomerStatus {
	m.mu.Lock()
	defer m.mu.Unlock()
	statuses := make([]CustomerStatus, 0, len(m.buckets))
	for customer, b := range m.buckets {
		status := CustomerStatus{Customer: customer, Tokens: b.tokens, Demand: b.demand}
		if pool := m.pools[customer]; pool != nil {
			status.Pooled = pool.tokens
		}
		statuses = append(statuses, status)
	}
	return statuses
}
