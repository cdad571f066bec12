package quota_test

import (
	"context"
	"sync"
	"time"

	"github.com/greengagegate/greengagegate/quota"
)

// admitter is one way to enforce limits under test.
type admitter interface {
	// admit reports whether a member admits a request now.
	admit(m *member, id quota.CustomerID, tokens int64) bool
	// restarted is called after a member has restarted.
	restarted(m *member)
}

// lendingAdmitter enforces limits with package quota.
type lendingAdmitter struct{}

func (*lendingAdmitter) admit(m *member, id quota.CustomerID, tokens int64) bool {
	m.waitWhilePaused()
	ticket, err := m.currentManager().Admit(context.Background(), id, tokens)
	if err != nil {
		return false
	}
	ticket.Settle(tokens)
	return true
}

func (*lendingAdmitter) restarted(*member) {}

// fixedShares gives each member a bucket with an equal part of each limit. A
// restarted member does not know what it spent before, so its buckets start
// empty.
type fixedShares struct {
	mu      sync.Mutex
	members int
	config  *limits
	buckets map[*member]map[quota.CustomerID]*bucket
}

// bucket returns a member's bucket for a customer. A new bucket is filled to
// the given fraction. The caller holds s.mu.
func (s *fixedShares) bucket(m *member, id quota.CustomerID, fillFraction float64) *bucket {
	if s.buckets[m] == nil {
		s.buckets[m] = make(map[quota.CustomerID]*bucket)
	}
	if s.buckets[m][id] == nil {
		limit, _ := s.config.Limit(id)
		members := float64(s.members)
		b := newBucket(quota.Limit{Rate: limit.Rate / members, Burst: limit.Burst / members})
		b.level *= fillFraction
		s.buckets[m][id] = b
	}
	return s.buckets[m][id]
}

func (s *fixedShares) admit(m *member, id quota.CustomerID, tokens int64) bool {
	m.waitWhilePaused()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.bucket(m, id, 1).admit(time.Now(), float64(tokens))
}

func (s *fixedShares) restarted(m *member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.buckets, m)
	for _, id := range s.config.Customers() {
		s.bucket(m, id, 0)
	}
}

// centralBucket keeps all buckets at one member. Requests are refused while
// that member is unreachable, and its buckets are empty after a restart.
type centralBucket struct {
	mu      sync.Mutex
	owner   *member
	config  *limits
	buckets map[quota.CustomerID]*bucket
}

func (c *centralBucket) admit(m *member, id quota.CustomerID, tokens int64) bool {
	m.waitWhilePaused()
	m.fleet.mu.Lock()
	unreachable := c.owner.stopped || m.fleet.partitioned[[2]string{m.address, c.owner.address}]
	m.fleet.mu.Unlock()
	if unreachable {
		return false
	}
	time.Sleep(m.fleet.latency)
	c.owner.waitWhilePaused()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.buckets[id] == nil {
		limit, _ := c.config.Limit(id)
		c.buckets[id] = newBucket(limit)
	}
	return c.buckets[id].admit(time.Now(), float64(tokens))
}

func (c *centralBucket) restarted(m *member) {
	if m != c.owner {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, id := range c.config.Customers() {
		limit, _ := c.config.Limit(id)
		c.buckets[id] = newBucket(limit)
		c.buckets[id].level = 0
	}
}
