package waitqueue

import (
	"math"
	"time"

	"github.com/greengagegate/greengagegate/internal/bootclock"
)

const (
	// estimateRounds bounds the rounds in which the work that arrives during a wait is added
	// to the wait.
	estimateRounds = 6
	// waitingTolerance is the factor by which the rest of the wait of a waiting request may
	// exceed its time left before the request is rejected.
	waitingTolerance = 1.5
	// maxRoomRateAge is the age up to which the drain rate counts more than Request.RoomIn,
	// which a single large request at each engine raises beyond any objective.
	maxRoomRateAge = 100 * time.Millisecond
	// maxWait is the longest wait that is estimated.
	maxWait = time.Hour
)

// Reason states why a request was rejected.
type Reason string

const (
	// ReasonNone is the reason of a request that may wait.
	ReasonNone Reason = ""
	// ReasonLate means that the request is not expected to begin in time.
	ReasonLate Reason = "late"
	// ReasonFull means that the queue is at its bound and holds no less urgent request.
	ReasonFull Reason = "full"
	// ReasonEvicted means that a more urgent request took the place in a full queue.
	ReasonEvicted Reason = "evicted"
	// ReasonExpired means that the time to begin has passed.
	ReasonExpired Reason = "expired"
)

// Decision is the result of a decision about a request, with what decided it.
type Decision struct {
	// Reason is ReasonNone if the request may wait.
	Reason Reason
	// Wait is the expected time until the request leaves the queue.
	Wait time.Duration
	// Ahead is the work that leaves before the request, in tokens, including what is expected
	// to arrive and overtake it.
	Ahead float64
	// TokensPerSecond is the rate at which work leaves the queue; 0 if it is not known.
	TokensPerSecond float64
	// RateAge is the time since the last request left, on which the rate is based; 0 if the
	// rate is not known.
	RateAge time.Duration
	// RetryAfter is the time after which the caller of a rejected request should return. It
	// is within Spread after the time at which room is expected, unless it is at
	// Request.MaxRetryAfter.
	RetryAfter time.Duration
	Spread     time.Duration
}

// Rejection is a waiting request that has been removed, with the reason.
type Rejection struct {
	Entry    *Entry
	Decision Decision
}

// Reject removes the waiting requests whose time to begin has passed or that can no longer
// begin in time.
func (q *Queue) Reject(now bootclock.Instant) []Rejection {
	q.drain.advance(now, q.waiting > 0)
	var rejections []Rejection
	for _, c := range q.classes {
		for _, f := range c.flows {
			for _, e := range f.entries {
				if decision := q.review(e, now); decision.Reason != ReasonNone {
					rejections = append(rejections, Rejection{Entry: e, Decision: decision})
				}
			}
		}
	}
	for i, r := range rejections {
		q.Remove(r.Entry, now)
		rejections[i].Decision = q.reject(r.Entry, r.Decision, r.Decision.Reason, now)
	}
	return rejections
}

// review decides about a waiting request.
func (q *Queue) review(e *Entry, now bootclock.Instant) Decision {
	decision := q.estimate(e, now)
	left := e.BeginBy.Sub(now)
	switch {
	case left <= 0:
		decision.Reason = ReasonExpired
	case float64(decision.Wait) > waitingTolerance*float64(left):
		decision.Reason = ReasonLate
	}
	return decision
}

// Evict returns the decision about an entry that Offer evicted.
func (q *Queue) Evict(e *Entry, now bootclock.Instant) Decision {
	return q.reject(e, q.estimate(e, now), ReasonEvicted, now)
}

// estimate returns the expected wait of an entry that waits or is offered. While the drain
// rate is unknown or older than maxRoomRateAge, the wait of an entry that has just been
// offered is at least Request.RoomIn.
func (q *Queue) estimate(e *Entry, now bootclock.Instant) Decision {
	rate, age, known := q.drain.rate(now)
	decision := Decision{TokensPerSecond: rate, RateAge: age}
	if e.ArrivedAt == now && (!known || age > maxRoomRateAge) {
		decision.Wait = max(0, e.RoomIn)
	}
	if !known {
		return decision
	}
	ahead := q.workAhead(e, now)
	// Overdue requests get agedShare of the rate however much more urgent work there is.
	longest := max(0, e.overdueAt().Sub(now)) + toWait(ahead.inClass+e.Tokens, agedShare*rate)
	wait := time.Duration(0)
	for range estimateRounds {
		decision.Ahead = ahead.within(wait)
		next := min(toWait(decision.Ahead, rate), longest)
		if next <= wait {
			break
		}
		wait = next
	}
	decision.Wait = max(decision.Wait, wait)
	return decision
}

// toWait returns the time in which an amount of work leaves at a rate.
func toWait(tokens, rate float64) time.Duration {
	if tokens <= 0 {
		return 0
	}
	seconds := tokens / rate
	if math.IsNaN(seconds) || seconds >= maxWait.Seconds() {
		return maxWait
	}
	return time.Duration(seconds * float64(time.Second))
}

// workAhead is the work that leaves before an entry, in tokens.
type workAhead struct {
	// inClass and urgent are waiting now, in the entry's class and in more urgent ones.
	inClass, urgent float64
	// urgentRate is the rate at which more urgent work arrives, in tokens per second.
	urgentRate float64
	// overtaking holds, for each other customer of the class, the rate at which its work
	// arrives and how much of it is due before the entry.
	overtaking []overtakingWork
}

type overtakingWork struct{ rate, limit float64 }

// within returns the work that leaves before the entry if that waits for the given time.
func (a *workAhead) within(wait time.Duration) float64 {
	seconds := wait.Seconds()
	ahead := a.inClass + a.urgent + a.urgentRate*seconds
	for _, work := range a.overtaking {
		ahead += min(work.rate*seconds, work.limit)
	}
	return ahead
}

// workAhead returns the work that leaves before an entry. Of its own class, that is the work
// of its customer with earlier deadlines and, of each other customer, what is due before the
// entry's start tag.
func (q *Queue) workAhead(e *Entry, now bootclock.Instant) *workAhead {
	var ahead workAhead
	c := e.class
	for _, urgent := range q.classes[:c.rank] {
		ahead.urgent += urgent.tokens
		ahead.urgentRate += urgent.admitted.perSecond(now)
	}
	tag := e.flow.tagOf(e)
	ahead.inClass = (tag - e.flow.startTag(c)) * e.flow.weight
	for _, f := range c.flows {
		if f == e.flow {
			continue
		}
		position := f.startTag(c)
		for _, other := range f.entries {
			if position > tag || position == tag && !other.BeginBy.Before(e.BeginBy) {
				break
			}
			ahead.inClass += other.Tokens
			position += other.Tokens / f.weight
		}
		if position < tag {
			ahead.overtaking = append(ahead.overtaking, overtakingWork{rate: f.admitted.perSecond(now), limit: (tag - position) * f.weight})
		}
	}
	return &ahead
}
