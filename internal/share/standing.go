package share

// CustomerStatus is what a gateway knows of one customer's limit.
type CustomerStatus struct {
	Customer string
	// Tokens may be spent here at once; below zero after a request that was larger
	// than the bucket.
	Tokens float64
	// Demand is what this gateway's callers ask for, in tokens a second.
	Demand float64
	// Pooled may be lent to other gateways at once; 0 where another one is the owner.
	Pooled float64
}

// CustomerStatuses returns what is known of each customer that asked here.
func (m *Manager) CustomerStatuses() []CustomerStatus {
	m.mu.Lock()
	defer m.mu.Unlock()
	list := make([]CustomerStatus, 0, len(m.accounts))
	for customer, a := range m.accounts {
		status := CustomerStatus{Customer: customer, Tokens: a.tokens, Demand: a.demand}
		if p := m.pools[customer]; p != nil {
			status.Pooled = p.tokens
		}
		list = append(list, status)
	}
	return list
}
