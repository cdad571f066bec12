// Package waitqueue orders the requests that wait at a gateway until an engine can take
// them, and decides which of them are rejected.
//
// Load pattern: in a surge the callers want 1.5 to 2.6 times what the engines of a pool can
// prefill. Short urgent requests with an objective of 400 ms compete with long ones that
// have 1,500 ms, and one customer sends up to seven times its usual load. A late response is
// worth little and delays others, so what cannot begin in time is rejected when it arrives.
//
// Requests leave by priority, then by start-time fair queueing over the customers of a
// priority, with service measured in tokens, then by deadline. Under overload, the requests
// of a customer beyond its fair share come after those that are within the shares of theirs;
// see Arrive. The order is strict, except that overdue requests get at least agedShare of the
// service; see Next.
//
// A Queue has no clock, locks or goroutines: its caller passes the time and serializes the
// calls.
package waitqueue

import (
	"slices"
	"time"

	"github.com/greengagegate/greengagegate/internal/bootclock"
	"github.com/greengagegate/greengagegate/internal/catalog"
)

const (
	// agedShare is the share of the service, in tokens, that priorities with overdue requests
	// get before more urgent ones.
	agedShare = 0.1
	// overdueFraction is the fraction of the time until a request's BeginBy after which the
	// request is overdue.
	overdueFraction = 0.5
	// flowPruneThreshold is the number of customers of a priority from which on those without
	// requests are forgotten.
	flowPruneThreshold = 256
)

// Limits holds the bounds of a queue.
type Limits struct {
	// MaxWaiting is the maximum number of waiting requests.
	MaxWaiting int
}

// Request describes a request to the queue.
type Request struct {
	Customer string
	// Weight is the customer's weight; 0 stands for the customer's usual load.
	Weight float64
	// Priority is the request's priority; 0 is the most urgent.
	Priority int
	// Tokens is the service that the request needs, in tokens. Values below 1 count as 1.
	Tokens float64
	// BeginBy is the last time at which the request may leave the queue.
	BeginBy bootclock.Instant
	// BeyondShare is the result of Arrive.
	BeyondShare bool
	// RoomIn is the time until an engine is expected to have room for the request if nothing
	// else waits. It counts only without a recent drain rate.
	RoomIn time.Duration
	// MaxRetryAfter bounds the retry time that the caller is given if the request is rejected;
	// 0 means that it is given none.
	MaxRetryAfter time.Duration
}

// Entry is a request in a queue.
type Entry struct {
	Request
	// ArrivedAt is when the request was offered.
	ArrivedAt bootclock.Instant
	class     *class
	flow      *flow
}

// isOverdue reports whether the entry has waited for overdueFraction of its time.
func (e *Entry) isOverdue(now bootclock.Instant) bool { return !now.Before(e.overdueAt()) }

func (e *Entry) overdueAt() bootclock.Instant {
	return e.ArrivedAt.Add(time.Duration(overdueFraction * float64(e.BeginBy.Sub(e.ArrivedAt))))
}

// class holds the waiting requests of one priority, or those beyond the fair shares.
type class struct {
	// rank is the position of the class in the order.
	rank int
	// virtualTime is the largest start tag of the requests that have left, in tokens per unit
	// of weight.
	virtualTime float64
	flows       map[string]*flow
	// tokens and waiting are the sums over the waiting requests.
	tokens  float64
	waiting int
	// admitted is the rate of the requests that entered the queue or passed it.
	admitted rateMeter
	// demand is the rate of all requests that arrive, over a longer time.
	demand rateMeter
	// nextReturn is when the caller that is rejected next should return at the earliest.
	nextReturn bootclock.Instant
}

// flow holds the waiting requests of one customer in one class.
type flow struct {
	weight float64
	// start is the start tag of the flow's next request: the virtual time at which the
	// service that the flow has had ends.
	start float64
	// entries are in the order of BeginBy.
	entries  []*Entry
	admitted rateMeter
}

// startTag returns the start tag of the flow's next request.
func (f *flow) startTag(c *class) float64 {
	if len(f.entries) > 0 {
		return f.start
	}
	return max(f.start, c.virtualTime)
}

// Queue is a bounded queue of the requests of one pool. It is not safe for concurrent use.
type Queue struct {
	limits Limits
	// classes are in order: one for each priority and then, in the same order, those for the
	// requests beyond the fair shares of their customers.
	classes [2 * catalog.PriorityCount]*class
	shares  *shares
	waiting int
	drain   drainMeter
	// agedCredit is the service that overdue requests may get before more urgent ones, in
	// tokens. They may be served while it is not negative.
	agedCredit float64
}

// New returns an empty queue.
func New(limits Limits) *Queue {
	q := &Queue{limits: limits, shares: newShares()}
	for rank := range q.classes {
		q.classes[rank] = &class{rank: rank, flows: make(map[string]*flow), admitted: rateMeter{timeConstant: admittedTimeConstant}, demand: rateMeter{timeConstant: demandTimeConstant}}
	}
	return q
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return q.waiting }

// Arrive records the demand of a request and reports whether it is beyond the fair share of
// its customer: under overload, it then comes after all requests that are within theirs. It
// must be called once for each request, before Pass or Offer.
func (q *Queue) Arrive(r Request, now bootclock.Instant) (beyondShare bool) {
	r = r.normalized()
	q.shares.advance(now, q.waiting > 0)
	r.BeyondShare = q.shares.arrive(&r, now)
	q.classOf(&r).demand.add(r.Tokens, now)
	return r.BeyondShare
}

// Pass records a request that is sent without having waited, so that the customer's share
// includes it.
func (q *Queue) Pass(r Request, now bootclock.Instant) {
	r = r.normalized()
	c := q.classOf(&r)
	f := c.flowFor(r, q.flowWeight(&r, now))
	c.recordAdmitted(f, r.Tokens, now)
	c.charge(f, r.Tokens)
	q.shares.served.add(r.Tokens, now)
	if !r.BeyondShare {
		q.shares.charge(&r, r.Tokens, now)
	}
}

func (q *Queue) classOf(r *Request) *class {
	if r.BeyondShare {
		return q.classes[catalog.PriorityCount+r.Priority]
	}
	return q.classes[r.Priority]
}

func (q *Queue) flowWeight(r *Request, now bootclock.Instant) float64 {
	return q.shares.weight(q.shares.of(r.Customer, now))
}

// Offer decides whether a request may wait, and adds it to the queue if so. The entry is nil
// if the request is rejected. evicted is a less urgent request that was removed from a full
// queue to make room, or nil.
func (q *Queue) Offer(r Request, now bootclock.Instant) (entry *Entry, decision Decision, evicted *Entry) {
	r = r.normalized()
	q.drain.advance(now, q.waiting > 0)
	q.shares.advance(now, true)
	c := q.classOf(&r)
	f := c.flowFor(r, q.flowWeight(&r, now))
	entry = &Entry{Request: r, ArrivedAt: now, class: c, flow: f}
	decision = q.estimate(entry, now)
	if now.Add(decision.Wait).Before(r.BeginBy) {
		if q.waiting >= q.limits.MaxWaiting {
			if evicted = q.last(); evicted == nil || !precedes(entry, evicted) {
				return nil, q.reject(entry, decision, ReasonFull, now), nil
			}
			q.Remove(evicted, now)
		}
		q.insert(entry, now)
		return entry, decision, evicted
	}
	return nil, q.reject(entry, decision, ReasonLate, now), nil
}

func (r Request) normalized() Request {
	r.Priority = catalog.ClampPriority(r.Priority)
	r.Tokens = max(r.Tokens, 1)
	return r
}

// flowFor returns the customer's flow and creates it if needed. It first forgets idle flows
// if there are many.
func (c *class) flowFor(r Request, weight float64) *flow {
	f := c.flows[r.Customer]
	if f == nil {
		if len(c.flows) >= flowPruneThreshold {
			c.prune()
		}
		f = &flow{admitted: rateMeter{timeConstant: admittedTimeConstant}}
		c.flows[r.Customer] = f
	}
	f.weight = weight
	return f
}

// prune forgets the flows without requests whose service has ended.
func (c *class) prune() {
	for customer, f := range c.flows {
		if len(f.entries) == 0 && f.start <= c.virtualTime {
			delete(c.flows, customer)
		}
	}
}

func (c *class) recordAdmitted(f *flow, tokens float64, now bootclock.Instant) {
	f.admitted.add(tokens, now)
	c.admitted.add(tokens, now)
}

// charge records service of a flow.
func (c *class) charge(f *flow, tokens float64) {
	start := f.startTag(c)
	c.virtualTime = max(c.virtualTime, start)
	f.start = start + tokens/f.weight
}

func (q *Queue) insert(e *Entry, now bootclock.Instant) {
	c, f := e.class, e.flow
	f.start = f.startTag(c)
	i := len(f.entries)
	for i > 0 && e.BeginBy.Before(f.entries[i-1].BeginBy) {
		i--
	}
	f.entries = slices.Insert(f.entries, i, e)
	c.recordAdmitted(f, e.Tokens, now)
	if !e.BeyondShare {
		q.shares.charge(&e.Request, e.Tokens, now)
	}
	c.tokens += e.Tokens
	c.waiting++
	q.waiting++
}

// Take removes an entry that is sent to an engine now and charges its customer.
func (q *Queue) Take(e *Entry, now bootclock.Instant) {
	q.drain.advance(now, true)
	q.drain.record(e.Tokens)
	q.shares.served.add(e.Tokens, now)
	if q.isPrecededByUrgent(e) {
		q.agedCredit -= e.Tokens
	} else {
		q.agedCredit = min(0, q.agedCredit+agedShare*e.Tokens)
	}
	e.class.charge(e.flow, e.Tokens)
	q.remove(e)
}

// isPrecededByUrgent reports whether requests of a more urgent class are waiting.
func (q *Queue) isPrecededByUrgent(e *Entry) bool {
	for _, c := range q.classes[:e.class.rank] {
		if c.waiting > 0 {
			return true
		}
	}
	return false
}

// Remove removes an entry that leaves without having been sent. It has no effect on an entry
// that is not in the queue.
func (q *Queue) Remove(e *Entry, now bootclock.Instant) {
	if q.remove(e) && !e.BeyondShare {
		q.shares.charge(&e.Request, -e.Tokens, now)
	}
}

// remove removes an entry and reports whether it was in the queue.
func (q *Queue) remove(e *Entry) bool {
	f, c := e.flow, e.class
	i := slices.Index(f.entries, e)
	if i < 0 {
		return false
	}
	f.entries = slices.Delete(f.entries, i, i+1)
	c.tokens -= e.Tokens
	c.waiting--
	q.waiting--
	return true
}
