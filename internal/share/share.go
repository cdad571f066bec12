// Package share divides each customer's limit among gateways by demand. A
// gateway spends from a bucket of its own, whose rate is its share of the
// customer's rate. Shares follow from the demands that gateways tell each other
// a few times a second. Half of each limit is not divided but pooled at one of
// the gateways, the customer's owner, which is asked when a bucket is short: with
// many gateways a bucket alone is less than a single request.
//
// Load pattern: connections are spread unevenly over few gateways, and one
// customer sends several times its rate for some seconds, often through one
// gateway. A gateway that hears nothing of the others falls back to an equal
// part of the limit, and the others count it with that part, so that the sum
// stays within the limit while the gateways are cut off from each other.
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
	// headroom is how much more than its demand a gateway is given first.
	headroom = 1.25
	// pooledPart is the part of each limit that is kept at the customer's owner.
	pooledPart = 0.5
	// StaleAfter is how long a peer's demand is relied on.
	StaleAfter = 1200 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound what refused callers are told.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 2 * time.Second
)

// Limit is a customer's limit over all gateways, in tokens a second and tokens.
type Limit struct{ Rate, Burst float64 }

// Demand is what a gateway's callers ask for, in tokens a second by customer.
type Demand map[string]float64

const (
	// tinyPart is the size, as a part of the gateway's bucket, up to which requests
	// need not leave anything for larger ones.
	tinyPart = 1.0 / 32
	// largePart is the size from which the bucket saves for a refused request.
	largePart = 1.0 / 4
	// savedPart is the part of what comes in that is saved for large requests
	// while they are refused, so that many small ones do not starve them.
	savedPart = 0.5
	// savedFor is how long the bucket saves after a large request was refused.
	savedFor = time.Second
)

type account struct {
	tokens float64
	filled bootclock.Instant
	// saved are the tokens that only large requests may take.
	saved      float64
	savedUntil bootclock.Instant
	// asked are the tokens asked for since counted, refused ones included.
	asked   float64
	counted bootclock.Instant
	demand  float64
}

// fill adds what has come in since the last call.
func (a *account) fill(rate, depth float64, now bootclock.Instant) {
	incoming := rate * now.Sub(a.filled).Seconds()
	a.filled = now
	a.tokens = min(depth, a.tokens+incoming)
	if !now.Before(a.savedUntil) {
		a.saved = 0
		return
	}
	a.saved = min(a.tokens, a.saved+savedPart*incoming)
}

// take spends tokens if there are enough, and returns how many are missing. A
// request that is larger than the bucket takes a full one below zero.
func (a *account) take(tokens, depth float64, now bootclock.Instant) (missing float64) {
	need := min(tokens, depth)
	switch {
	case tokens > largePart*depth:
		if a.tokens < need {
			a.savedUntil = now.Add(savedFor)
			return need - a.tokens
		}
		a.saved = 0
	case tokens > tinyPart*depth:
		need += max(a.saved, 0)
	}
	if a.tokens < need {
		return need - a.tokens
	}
	a.tokens -= tokens
	return 0
}

type report struct {
	demand Demand
	heard  bootclock.Instant
}

// Manager keeps this gateway's shares. It is safe for concurrent use.
type Manager struct {
	name string
	now  func() bootclock.Instant
	// slack is what may be spent beyond a customer's limit over all gateways.
	slack float64

	mu       sync.Mutex
	accounts map[string]*account
	// pools are the pooled parts of the customers that this gateway owns, or has owned.
	pools   map[string]*account
	reports map[string]report
	// registered are the names of the other gateways that may be at work.
	registered map[string]bool
}

// New returns a manager of the gateway with a name, without peers. slack is the
// number of tokens that all gateways together may spend beyond a customer's limit
// in any window. A nil now stands for bootclock.Now.
func New(name string, slack float64, now func() bootclock.Instant) *Manager {
	if now == nil {
		now = bootclock.Now
	}
	return &Manager{
		name:       name,
		pools:      make(map[string]*account),
		now:        now,
		slack:      slack,
		accounts:   make(map[string]*account),
		reports:    make(map[string]report),
		registered: make(map[string]bool),
	}
}

// SetPeers replaces the names of the other gateways that may be at work.
func (m *Manager) SetPeers(names []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.registered = make(map[string]bool, len(names))
	for _, name := range names {
		m.registered[name] = true
	}
}

// UpdatePeerDemand takes a peer's demand.
func (m *Manager) UpdatePeerDemand(peer string, demand Demand) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reports[peer] = report{demand: demand, heard: m.now()}
	m.registered[peer] = true
}

// Demand returns what this gateway's callers ask for.
func (m *Manager) Demand() Demand {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	demand := make(Demand, len(m.accounts))
	for customer, a := range m.accounts {
		a.count(now)
		if a.demand >= 1 {
			demand[customer] = a.demand
		}
	}
	return demand
}

// count folds what was asked since the last call into the average.
func (a *account) count(now bootclock.Instant) {
	elapsed := now.Sub(a.counted)
	if elapsed < demandWindow/10 {
		return
	}
	weight := min(1, elapsed.Seconds()/demandWindow.Seconds())
	a.demand += weight * (a.asked/elapsed.Seconds() - a.demand)
	a.asked, a.counted = 0, now
}

// Decision is the decision on a request.
type Decision struct {
	Admitted bool
	// Owner is the gateway that may grant the tokens from the customer's pool; empty
	// when the decision is final.
	Owner string
	// RetryAfter is when there may be enough tokens.
	RetryAfter time.Duration
}

// Admit spends tokens of a customer, or names the owner who may grant them. The
// slack makes the buckets deeper. A request that is larger than a bucket waits
// until the bucket is full, and takes it below zero.
func (m *Manager) Admit(customer string, limit Limit, tokens float64) Decision {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	a := m.accounts[customer]
	own := limit.part((1-pooledPart)*m.fraction(customer, limit, a, now), m.slack)
	if a == nil {
		a = newAccount(own, now)
		m.accounts[customer] = a
	}
	a.asked += tokens
	a.count(now)
	a.fill(own.Rate, own.Burst, now)
	missing := a.take(tokens, own.Burst, now)
	if missing <= 0 {
		return Decision{Admitted: true}
	}
	if owner := m.owner(customer, now); owner != m.name {
		return Decision{Owner: owner, RetryAfter: waitFor(missing, own.Rate)}
	}
	return m.grant(customer, limit, tokens, now)
}

// GrantFromPool spends tokens of the pool of a customer, for another gateway.
func (m *Manager) GrantFromPool(customer string, limit Limit, tokens float64) Decision {
	m.mu.Lock()
	defer m.mu.Unlock()
	answer := m.grant(customer, limit, tokens, m.now())
	if answer.Admitted {
		metrics.Counter("share.lent_tokens", "customer", customer).Inc(int64(tokens))
	}
	return answer
}

// grant spends tokens of a pool; m.mu is held. The pool shrinks with the number
// of gateways that are heard, so that the pools of parts of the fleet which are
// cut off from each other stay within the limit together.
func (m *Manager) grant(customer string, limit Limit, tokens float64, now bootclock.Instant) Decision {
	heard, total := 1, 1+len(m.registered)
	for name := range m.registered {
		if m.isHeard(name, now) {
			heard++
		}
	}
	pooled := limit.part(pooledPart*float64(heard)/float64(total), m.slack)
	p := m.pools[customer]
	if p == nil {
		// A former owner may have spent the burst a moment ago.
		p = newAccount(Limit{}, now)
		m.pools[customer] = p
	}
	p.fill(pooled.Rate, pooled.Burst, now)
	missing := p.take(tokens, pooled.Burst, now)
	if missing <= 0 {
		return Decision{Admitted: true}
	}
	return Decision{RetryAfter: waitFor(missing, pooled.Rate)}
}

func (m *Manager) isHeard(name string, now bootclock.Instant) bool {
	r, ok := m.reports[name]
	return ok && now.Sub(r.heard) <= StaleAfter
}

// owner returns the gateway that keeps a customer's pool, among those that are
// heard; m.mu is held.
func (m *Manager) owner(customer string, now bootclock.Instant) string {
	contest := rendezvous.New[string](customer)
	contest.Offer(m.name, m.name)
	for name := range m.registered {
		if m.isHeard(name, now) {
			contest.Offer(name, name)
		}
	}
	return contest.Best()
}

// part returns a part of a limit, with that part of the slack in its burst.
func (l Limit) part(fraction, slack float64) Limit {
	return Limit{Rate: l.Rate * fraction, Burst: (l.Burst + slack) * fraction}
}

func newAccount(limit Limit, now bootclock.Instant) *account {
	return &account{tokens: limit.Burst, filled: now, counted: now}
}

// waitFor returns when tokens that are missing may be there.
func waitFor(missing, rate float64) time.Duration {
	wait := time.Duration(missing / max(rate, 1) * float64(time.Second))
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

// Refund gives back tokens of a request that has not run.
func (m *Manager) Refund(customer string, tokens float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if a := m.accounts[customer]; a != nil {
		a.tokens += tokens
	}
}

// fraction returns this gateway's part of a customer's limit; m.mu is held.
func (m *Manager) fraction(customer string, limit Limit, own *account, now bootclock.Instant) float64 {
	total := 1 + len(m.registered)
	demands := make([]float64, 1, total)
	if own != nil {
		demands[0] = own.demand
	}
	silent := 0
	for name := range m.registered {
		if !m.isHeard(name, now) {
			silent++
			continue
		}
		demands = append(demands, m.reports[name].demand[customer])
	}
	rate := limit.Rate * float64(total-silent) / float64(total)
	if limit.Rate <= 0 || rate <= 0 {
		return 1 / float64(total)
	}
	return Divide(rate, demands)[0] / limit.Rate
}

// Divide gives each demand what it asks for with some headroom, the smallest
// first, and divides what remains equally. The sum is the rate.
func Divide(rate float64, demands []float64) []float64 {
	shares := make([]float64, len(demands))
	open := make([]int, len(demands))
	for i := range open {
		open[i] = i
	}
	left := rate
	for len(open) > 0 {
		equal := left / float64(len(open))
		var larger []int
		for _, i := range open {
			want := demands[i] * headroom
			if want > equal {
				larger = append(larger, i)
				continue
			}
			shares[i] = want
			left -= want
		}
		if len(larger) == len(open) {
			for _, i := range open {
				shares[i] = equal
			}
			return shares
		}
		open = larger
	}
	for i := range shares {
		shares[i] += left / float64(len(shares))
	}
	return shares
}
