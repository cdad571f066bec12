// Package fairqueue holds requests before the engine and starts them in a
// weighted fair order over customers, counted in tokens of service.
//
// The engine computes prompts one after the other, so only a few requests are
// let in before their first token; the others wait here, where the order can
// still be chosen.
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
	// ErrFull reports that the queue had no room. The request did not start.
	ErrFull = errors.New("queue full")
	// ErrExpired reports that the deadline passed in the queue. The request did not start.
	ErrExpired = errors.New("deadline passed in queue")
	// ErrClosed reports that the queue takes no more requests. The request did not start.
	ErrClosed = errors.New("queue closed")
)

// Options bounds a queue.
type Options struct {
	// Concurrency is the most requests at the engine.
	Concurrency int
	// Prefills is the most requests at the engine that have not given their first token.
	Prefills int
	// MaxQueued and MaxQueuedTokens bound what waits.
	MaxQueued       int
	MaxQueuedTokens int64
}

// DefaultOptions returns bounds for an engine with the given batch limit.
func DefaultOptions(batchLimit int) Options {
	const (
		headroom        = 2
		prefills        = 2
		maxQueued       = 64
		maxQueuedTokens = 400_000
	)
	return Options{
		Concurrency:     max(1, batchLimit-headroom),
		Prefills:        prefills,
		MaxQueued:       maxQueued,
		MaxQueuedTokens: maxQueuedTokens,
	}
}

// Ticket describes a request.
type Ticket struct {
	Customer string
	// Weight is the customer's share; values that are not positive count as 1.
	Weight float64
	// PrefillTokens are those to compute before the first token.
	PrefillTokens int64
	// DecodeTokens are those expected to be generated.
	DecodeTokens int64
	// Priority starts higher ones first, whoever the customer is.
	Priority int32
	// Deadline is when waiting becomes pointless; zero waits as long as ctx.
	Deadline time.Time
	// Suspect runs alone at the engine until its first token.
	Suspect bool
}

// decodeCost is the service of a generated token in prompt tokens. Decoding is
// shared by all streams of a batch.
const decodeCost = 10

func (t Ticket) cost() float64 {
	return float64(t.PrefillTokens) + decodeCost*float64(t.DecodeTokens)
}

func (t Ticket) weight() float64 {
	if t.Weight <= 0 {
		return 1
	}
	return t.Weight
}

// maxIdleAccounts is the number of customers' accounts above which idle ones are dropped.
const maxIdleAccounts = 256

// Queue orders the requests of one engine. It is safe for concurrent use.
type Queue struct {
	mu        sync.Mutex
	options   Options
	closed    bool
	virtual   float64
	customers map[string]*customer
	waiting   []*entry
	// waitingTokens are the prompt tokens of waiting.
	waitingTokens int64
	running       int
	// suspects counts running suspects without a first token.
	suspects int
	// prefills are the started requests without a first token, in order of start.
	prefills []*Grant
	rate     float64
}

// customer is the queue's account of one customer.
type customer struct {
	// finish is the virtual time up to which service was given or promised.
	finish float64
	// active counts the customer's waiting and running requests.
	active int
}

// entry is one waiting request.
type entry struct {
	ticket Ticket
	start  float64
	ready  chan *Grant
}

// New returns a queue.
func New(options Options) *Queue {
	return &Queue{
		options:   options,
		customers: make(map[string]*customer),
		rate:      defaultRate,
	}
}

// Resize changes the bounds, as when the engine tells another batch limit.
func (q *Queue) Resize(options Options) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.options = options
	q.dispatch()
}

// Acquire waits until the request may start at the engine. Any error means that
// it did not. The grant must be released.
func (q *Queue) Acquire(ctx context.Context, ticket Ticket) (*Grant, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	waited := metrics.Histogram("agent.queue_wait_us", "customer", ticket.Customer)
	began := time.Now()
	e, err := q.join(ticket)
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
		waited.Update(time.Since(began).Microseconds())
		return grant, nil
	case <-ctx.Done():
		err = ctx.Err()
	case <-expired:
		err = ErrExpired
	}
	if grant := q.leave(e); grant != nil {
		grant.Release(0)
	}
	return nil, err
}

// join adds a waiting entry, and starts it when there is room.
func (q *Queue) join(ticket Ticket) (*entry, error) {
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
	e := &entry{ticket: ticket, start: q.startTag(ticket.Customer), ready: make(chan *Grant, 1)}
	account := q.account(ticket.Customer)
	account.active++
	account.finish = e.start + ticket.cost()/ticket.weight()
	q.insert(e)
	q.dispatch()
	return e, nil
}

// account returns a customer's account, and drops old ones when there are many.
func (q *Queue) account(name string) *customer {
	account := q.customers[name]
	if account != nil {
		return account
	}
	if len(q.customers) >= maxIdleAccounts {
		maps.DeleteFunc(q.customers, func(_ string, c *customer) bool { return c.active == 0 && c.finish <= q.virtual })
	}
	account = new(customer)
	q.customers[name] = account
	return account
}

// startTag is the virtual time at which a customer's next request is due.
func (q *Queue) startTag(name string) float64 {
	if account := q.customers[name]; account != nil {
		return max(q.virtual, account.finish)
	}
	return q.virtual
}

// before orders waiting requests.
func before(aPriority int32, aStart float64, b *entry) bool {
	if aPriority != b.ticket.Priority {
		return aPriority > b.ticket.Priority
	}
	return aStart < b.start
}

func (q *Queue) insert(e *entry) {
	at := len(q.waiting)
	for at > 0 && before(e.ticket.Priority, e.start, q.waiting[at-1]) {
		at--
	}
	q.waiting = append(q.waiting, nil)
	copy(q.waiting[at+1:], q.waiting[at:])
	q.waiting[at] = e
	q.waitingTokens += e.ticket.PrefillTokens
}

// leave takes a waiting entry out. It returns the grant when the entry was
// started meanwhile.
func (q *Queue) leave(e *entry) *Grant {
	q.mu.Lock()
	defer q.mu.Unlock()
	for i, waiting := range q.waiting {
		if waiting == e {
			q.removeWaiting(i)
			q.settle(e.ticket, 0)
			return nil
		}
	}
	return <-e.ready
}

func (q *Queue) removeWaiting(i int) {
	q.waitingTokens -= q.waiting[i].ticket.PrefillTokens
	q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
}

// settle corrects a customer's account to the service that it really got.
func (q *Queue) settle(ticket Ticket, actual float64) {
	account := q.customers[ticket.Customer]
	account.finish += (actual - ticket.cost()) / ticket.weight()
	account.active--
}

// dispatch starts waiting requests while the engine has room.
func (q *Queue) dispatch() {
	for len(q.waiting) > 0 && q.admits(q.waiting[0].ticket) {
		e := q.waiting[0]
		q.removeWaiting(0)
		q.virtual = max(q.virtual, e.start)
		q.start(e)
	}
}

func (q *Queue) admits(ticket Ticket) bool {
	if q.suspects > 0 || (ticket.Suspect && q.running > 0) {
		return false
	}
	return q.running < q.options.Concurrency && len(q.prefills) < q.options.Prefills
}

func (q *Queue) start(e *entry) {
	grant := &Grant{queue: q, ticket: e.ticket}
	q.running++
	if e.ticket.Suspect {
		q.suspects++
	}
	q.prefills = append(q.prefills, grant)
	invariant.Check(q.running <= q.options.Concurrency, "engine-concurrency-bounded", "%d of %d", q.running, q.options.Concurrency)
	invariant.Check(q.suspects == 0 || q.running == 1, "suspects-run-alone", "%d suspects, %d running", q.suspects, q.running)
	e.ready <- grant
}

// Close refuses further requests. Those waiting go on.
func (q *Queue) Close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
}
