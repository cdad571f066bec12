package gateway

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/greengagegate/greengagegate/internal/balancer"
	"github.com/greengagegate/greengagegate/internal/bootclock"
	"github.com/greengagegate/greengagegate/internal/contain"
	"github.com/greengagegate/greengagegate/internal/metrics"
	"github.com/greengagegate/greengagegate/internal/waitqueue"
)

const (
	// maxWaitingRequests bounds the requests that wait in the queue of one pool.
	maxWaitingRequests = 256
	// queueWaitFraction bounds the time from a request's arrival until it leaves the queue, as
	// a fraction of the route's objective. The request's own prefill is subtracted.
	queueWaitFraction = 0.8
	// pollsPerReview is the number of polls of a queue for each review of all waiting requests.
	pollsPerReview = 5
	// maxPassedOver bounds the requests for which one poll asks the balancer.
	maxPassedOver = 8
	// maxQueueRetryFraction bounds the retry time as a fraction of the time that the caller
	// has left. Callers honour no longer times.
	maxQueueRetryFraction = 1.0 / 3
)

// poolQueues holds the queues of a gateway by pool. The zero value is ready for use. It is
// safe for concurrent use.
type poolQueues struct {
	mu     sync.Mutex
	byPool map[string]*poolQueue
	closed bool
}

// of returns the queue of a pool and creates it if necessary.
func (q *poolQueues) of(g *Gateway, pool string) *poolQueue {
	q.mu.Lock()
	defer q.mu.Unlock()
	p := q.byPool[pool]
	if p == nil {
		if q.byPool == nil {
			q.byPool = make(map[string]*poolQueue)
		}
		p = &poolQueue{
			gateway: g, pool: pool, queue: waitqueue.New(waitqueue.Limits{MaxWaiting: maxWaitingRequests}),
			waiters: make(map[*waitqueue.Entry]*waiter), closed: q.closed,
		}
		q.byPool[pool] = p
	}
	return p
}

// all returns the queues.
func (q *poolQueues) all() []*poolQueue {
	q.mu.Lock()
	defer q.mu.Unlock()
	queues := make([]*poolQueue, 0, len(q.byPool))
	for _, p := range q.byPool {
		queues = append(queues, p)
	}
	return queues
}

// close refuses all waiting requests and those that would wait from now on.
func (q *poolQueues) close() {
	q.mu.Lock()
	q.closed = true
	q.mu.Unlock()
	for _, p := range q.all() {
		p.close()
	}
}

// poolQueue is the queue of one pool. Its requests wait in their own goroutines; one more
// goroutine per pool polls the balancer for the first of them while any wait. A granted turn
// ends with the send, so that the balancer counts the request before the next turn.
type poolQueue struct {
	gateway *Gateway
	pool    string

	mu      sync.Mutex
	queue   *waitqueue.Queue
	waiters map[*waitqueue.Entry]*waiter
	urgency urgency
	closed  bool
	// polling is true while the goroutine runs, polls the number of its polls so far.
	polling bool
	polls   int
	// turns is the number of granted turns that have not ended.
	turns int
}

// waiter is a waiting request. While it is in the queue, its job's pickRequest belongs to the
// holder of poolQueue.mu.
type waiter struct {
	job *job
	// result receives nil when the request's turn has come, and otherwise its refusal.
	result   chan *refusal
	joinedAt bootclock.Instant
	// decision is the last decision about the request.
	decision waitqueue.Decision
}

// mayWaitFor reports whether a request waits in the queue although no upstream is usable,
// because those that exist are full for the moment.
func (j *job) mayWaitFor(choice *balancer.Choice) bool {
	return j.usesQueue() && choice.Excluded.AtConnectionLimit+choice.Excluded.BackingOff > 0
}

// usesQueue reports whether the next send of the request is subject to the queue. A request
// that already had an attempt is not, because its caller has already waited.
func (j *job) usesQueue() bool {
	return j.gateway.Bounds.Queue && j.pool.Engine != nil && len(j.attempts) == 0 && j.route.LatencyObjective > 0
}

// awaitTurn returns a refusal if the request must not be sent because the engines are busy.
// With a queue, it first blocks until the request's turn has come, the request is rejected or
// ctx ends; waited is true if it has blocked, so that an upstream must be picked again.
func (j *job) awaitTurn(ctx context.Context, choice *balancer.Choice) (waited bool, refused *refusal) {
	switch {
	case !j.usesQueue():
		return false, j.checkOverload(choice.ExpectedWaitMS)
	case j.mayPass:
		return false, nil
	}
	p := j.gateway.queues.of(j.gateway, j.pool.Name)
	entry, w, refused := p.join(j, choice)
	if w == nil {
		return false, refused
	}
	select {
	case refused = <-w.result:
	case <-ctx.Done():
		refused = p.leave(j, entry, w)
	}
	j.recordWait(w)
	return true, refused
}

// join passes a request for which there is room and no other waits, which returns no waiter,
// or adds it to the queue, or refuses it.
func (p *poolQueue) join(j *job, choice *balancer.Choice) (*waitqueue.Entry, *waiter, *refusal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := bootclock.Now()
	p.urgency.record(j.priority(), j.route.LatencyObjective, now)
	if p.closed {
		return nil, nil, refusedStopping
	}
	request := j.queueRequest(choice, now)
	request.BeyondShare = p.queue.Arrive(request, now)
	j.beyondShare = request.BeyondShare
	request.RoomIn = p.roomIn(j, choice, now)
	if p.queue.Len() == 0 && p.turns == 0 && p.hasRoom(j, choice, false, now) {
		p.queue.Pass(request, now)
		j.mayPass = true
		return nil, nil, nil
	}
	entry, decision, evicted := p.queue.Offer(request, now)
	if evicted != nil {
		p.refuse(evicted, p.queue.Evict(evicted, now))
	}
	if entry == nil {
		j.outcome.wait = &waitRecord{decision: decision, beyondShare: j.beyondShare}
		return nil, nil, busyRefusal(&decision)
	}
	w := &waiter{job: j, result: make(chan *refusal, 1), joinedAt: now, decision: decision}
	p.waiters[entry] = w
	p.startPolling()
	p.dispatch()
	return entry, w, nil
}

// queueRequest describes the request to its queue.
func (j *job) queueRequest(choice *balancer.Choice, now bootclock.Instant) waitqueue.Request {
	objective := j.route.LatencyObjective
	timeToBegin := time.Duration(queueWaitFraction*float64(objective)) - countedWork(choice, objective)
	tokens := choice.MissingTokens
	if choice.Upstream == nil {
		tokens = j.call.PromptTokens
	}
	return waitqueue.Request{
		Customer:      j.customerName(),
		Priority:      j.priority(),
		Tokens:        float64(tokens + j.call.OutputTokens),
		BeginBy:       min(j.arrivedAt.Add(timeToBegin), j.deadline.Add(-minTimeLeft)),
		MaxRetryAfter: time.Duration(maxQueueRetryFraction * float64(j.deadline.Sub(now))),
	}
}

// busyRefusal returns the refusal for a decision, and counts it.
func busyRefusal(decision *waitqueue.Decision) *refusal {
	metrics.Counter("gateway.queue_refusals", "reason", string(decision.Reason)).Inc(1)
	return &refusal{http.StatusServiceUnavailable, "upstreams-busy", decision.RetryAfter}
}

// leave removes a request whose context has ended and returns its refusal. It returns nil if
// the request's turn has come in the meantime.
func (p *poolQueue) leave(j *job, entry *waitqueue.Entry, w *waiter) *refusal {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, waiting := p.waiters[entry]; !waiting {
		return <-w.result
	}
	p.queue.Remove(entry, bootclock.Now())
	delete(p.waiters, entry)
	if j.callerLeft() {
		j.outcome.err = errCallerLeft
		return refusedCallerLeft
	}
	return j.unservedRefusal()
}

// refuse answers a waiting request that has been removed from the queue. p.mu must be held.
func (p *poolQueue) refuse(entry *waitqueue.Entry, decision waitqueue.Decision) {
	w := p.waiters[entry]
	delete(p.waiters, entry)
	w.decision = decision
	w.result <- busyRefusal(&decision)
}

// close refuses all waiting requests and those that would wait from now on.
func (p *poolQueue) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for entry, w := range p.waiters {
		p.queue.Remove(entry, bootclock.Now())
		w.result <- refusedStopping
	}
	clear(p.waiters)
}

// startPolling starts the goroutine that polls while requests wait. p.mu must be held.
func (p *poolQueue) startPolling() {
	if p.polling {
		return
	}
	p.polling = true
	go func() {
		for p.poll() {
			time.Sleep(pickInterval)
		}
	}()
}

// poll grants turns and rejects requests that are late. It reports false when none wait. After
// a panic it reports true, so that those that still wait are polled again.
func (p *poolQueue) poll() (more bool) {
	defer contain.Panics(p.gateway.Log, "gateway", p.pool)
	p.mu.Lock()
	defer p.mu.Unlock()
	more = true
	if len(p.waiters) == 0 {
		p.polling = false
		return false
	}
	// A turn that has not ended by now, for example because its request waits for a permit,
	// holds up the others no longer.
	p.turns = 0
	p.polls++
	if p.polls%pollsPerReview == 0 {
		for _, rejection := range p.queue.Reject(bootclock.Now()) {
			p.refuse(rejection.Entry, rejection.Decision)
		}
	}
	p.dispatch()
	return more
}

// dispatch grants the first waiting request its turn if an engine has room for it and no
// other turn is open. Requests for which no upstream is usable at all are passed over. p.mu
// must be held.
func (p *poolQueue) dispatch() {
	upstreams := p.gateway.Catalog.Upstreams()
	if p.turns > 0 || upstreams == nil {
		return
	}
	var unusable map[*waitqueue.Entry]bool
	now := bootclock.Now()
	for range maxPassedOver {
		entry, isAged := p.queue.Next(now, func(e *waitqueue.Entry) bool { return unusable[e] })
		if entry == nil {
			return
		}
		w := p.waiters[entry]
		w.job.updateTargetVersion()
		choice, ok := p.gateway.Balancer.Estimate(upstreams.ByPool[p.pool], &w.job.pickRequest)
		if ok {
			if p.hasRoom(w.job, &choice, isAged, now) {
				p.grant(entry, w, now)
			}
			return
		}
		if unusable == nil {
			unusable = make(map[*waitqueue.Entry]bool)
		}
		unusable[entry] = true
	}
}

// grant gives a waiting request its turn. p.mu must be held.
func (p *poolQueue) grant(entry *waitqueue.Entry, w *waiter, now bootclock.Instant) {
	p.queue.Take(entry, now)
	delete(p.waiters, entry)
	p.turns++
	w.job.turn, w.job.mayPass = p, true
	w.result <- nil
}

// endTurn ends the request's turn in the queue, if it has one, and grants the next one.
func (j *job) endTurn() {
	p := j.turn
	if p == nil {
		return
	}
	j.turn = nil
	p.mu.Lock()
	defer p.mu.Unlock()
	p.turns = max(0, p.turns-1)
	p.dispatch()
}
