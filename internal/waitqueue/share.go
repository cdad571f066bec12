package waitqueue

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/greengagegate/greengagegate/internal/bootclock"
	"github.com/greengagegate/greengagegate/internal/catalog"
)

const (
	// shareTimeConstant is the time in which the weight of a request in a customer's demand
	// and in the service of all falls to 1/e. A gateway gets a request of one customer only
	// every few seconds.
	shareTimeConstant = 20 * time.Second
	// usualTimeConstant is the same for a customer's usual load, counted in time without
	// overload, so that a surge does not count as usual.
	usualTimeConstant = 60 * time.Second
	// minShareTime is the least time over which demand and service count as averaged.
	minShareTime = time.Second
	// minUsualTime is the time without overload after which usual loads are known. Until
	// then, all customers have the same weight.
	minUsualTime = 3 * time.Second
	// usualPrior is the number of requests with which the mean of all customers counts in a
	// customer's usual load, which is uncertain for customers with few requests.
	usualPrior = 4
	// shareSlack is the multiple of its fair share up to which a customer's requests keep
	// their priority. With it, a customer at seven times its usual load of short requests
	// leaves the others 0.8 of the mean share, and most short requests still come first.
	shareSlack = 1.25
	// shareBurst bounds what a customer saves up or owes, as service at its share. One request
	// may exceed it.
	shareBurst = 2 * time.Second
	// shareInterval is the time between two computations of the shares.
	shareInterval = 50 * time.Millisecond
	// overloadPeriod is how long the queue counts as overloaded after requests last waited in
	// it or were rejected.
	overloadPeriod = time.Second
	// customerPruneThreshold is the number of customers from which on those without demand are
	// forgotten.
	customerPruneThreshold = 256
	// minDemand is the demand below which a customer may be forgotten, and the service below which
	// there are no fair shares, in tokens per second.
	minDemand = 1
)

// shares measures what each customer asks for and gets, and finds which requests are beyond
// the fair share of their customer. Fair shares are max-min: what a customer does not ask for
// is divided among the others in proportion to their weights.
type shares struct {
	customers map[string]*customerShare
	served    rateMeter
	// startedAt is when the first request arrived.
	startedAt bootclock.Instant
	// overloadedAt is when the queue was last overloaded.
	overloadedAt bootclock.Instant
	// calmTime is the time without overload up to advancedAt.
	calmTime   bootclock.Instant
	advancedAt bootclock.Instant
	// level is the fair share per unit of weight, in tokens per second, at levelAt; infinite
	// if everybody gets what it asks for, there is one customer, or nothing was served yet.
	level      float64
	levelAt    bootclock.Instant
	meanUsual  float64
	usualKnown bool
}

// customerShare is what is known of a customer.
type customerShare struct {
	demand, usual rateMeter
	// usualCount measures the number of requests in usual, per second.
	usualCount rateMeter
	// configured is the weight that the requests state; 0 if they state none.
	configured float64
	// credit holds for each priority the service that the customer may still get at its share
	// with requests of this priority and more urgent ones, in seconds of its share.
	credit     [catalog.PriorityCount]float64
	creditedAt bootclock.Instant
}

func newShares() *shares {
	return &shares{
		customers: make(map[string]*customerShare), level: math.Inf(1),
		served: rateMeter{timeConstant: shareTimeConstant},
	}
}

// of returns what is known of a customer.
func (s *shares) of(customer string, now bootclock.Instant) *customerShare {
	known := s.customers[customer]
	if known == nil {
		if len(s.customers) >= customerPruneThreshold {
			s.prune(now)
		}
		known = &customerShare{
			demand: rateMeter{timeConstant: shareTimeConstant}, usual: rateMeter{timeConstant: usualTimeConstant},
			usualCount: rateMeter{timeConstant: usualTimeConstant}, creditedAt: now,
		}
		for priority := range known.credit {
			known.credit[priority] = shareBurst.Seconds()
		}
		s.customers[customer] = known
	}
	return known
}

func (s *shares) prune(now bootclock.Instant) {
	for customer, known := range s.customers {
		if known.demand.perSecond(now) < minDemand {
			delete(s.customers, customer)
		}
	}
}

// advance counts the time since the last call as calm or overloaded.
func (s *shares) advance(now bootclock.Instant, isOverloaded bool) {
	if isOverloaded {
		s.overloadedAt = now
	}
	if s.startedAt == 0 {
		s.startedAt = now
	}
	if s.advancedAt > 0 && !s.isOverloaded(now) {
		s.calmTime = s.calmTime.Add(max(0, now.Sub(s.advancedAt)))
	}
	s.advancedAt = max(s.advancedAt, now)
}

func (s *shares) isOverloaded(now bootclock.Instant) bool {
	return s.overloadedAt > 0 && now.Sub(s.overloadedAt) < overloadPeriod
}

// arrive records a request that arrives and reports whether it is beyond its customer's fair
// share.
func (s *shares) arrive(r *Request, now bootclock.Instant) (isBeyond bool) {
	known := s.of(r.Customer, now)
	known.configured = r.Weight
	known.demand.add(r.Tokens, now)
	if !s.isOverloaded(now) {
		known.usual.add(r.Tokens, s.calmTime)
		known.usualCount.add(1, s.calmTime)
		return false
	}
	s.updateLevel(now)
	known.refill(now)
	return !math.IsInf(s.level, 1) && known.credit[r.Priority] <= 0
}

// charge records service of a request that is within its customer's share. Negative tokens
// give back the service of a request that has left without it.
func (s *shares) charge(r *Request, tokens float64, now bootclock.Instant) {
	if math.IsInf(s.level, 1) || !s.isOverloaded(now) {
		return
	}
	known := s.of(r.Customer, now)
	known.refill(now)
	perSecond := shareSlack * s.level * s.weight(known)
	cost := tokens / perSecond
	burst := max(shareBurst.Seconds(), cost)
	for priority := r.Priority; priority < catalog.PriorityCount; priority++ {
		known.credit[priority] = min(shareBurst.Seconds(), max(-burst, known.credit[priority]-cost))
	}
}

// refill adds the time since the last call to the credit.
func (c *customerShare) refill(now bootclock.Instant) {
	elapsed := now.Sub(c.creditedAt).Seconds()
	c.creditedAt = now
	for priority := range c.credit {
		c.credit[priority] = min(shareBurst.Seconds(), c.credit[priority]+elapsed)
	}
}

// weight returns a customer's weight: the configured one, or its usual load.
func (s *shares) weight(c *customerShare) float64 {
	switch {
	case c.configured > 0:
		return c.configured
	case !s.usualKnown || s.meanUsual <= 0:
		return 1
	default:
		count := c.usualCount.perSecond(s.calmTime) * usualTimeConstant.Seconds()
		return (count*c.usual.perSecond(s.calmTime)/s.meanUsual + usualPrior) / (count + usualPrior)
	}
}

// updateLevel computes level from the demand of the customers and the service that all of
// them get.
func (s *shares) updateLevel(now bootclock.Instant) {
	if s.levelAt > 0 && now.Sub(s.levelAt) < shareInterval {
		return
	}
	s.levelAt = now
	s.updateUsual()
	type claim struct{ demand, weight float64 }
	claims := make([]claim, 0, len(s.customers))
	weights := 0.0
	for _, known := range s.customers {
		c := claim{demand: known.demand.perSecond(now), weight: s.weight(known)}
		claims = append(claims, c)
		weights += c.weight
	}
	slices.SortFunc(claims, func(a, b claim) int { return cmp.Compare(a.demand/a.weight, b.demand/b.weight) })
	s.level = math.Inf(1)
	left := s.served.perSecond(now)
	if len(claims) < 2 || left < minDemand {
		return
	}
	for _, c := range claims {
		if c.demand/c.weight > left/weights {
			s.level = left / weights / s.averaged(now)
			return
		}
		left -= c.demand
		weights -= c.weight
	}
}

// averaged returns the part of the true rates that the meters show, which is below 1 until
// they have run for several times shareTimeConstant.
func (s *shares) averaged(now bootclock.Instant) float64 {
	age := max(minShareTime, now.Sub(s.startedAt))
	return 1 - math.Exp(-float64(age)/float64(shareTimeConstant))
}

// updateUsual computes the mean of the usual loads.
func (s *shares) updateUsual() {
	sum := 0.0
	for _, known := range s.customers {
		sum += known.usual.perSecond(s.calmTime)
	}
	s.meanUsual = sum / float64(max(1, len(s.customers)))
	s.usualKnown = time.Duration(s.calmTime) >= minUsualTime
}
