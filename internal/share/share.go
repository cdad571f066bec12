// Package share divides each customer's rate limit among gateways by demand.
// Each gateway has a local token bucket per customer, whose refill rate is the
// gateway's share of the customer's rate. Gateways compute the shares from the
// demands that they send each other a few times a second. The package is meant
// for this load: connections are spread unevenly over a few gateways, and one
// customer sends several times its rate for some seconds, often through one
// gateway.
//
// A fraction of each limit, pooledFraction, is not divided but kept in a pool at
// one gateway, the customer's owner. A gateway requests tokens from the owner when
// its own bucket has too few, because with many gateways a local bucket holds
// less than a single request needs.
//
// A gateway that receives no demands from its peers falls back to an equal part
// of the limit, and its peers set the same part aside for it. The sum of all
// shares therefore stays within the limit during a network partition.
package share

import (
	"sync"
	"time"

	"github.com/greengagegate/greengagegate/internal/bootclock"
	"github.com/greengagegate/greengagegate/internal/metrics"
	"github.com/greengagegate/greengagegate/internal/rendezvous"
)

const (
	// demandWindow is the time over which demand is averaged.
	demandWindow = time.Second
	// demandHeadroom is the factor by which a gateway's share may exceed its demand
	// before Divide divides the remainder equally.
	demandHeadroom = 1.25
	// pooledFraction is the fraction of each limit that the customer's owner keeps in its pool.
	pooledFraction = 0.5
	// StaleAfter is the age at which a peer's last reported demand becomes stale.
	StaleAfter = 1200 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the retry delay returned to refused callers.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 2 * time.Second
)

// Limit is a customer's limit over all gateways. Rate is in tokens per second,
// Burst in tokens.
type Limit struct{ Rate, Burst float64 }

// Demand is the rate that a gateway's callers request, in tokens per second by
// customer name.
type Demand map[string]float64

const (
	// tinyRequestFraction is the largest request, as a fraction of the bucket's
	// burst, that may also use the tokens reserved for large requests.
	tinyRequestFraction = 1.0 / 32
	// largeRequestFraction is the size, as a fraction of the bucket's burst, above
	// which a refused request makes the bucket reserve tokens.
	largeRequestFraction = 1.0 / 4
	// reservedFraction is the fraction of refilled tokens that is reserved after a
	// large request was refused. It keeps many small requests from starving large ones.
	reservedFraction = 0.5
	// reserveDuration is how long the bucket reserves tokens after it refused a
	// large request.
	reserveDuration = time.Second
)

// bucket is a token bucket that also measures demand.
type bucket struct {
	tokens     float64
	refilledAt bootclock.Instant
	// reserved is the part of tokens that is set aside for large requests until
	// reservedUntil.
	reserved      float64
	reservedUntil bootclock.Instant
	// requested counts the tokens requested since measuredAt, including refused ones.
	requested  float64
	measuredAt bootclock.Instant
	// demand is the moving average of the requested tokens per second.
	demand float64
}

// refill adds the tokens that accrued since the last call.
func (b *bucket) refill(rate, burst float64, now bootclock.Instant) {
	added := rate * now.Sub(b.refilledAt).Seconds()
	b.refilledAt = now
	b.tokens = min(burst, b.tokens+added)
	if !now.Before(b.reservedUntil) {
		b.reserved = 0
		return
	}
	b.reserved = min(b.tokens, b.reserved+reservedFraction*added)
}

// take spends tokens and returns 0 if the bucket holds enough; otherwise it spends
// nothing and returns the number of missing tokens. Only tiny and large requests
// may use the reserved tokens. A request larger than burst needs a full bucket and
// leaves the level below zero.
func (b *bucket) take(tokens, burst float64, now bootclock.Instant) (missing float64) {
	need := min(tokens, burst)
	switch {
	case tokens > largeRequestFraction*burst:
		if b.tokens < need {
			b.reservedUntil = now.Add(reserveDuration)
			return need - b.tokens
		}
		b.reserved = 0
	case tokens > tinyRequestFraction*burst:
		need += max(b.reserved, 0)
	}
	if b.tokens < need {
		return need - b.tokens
	}
	b.tokens -= tokens
	return 0
}

// receivedDemand is the last demand received from a peer.
type receivedDemand struct {
	demand     Demand
	receivedAt bootclock.Instant
}

// Manager holds one gateway's shares of the customers' limits. It is safe for
// concurrent use.
type Manager struct {
	name string
	now  func() bootclock.Instant
	// slack is the number of tokens that all gateways together may spend beyond a
	// customer's limit.
	slack float64
	// emptyAt is when all buckets were empty, because this gateway had just started again and may have
	// spent everything before; 0 after the first start of the whole system.
	emptyAt bootclock.Instant

	mu      sync.Mutex
	buckets map[string]*bucket
	// pools holds the pools of the customers that this gateway owns or has owned.
	pools           map[string]*bucket
	receivedDemands map[string]receivedDemand
	// peers holds the names of the known peers: other gateways that may be running.
	peers map[string]bool
}

// New returns a manager without peers for the gateway called name. slack is the
// number of tokens that all gateways together may spend beyond a customer's limit
// in any window. If now is nil, bootclock.Now is used.
func New(name string, slack float64, now func() bootclock.Instant) *Manager {
	if now == nil {
		now = bootclock.Now
	}
	return &Manager{
		name:            name,
		pools:           make(map[string]*bucket),
		now:             now,
		slack:           slack,
		buckets:         make(map[string]*bucket),
		receivedDemands: make(map[string]receivedDemand),
		peers:           make(map[string]bool),
	}
}

// StartEmpty makes all buckets begin empty now. It is called when this gateway or others may have spent
// the customers' bursts before this process started, and before the first request.
func (m *Manager) StartEmpty() { m.emptyAt = m.now() }

// SetPeers replaces the names of the known peers. The last demands of removed
// peers are kept.
func (m *Manager) SetPeers(names []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.peers = make(map[string]bool, len(names))
	for _, name := range names {
		m.peers[name] = true
	}
}

// UpdatePeerDemand stores the demand that a peer reported, and adds the peer to
// the known peers.
func (m *Manager) UpdatePeerDemand(peer string, demand Demand) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.receivedDemands[peer] = receivedDemand{demand: demand, receivedAt: m.now()}
	m.peers[peer] = true
}

// Demand returns the demand of this gateway's callers. Customers with less than
// one token per second are left out.
func (m *Manager) Demand() Demand {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	demand := make(Demand, len(m.buckets))
	for customer, b := range m.buckets {
		b.measureDemand(now)
		if b.demand >= 1 {
			demand[customer] = b.demand
		}
	}
	return demand
}

// measureDemand updates demand with the tokens requested since the last
// measurement. It does nothing within a tenth of demandWindow after that measurement.
func (b *bucket) measureDemand(now bootclock.Instant) {
	elapsed := now.Sub(b.measuredAt)
	if elapsed < demandWindow/10 {
		return
	}
	weight := min(1, elapsed.Seconds()/demandWindow.Seconds())
	b.demand += weight * (b.requested/elapsed.Seconds() - b.demand)
	b.requested, b.measuredAt = 0, now
}

// Decision is the result of admission control for a request.
type Decision struct {
	Admitted bool
	// Owner is the gateway that may grant the tokens from the customer's pool. If it
	// is not empty, the request is not decided yet, and the caller must request the
	// tokens from this gateway, which calls GrantFromPool.
	Owner string
	// RetryAfter is the delay after which enough tokens may be available. It is zero
	// if the request was admitted.
	RetryAfter time.Duration
}

// Admit spends a customer's tokens from the local bucket. If the bucket has too
// few, it spends tokens from the customer's pool if this gateway is the owner, and
// otherwise returns the owner. Each bucket's burst includes a part of the slack. A
// request larger than the burst is admitted only when the bucket is full, and
// leaves its level below zero.
func (m *Manager) Admit(customer string, limit Limit, tokens float64) Decision {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	b := m.buckets[customer]
	ownLimit := limit.scaled((1-pooledFraction)*m.ownFraction(customer, limit, b, now), m.slack)
	if b == nil {
		b = newBucket(ownLimit, now)
		if m.emptyAt != 0 {
			b.tokens, b.refilledAt = 0, m.emptyAt
		}
		m.buckets[customer] = b
	}
	b.requested += tokens
	b.measureDemand(now)
	b.refill(ownLimit.Rate, ownLimit.Burst, now)
	deficit := b.take(tokens, ownLimit.Burst, now)
	if deficit <= 0 {
		return Decision{Admitted: true}
	}
	if owner := m.owner(customer, now); owner != m.name {
		return Decision{Owner: owner, RetryAfter: retryAfter(deficit, ownLimit.Rate)}
	}
	return m.grant(customer, limit, tokens, now)
}

// GrantFromPool spends tokens from a customer's pool on behalf of another gateway.
func (m *Manager) GrantFromPool(customer string, limit Limit, tokens float64) Decision {
	m.mu.Lock()
	defer m.mu.Unlock()
	decision := m.grant(customer, limit, tokens, m.now())
	if decision.Admitted {
		metrics.Counter("share.lent_tokens", "customer", customer).Inc(int64(tokens))
	}
	return decision
}

// grant spends tokens from a customer's pool. During a partition each side has an
// owner and a pool of its own. Each pool's size is therefore proportional to the
// fraction of gateways from which its owner has fresh demand, so that all pools
// together stay within the limit.
// It must be called with mu held.
func (m *Manager) grant(customer string, limit Limit, tokens float64, now bootclock.Instant) Decision {
	reachable, total := 1, 1+len(m.peers)
	for name := range m.peers {
		if m.hasFreshDemand(name, now) {
			reachable++
		}
	}
	poolLimit := limit.scaled(pooledFraction*float64(reachable)/float64(total), m.slack)
	pool := m.pools[customer]
	if pool == nil {
		// The pool starts empty because the previous owner may just have spent its burst.
		pool = newBucket(Limit{}, now)
		m.pools[customer] = pool
	}
	pool.refill(poolLimit.Rate, poolLimit.Burst, now)
	deficit := pool.take(tokens, poolLimit.Burst, now)
	if deficit <= 0 {
		return Decision{Admitted: true}
	}
	return Decision{RetryAfter: retryAfter(deficit, poolLimit.Rate)}
}

// hasFreshDemand reports whether a peer's last demand is at most StaleAfter old.
// It must be called with mu held.
func (m *Manager) hasFreshDemand(name string, now bootclock.Instant) bool {
	received, ok := m.receivedDemands[name]
	return ok && now.Sub(received.receivedAt) <= StaleAfter
}

// owner returns the gateway that keeps a customer's pool: the first in rendezvous
// order among this gateway and the peers with fresh demand. It must be called
// with mu held.
func (m *Manager) owner(customer string, now bootclock.Instant) string {
	ranking := rendezvous.New[string](customer)
	ranking.Add(m.name, m.name)
	for name := range m.peers {
		if m.hasFreshDemand(name, now) {
			ranking.Add(name, name)
		}
	}
	return ranking.Best()
}

// scaled returns the given fraction of a limit, with the same fraction of slack
// added to the burst.
func (l Limit) scaled(fraction, slack float64) Limit {
	return Limit{Rate: l.Rate * fraction, Burst: (l.Burst + slack) * fraction}
}

// newBucket returns a bucket that holds the limit's burst. It is empty if the limit
// is zero.
func newBucket(limit Limit, now bootclock.Instant) *bucket {
	return &bucket{tokens: limit.Burst, refilledAt: now, measuredAt: now}
}

// retryAfter returns the time in which a deficit is refilled, bounded by
// minRetryAfter and maxRetryAfter.
func retryAfter(deficit, rate float64) time.Duration {
	wait := time.Duration(deficit / max(rate, 1) * float64(time.Second))
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

// Refund puts the tokens of a request that did not run back into the local bucket.
func (m *Manager) Refund(customer string, tokens float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if b := m.buckets[customer]; b != nil {
		b.tokens += tokens
	}
}

// ownFraction returns this gateway's fraction of a customer's limit without the
// pool. Each peer without fresh demand is assigned an equal part. All gateways have
// equal parts if the limit's rate is not positive. b is this gateway's bucket, nil
// before the first request. It must be called with mu held.
func (m *Manager) ownFraction(customer string, limit Limit, b *bucket, now bootclock.Instant) float64 {
	total := 1 + len(m.peers)
	demands := make([]float64, 1, total)
	if b != nil {
		demands[0] = b.demand
	}
	staleCount := 0
	for name := range m.peers {
		if !m.hasFreshDemand(name, now) {
			staleCount++
			continue
		}
		demands = append(demands, m.receivedDemands[name].demand[customer])
	}
	rate := limit.Rate * float64(total-staleCount) / float64(total)
	if limit.Rate <= 0 || rate <= 0 {
		return 1 / float64(total)
	}
	return Divide(rate, demands)[0] / limit.Rate
}

// Divide divides a rate among demands by max-min fairness and returns a share for
// each, all in tokens per second. Small demands are satisfied first, with up to
// demandHeadroom times the demand; if all are satisfied, the remainder is divided
// equally. The shares add up to the rate.
func Divide(rate float64, demands []float64) []float64 {
	shares := make([]float64, len(demands))
	unsatisfied := make([]int, len(demands))
	for i := range unsatisfied {
		unsatisfied[i] = i
	}
	remaining := rate
	for len(unsatisfied) > 0 {
		equalPart := remaining / float64(len(unsatisfied))
		var larger []int
		for _, i := range unsatisfied {
			desired := demands[i] * demandHeadroom
			if desired > equalPart {
				larger = append(larger, i)
				continue
			}
			shares[i] = desired
			remaining -= desired
		}
		if len(larger) == len(unsatisfied) {
			for _, i := range unsatisfied {
				shares[i] = equalPart
			}
			return shares
		}
		unsatisfied = larger
	}
	for i := range shares {
		shares[i] += remaining / float64(len(shares))
	}
	return shares
}
