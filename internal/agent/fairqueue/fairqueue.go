// Package fairqueue implements a weighted fair queue in front of an engine. It
// shares the engine between customers in proportion to their weights, with
// service measured in tokens: the computed prompt tokens plus decodeTokenCost for each
// generated token.
//
// The engine computes prompts one after the other. The queue therefore limits the
// number of requests at the engine that have not produced their first token. It
// holds back the rest, because it can still reorder requests that are queued.
package fairqueue

import (
	"context"
	"errors"
	"maps"
	"sync"
	"time"

	"github.com/greengagegate/greengagegate/internal/invariant"
	"github.com/greengagegate/greengagegate/internal/metrics"
)

var (
	// ErrFull means that the queue is at a limit. The request did not start.
	ErrFull = errors.New("queue full")
	// ErrExpired means that the deadline passed while the request was queued. The
	// request did not start.
	ErrExpired = errors.New("deadline passed in queue")
	// ErrClosed means that the queue accepts no new requests. The request did not start.
	ErrClosed = errors.New("queue closed")
)

// Options holds the limits of a queue.
type Options struct {
	// Concurrency is the maximum number of requests at the engine.
	Concurrency int
	// MaxPrefills is the maximum number of requests at the engine that have not
	// produced their first token.
	MaxPrefills int
	// MaxQueued is the maximum number of queued requests.
	MaxQueued int
	// MaxQueuedTokens limits the prompt tokens of all queued requests. A request
	// above the limit is still accepted when no prompt tokens are queued.
	MaxQueuedTokens int64
}

// DefaultOptions returns the limits for an engine with the given batch limit. The
// concurrency is kept slightly below the batch limit, but at least 1.
func DefaultOptions(batchLimit int) Options {
	const (
		headroom        = 2
		maxPrefills     = 2
		maxQueued       = 64
		maxQueuedTokens = 400_000
	)
	return Options{
		Concurrency:     max(1, batchLimit-headroom),
		MaxPrefills:     maxPrefills,
		MaxQueued:       maxQueued,
		MaxQueuedTokens: maxQueuedTokens,
	}
}

// Ticket describes a request to the queue.
type Ticket struct {
	Customer string
	// Weight is the customer's weight. Values that are not positive count as 1.
	Weight float64
	// PrefillTokens is the number of prompt tokens to compute before the first token.
	PrefillTokens int64
	// DecodeTokens is the expected number of generated tokens.
	DecodeTokens int64
	// Priority orders requests before fairness does: a request with a higher
	// priority starts first, regardless of customer.
	Priority int32
	// Deadline ends the wait in the queue. With a zero Deadline only the context
	// limits the wait.
	Deadline time.Time
	// Suspect marks a request that may crash the engine. It runs alone at the
	// engine until its first token.
	Suspect bool
}

// decodeTokenCost is the cost of a generated token in prompt tokens. A decode step
// is shared by all requests of a batch.
const decodeTokenCost = 10

// cost returns the expected service of the request in tokens.
func (t Ticket) cost() float64 {
	return float64(t.PrefillTokens) + decodeTokenCost*float64(t.DecodeTokens)
}

// effectiveWeight returns Weight, or 1 if Weight is not positive.
func (t Ticket) effectiveWeight() float64 {
	if t.Weight <= 0 {
		return 1
	}
	return t.Weight
}

// accountPruneThreshold is the number of accounts from which on idle accounts are
// removed before a new one is added.
const accountPruneThreshold = 256

// Queue orders the requests of one engine. It is safe for concurrent use.
type Queue struct {
	mu      sync.Mutex
	options Options
	closed  bool
	// virtualTime measures service per unit of weight, in tokens. It is the largest
	// start tag of the requests that have been started.
	virtualTime float64
	accounts    map[string]*account
	waiting     []*entry
	// waitingTokens is the sum of PrefillTokens over waiting.
	waitingTokens int64
	running       int
	// suspects is the number of running suspects without a first token, at most one.
	suspects int
	// prefilling holds the started requests without a first token, in start order.
	prefilling  []*Grant
	prefillRate float64
}

// account tracks the service of one customer.
type account struct {
	// finishTag is the virtual time at which all service granted or reserved so far ends.
	finishTag float64
	// active is the number of the customer's waiting and running requests.
	active int
}

// entry is a waiting request.
type entry struct {
	ticket Ticket
	// startTag is the virtual time at which the request's service begins.
	startTag float64
	// ready receives the grant when the request is started.
	ready chan *Grant
}

// New returns an empty queue with the given limits.
func New(options Options) *Queue {
	return &Queue{
		options:     options,
		accounts:    make(map[string]*account),
		prefillRate: defaultPrefillRate,
	}
}

// Resize replaces the limits, for example when the engine reports another batch
// limit. Running and queued requests above a lower limit stay.
func (q *Queue) Resize(options Options) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.options = options
	q.dispatch()
}

// Acquire blocks until the request may start at the engine, its deadline passes
// or ctx ends. It returns ErrFull, ErrClosed, ErrExpired or the error of ctx; if
// Deadline is also the deadline of ctx, either of the last two. An error means that the
// request did not start. The caller must release the grant.
func (q *Queue) Acquire(ctx context.Context, ticket Ticket) (*Grant, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	queueWait := metrics.BoundedHistogram("agent.queue_wait_us", "customer", ticket.Customer)
	start := time.Now()
	e, err := q.enqueue(ticket)
	if err != nil {
		return nil, err
	}
	var expired <-chan time.Time
	if !ticket.Deadline.IsZero() {
		timer := time.NewTimer(time.Until(ticket.Deadline))
		defer timer.Stop()
		expired = timer.C
	}
	select {
	case grant := <-e.ready:
		queueWait.Update(time.Since(start).Microseconds())
		return grant, nil
	case <-ctx.Done():
		err = ctx.Err()
	case <-expired:
		err = ErrExpired
	}
	if grant := q.withdraw(e); grant != nil {
		grant.Release(0)
	}
	return nil, err
}

// enqueue adds a request to the queue and starts it if the engine has capacity. It
// returns ErrClosed or ErrFull when the queue rejects the request.
func (q *Queue) enqueue(ticket Ticket) (*entry, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed {
		return nil, ErrClosed
	}
	if len(q.waiting) >= q.options.MaxQueued ||
		(q.waitingTokens > 0 && q.waitingTokens+ticket.PrefillTokens > q.options.MaxQueuedTokens) {
		metrics.Counter("agent.queue_full", "customer", ticket.Customer).Inc(1)
		return nil, ErrFull
	}
	e := &entry{ticket: ticket, startTag: q.nextStartTag(ticket.Customer), ready: make(chan *Grant, 1)}
	account := q.accountFor(ticket.Customer)
	account.active++
	account.finishTag = e.startTag + ticket.cost()/ticket.effectiveWeight()
	q.insert(e)
	q.dispatch()
	return e, nil
}

// accountFor returns the customer's account and creates it if needed. When there
// are many accounts, it first removes idle ones whose finish tag has passed. It
// must be called with q.mu held.
func (q *Queue) accountFor(customer string) *account {
	acct := q.accounts[customer]
	if acct != nil {
		return acct
	}
	if len(q.accounts) >= accountPruneThreshold {
		maps.DeleteFunc(q.accounts, func(_ string, c *account) bool { return c.active == 0 && c.finishTag <= q.virtualTime })
	}
	acct = new(account)
	q.accounts[customer] = acct
	return acct
}

// nextStartTag returns the start tag of the customer's next request: the virtual
// time at which its service begins. It must be called with q.mu held.
func (q *Queue) nextStartTag(customer string) float64 {
	if account := q.accounts[customer]; account != nil {
		return max(q.virtualTime, account.finishTag)
	}
	return q.virtualTime
}

// precedes reports whether a request with the given priority and start tag starts
// before b. Higher priorities start first, then lower start tags.
func precedes(priority int32, startTag float64, b *entry) bool {
	if priority != b.ticket.Priority {
		return priority > b.ticket.Priority
	}
	return startTag < b.startTag
}

// insert adds an entry to waiting in start order, after entries that compare
// equal. It must be called with q.mu held.
func (q *Queue) insert(e *entry) {
	i := len(q.waiting)
	for i > 0 && precedes(e.ticket.Priority, e.startTag, q.waiting[i-1]) {
		i--
	}
	q.waiting = append(q.waiting, nil)
	copy(q.waiting[i+1:], q.waiting[i:])
	q.waiting[i] = e
	q.waitingTokens += e.ticket.PrefillTokens
}

// withdraw removes a waiting entry. If the entry has been started in the meantime,
// it returns the entry's grant, which the caller must release.
func (q *Queue) withdraw(e *entry) *Grant {
	q.mu.Lock()
	defer q.mu.Unlock()
	for i, waiting := range q.waiting {
		if waiting == e {
			q.removeWaiting(i)
			q.settleAccount(e.ticket, 0)
			return nil
		}
	}
	return <-e.ready
}

func (q *Queue) removeWaiting(i int) {
	q.waitingTokens -= q.waiting[i].ticket.PrefillTokens
	q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
}

// settleAccount ends a request in the customer's account and replaces its expected
// cost by the actual service in tokens. It must be called with q.mu held.
func (q *Queue) settleAccount(ticket Ticket, actual float64) {
	account := q.accounts[ticket.Customer]
	account.finishTag += (actual - ticket.cost()) / ticket.effectiveWeight()
	account.active--
}

// dispatch starts waiting requests in order while the engine has capacity. It
// must be called with q.mu held.
func (q *Queue) dispatch() {
	for len(q.waiting) > 0 && q.canStart(q.waiting[0].ticket) {
		e := q.waiting[0]
		q.removeWaiting(0)
		q.virtualTime = max(q.virtualTime, e.startTag)
		q.start(e)
	}
}

// canStart reports whether the limits and the isolation of suspects allow a
// request to start now. It must be called with q.mu held.
func (q *Queue) canStart(ticket Ticket) bool {
	if q.suspects > 0 || (ticket.Suspect && q.running > 0) {
		return false
	}
	return q.running < q.options.Concurrency && len(q.prefilling) < q.options.MaxPrefills
}

// start counts a request as running and sends the entry its grant. It must be
// called with q.mu held.
func (q *Queue) start(e *entry) {
	grant := &Grant{queue: q, ticket: e.ticket}
	q.running++
	if e.ticket.Suspect {
		q.suspects++
	}
	q.prefilling = append(q.prefilling, grant)
	invariant.Check(q.running <= q.options.Concurrency, "engine-concurrency-bounded", "%d of %d", q.running, q.options.Concurrency)
	invariant.Check(q.suspects == 0 || q.running == 1, "suspects-run-alone", "%d suspects, %d running", q.suspects, q.running)
	e.ready <- grant
}

// Close rejects new requests. Requests that are already queued still start.
func (q *Queue) Close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
}
