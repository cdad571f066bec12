// Package waitqueue orders the requests that wait at a gateway until an engine can take
// them, and decides which of them are rejected.
//
// Load pattern: in a surge the callers want 1.5 to 2.6 times what the engines of a pool can
// prefill. Short urgent requests with an objective of 400 ms compete with long ones that
// have 1,500 ms, and one customer sends up to seven times its usual load. A late response is
// worth little and delays others, so what cannot begin in time is rejected when it arrives.
//
// Requests leave by priority, then by start-time fair queueing over the customers of a
// priority, with service measured in tokens, then by deadline. Priorities are strict, except
// that a priority with an overdue request gets at least agedShare of the service; see Next.
//
// A Queue has no clock, locks or goroutines: its caller passes the time and serializes the
// calls.
package waitqueue

import (
	"slices"
	"time"

	"github.com/greengagegate/greengagegate/internal/bootclock"
)

const (
	// priorityCount is the number of priorities. Larger values count as the last one.
	priorityCount = 10
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
	// Weight is the customer's weight. Values that are not positive count as 1.
	Weight float64
	// Priority is the request's priority; 0 is the most urgent.
	Priority int
	// Tokens is the service that the request needs, in tokens. Values below 1 count as 1.
	Tokens float64
	// BeginBy is the last time at which the request may leave the queue.
	BeginBy bootclock.Instant
	// RoomIn is the time until an engine is expected to have room for the request if nothing
	// else waits.
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

// class holds the waiting requests of one priority.
type class struct {
	priority int
	// virtualTime is the largest start tag of the requests that have left, in tokens per unit
	// of weight.
	virtualTime float64
	flows       map[string]*flow
	// tokens and waiting are the sums over the waiting requests.
	tokens  float64
	waiting int
	// admitted is the rate of the requests that entered the queue or passed it.
	admitted rateMeter
	// nextReturn is when the caller that is rejected next should return at the earliest.
	nextReturn bootclock.Instant
}

// flow holds the waiting requests of one customer in one class.
type flow struct {
	customer string
	weight   float64
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
	limits  Limits
	classes [priorityCount]*class
	waiting int
	drain   drainMeter
	// agedCredit is the service that overdue requests may get before more urgent ones, in
	// tokens. They may be served while it is not negative.
	agedCredit float64
}

// New returns an empty queue.
func New(limits Limits) *Queue {
	q := &Queue{limits: limits}
	for priority := range q.classes {
		q.classes[priority] = &class{priority: priority, flows: make(map[string]*flow)}
	}
	return q
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return q.waiting }

// Pass records a request that is sent without having waited, so that the customer's share
// includes it.
func (q *Queue) Pass(r Request, now bootclock.Instant) {
	r = r.normalized()
	c := q.classes[r.Priority]
	f := c.flowFor(r)
	c.recordAdmitted(f, r.Tokens, now)
	c.charge(f, r.Tokens)
}

// Offer decides whether a request may wait, and adds it to the queue if so. The entry is nil
// if the request is rejected. evicted is a less urgent request that was removed from a full
// queue to make room, or nil.
func (q *Queue) Offer(r Request, now bootclock.Instant) (entry *Entry, decision Decision, evicted *Entry) {
	r = r.normalized()
	q.drain.advance(now, q.waiting > 0)
	c := q.classes[r.Priority]
	f := c.flowFor(r)
	entry = &Entry{Request: r, ArrivedAt: now, class: c, flow: f}
	decision = q.estimate(entry, now)
	if now.Add(decision.Wait).Before(r.BeginBy) {
		if q.waiting >= q.limits.MaxWaiting {
			if evicted = q.last(); evicted == nil || !precedes(entry, evicted) {
				return nil, q.reject(entry, decision, ReasonFull, now), nil
			}
			q.Remove(evicted)
		}
		q.insert(entry, now)
		return entry, decision, evicted
	}
	return nil, q.reject(entry, decision, ReasonLate, now), nil
}

func (r Request) normalized() Request {
	r.Priority = min(max(r.Priority, 0), priorityCount-1)
	r.Tokens = max(r.Tokens, 1)
	if r.Weight <= 0 {
		r.Weight = 1
	}
	return r
}

// flowFor returns the customer's flow and creates it if needed. It first forgets idle flows
// if there are many.
func (c *class) flowFor(r Request) *flow {
	f := c.flows[r.Customer]
	if f == nil {
		if len(c.flows) >= flowPruneThreshold {
			c.prune()
		}
		f = &flow{customer: r.Customer}
		c.flows[r.Customer] = f
	}
	f.weight = r.Weight
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
	c.tokens += e.Tokens
	c.waiting++
	q.waiting++
}

// Take removes an entry that is sent to an engine now and charges its customer.
func (q *Queue) Take(e *Entry, now bootclock.Instant) {
	q.drain.advance(now, true)
	q.drain.record(e.Tokens)
	if q.isPrecededByUrgent(e) {
		q.agedCredit -= e.Tokens
	} else {
		q.agedCredit = min(0, q.agedCredit+agedShare*e.Tokens)
	}
	e.class.charge(e.flow, e.Tokens)
	q.Remove(e)
}

// isPrecededByUrgent reports whether requests of a more urgent class are waiting.
func (q *Queue) isPrecededByUrgent(e *Entry) bool {
	for _, c := range q.classes[:e.class.priority] {
		if c.waiting > 0 {
			return true
		}
	}
	return false
}

// Remove removes an entry that leaves without having been sent. It has no effect on an entry
// that is not in the queue.
func (q *Queue) Remove(e *Entry) {
	f, c := e.flow, e.class
	i := slices.Index(f.entries, e)
	if i < 0 {
		return
	}
	f.entries = slices.Delete(f.entries, i, i+1)
	c.tokens -= e.Tokens
	c.waiting--
	q.waiting--
}

// Next returns the entry that is first in order, without the entries for which skip reports
// true, or nil if there is none. A nil skip skips nothing.
//
// The order is by priority, fair start tag and deadline. A class with an overdue entry comes
// first while agedCredit is not negative: more urgent classes get at most
// Tokens/agedShare tokens of service between two of its requests. isAged is true for such an
// entry.
func (q *Queue) Next(now bootclock.Instant, skip func(*Entry) bool) (entry *Entry, isAged bool) {
	for _, c := range q.classes {
		if entry = c.first(skip); entry != nil {
			break
		}
	}
	if entry == nil || q.agedCredit < 0 {
		return entry, false
	}
	if aged := q.firstAged(entry.class.priority, now, skip); aged != nil {
		return aged, true
	}
	return entry, false
}

// firstAged returns the first entry of the class below priority whose overdue entry has been
// overdue for longest.
func (q *Queue) firstAged(priority int, now bootclock.Instant, skip func(*Entry) bool) *Entry {
	var best *Entry
	var overdueAt bootclock.Instant
	for _, c := range q.classes[priority+1:] {
		at, ok := c.firstOverdue(now)
		if !ok || best != nil && !at.Before(overdueAt) {
			continue
		}
		if entry := c.first(skip); entry != nil {
			best, overdueAt = entry, at
		}
	}
	return best
}

// firstOverdue returns when the first overdue entry of the class became overdue.
func (c *class) firstOverdue(now bootclock.Instant) (at bootclock.Instant, ok bool) {
	if c.waiting == 0 {
		return 0, false
	}
	for _, f := range c.flows {
		for _, e := range f.entries {
			if e.isOverdue(now) && (!ok || e.overdueAt().Before(at)) {
				at, ok = e.overdueAt(), true
			}
		}
	}
	return at, ok
}

// first returns the first entry of the class by start tag and deadline.
func (c *class) first(skip func(*Entry) bool) *Entry {
	if c.waiting == 0 {
		return nil
	}
	var best *Entry
	for _, f := range c.flows {
		for _, e := range f.entries {
			if skip != nil && skip(e) {
				continue
			}
			if best == nil || precedes(e, best) {
				best = e
			}
			break
		}
	}
	return best
}

// last returns the entry that is last in order, or nil.
func (q *Queue) last() *Entry {
	for _, c := range slices.Backward(q.classes[:]) {
		var last *Entry
		var lastTag float64
		for _, f := range c.flows {
			if len(f.entries) == 0 {
				continue
			}
			e := f.entries[len(f.entries)-1]
			tag := f.tagOf(e)
			if last == nil || tag > lastTag || tag == lastTag && last.BeginBy.Before(e.BeginBy) {
				last, lastTag = e, tag
			}
		}
		if last != nil {
			return last
		}
	}
	return nil
}

// tagOf returns the start tag that an entry has, or would have, behind those entries of its
// flow that precede it.
func (f *flow) tagOf(e *Entry) float64 {
	tag := f.startTag(e.class)
	for _, other := range f.entries {
		if other == e || e.BeginBy.Before(other.BeginBy) {
			break
		}
		tag += other.Tokens / f.weight
	}
	return tag
}

// precedes reports whether a leaves before b if neither is overdue.
func precedes(a, b *Entry) bool {
	if a.class.priority != b.class.priority {
		return a.class.priority < b.class.priority
	}
	tagA, tagB := a.flow.tagOf(a), b.flow.tagOf(b)
	if tagA != tagB {
		return tagA < tagB
	}
	return a.BeginBy.Before(b.BeginBy)
}
