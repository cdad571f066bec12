package permit

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/greengagegate/greengagegate/internal/bootclock"
	"github.com/greengagegate/greengagegate/internal/eviction"
)

const (
	// maxRetryAfter bounds the time after which a gateway asks again.
	maxRetryAfter = 2 * time.Second
	// maxInterval and maxBurst bound the fields of valid requests.
	maxInterval = time.Hour
	maxBurst    = 1e6
	// maxResources bounds the resources that a pacer remembers. Beyond it, those whose
	// next use was free first are forgotten.
	maxResources = 4096
)

// Request asks for one use of a resource that all gateways share. Interval must be above 0
// and up to an hour, Burst a number up to a million.
type Request struct {
	// Resource names the resource.
	Resource string
	// Interval is the mean time between two uses by all gateways together, at least.
	Interval time.Duration
	// Burst is how many uses may follow each other at once after a pause. Values below 1
	// count as 1.
	Burst float64
}

// isValid reports whether the fields are in range. NaN is not.
func (r *Request) isValid() bool {
	return r.Interval > 0 && r.Interval <= maxInterval && r.Burst <= maxBurst
}

// Decision is the answer to a Request.
type Decision struct {
	Granted bool
	// RetryAfter is the time after which to ask again; 0 if the use is granted.
	RetryAfter time.Duration
}

// pacer spaces the uses of resources. It is safe for concurrent use.
type pacer struct {
	mu        sync.Mutex
	resources map[string]*schedule
}

// schedule is when a resource may be used.
type schedule struct {
	// next is when the next use is free. It lies in the past by up to the burst.
	next bootclock.Instant
	// announced is the latest time at which a gateway was told to ask again.
	announced bootclock.Instant
}

func newPacer() *pacer { return &pacer{resources: make(map[string]*schedule)} }

// take uses the resource if it is free. ratio is the part of the uses that this pacer may
// grant, above 0 and up to 1. A resource that it doesn't know is free once, without a burst.
func (p *pacer) take(request Request, ratio float64, now bootclock.Instant) Decision {
	p.mu.Lock()
	defer p.mu.Unlock()
	interval := time.Duration(float64(request.Interval) / ratio)
	s := p.resources[request.Resource]
	if s == nil {
		s = &schedule{next: now}
		p.resources[request.Resource] = s
		for _, name := range eviction.Oldest(p.resources, maxResources, func(s *schedule) bootclock.Instant { return s.next }) {
			delete(p.resources, name)
		}
	}
	slack := time.Duration((max(request.Burst, 1) - 1) * float64(interval))
	s.next = max(s.next, now.Add(-slack))
	if now.Before(s.next) {
		return Decision{RetryAfter: s.announce(interval, now)}
	}
	s.next = s.next.Add(interval)
	return Decision{Granted: true}
}

// announce returns the time after which a gateway that was refused asks again. Each one gets
// another time, so that they don't all come back for one use.
func (s *schedule) announce(interval time.Duration, now bootclock.Instant) time.Duration {
	at := max(s.announced, s.next)
	if retryAfter := at.Sub(now); retryAfter <= maxRetryAfter {
		s.announced = at.Add(interval)
		return retryAfter
	}
	return maxRetryAfter/2 + time.Duration(rand.Int64N(int64(maxRetryAfter/2)))
}
