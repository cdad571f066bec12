package waitqueue

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/greengagegate/greengagegate/internal/bootclock"
)

// kind is a kind of request of the replayed surge.
type kind struct {
	priority  int
	objective time.Duration
	tokens    float64
}

var (
	shortKind = kind{priority: 0, objective: 400 * time.Millisecond, tokens: 826}
	longKind  = kind{priority: 2, objective: 1500 * time.Millisecond, tokens: 2890}
)

const (
	surgeEngines = 14
	// engineRate is the prefill rate of an engine in tokens per second.
	engineRate = 38_700.0
	// shortPerLong is the number of short requests for each long one.
	shortPerLong   = 3.5
	surgeCustomers = 40
	// surgeFactor is how many times its usual load the first customer sends in the surge.
	surgeFactor = 7
	// surgeLoad is the load in the surge as a multiple of the capacity.
	surgeLoad = 1.5
	// calmLoad is the same before the surge.
	calmLoad      = 0.8
	calmDuration  = 30 * time.Second
	surgeDuration = 20 * time.Second
	// callerPatience is the timeout of a caller, of which it waits at most a third before it
	// returns.
	callerPatience = 4 * time.Second
	// maxTries is the first try of a call and one more.
	maxTries  = 2
	surgePoll = 10 * time.Millisecond
)

// call is a request of the replay, which its caller may send several times.
type call struct {
	kind      kind
	customer  int
	firstAt   time.Duration
	inSurge   bool
	began     bool
	onTime    bool
	beganAt   time.Duration
	tries     int
	lastTryAt time.Duration
	// spread is the spread of the last retry time, and idle how long an engine was idle when
	// the last try arrived.
	spread, idle time.Duration
}

// arrival is a try of a call at a time.
type arrival struct {
	at   time.Duration
	call *call
}

type arrivals []arrival

func (a arrivals) Len() int           { return len(a) }
func (a arrivals) Less(i, k int) bool { return a[i].at < a[k].at }
func (a arrivals) Swap(i, k int)      { a[i], a[k] = a[k], a[i] }
func (a *arrivals) Push(x any)        { *a = append(*a, x.(arrival)) }
func (a *arrivals) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// usualLoad returns a customer's usual load as a multiple of that of the first one.
func usualLoad(customer int) float64 { return [...]float64{1, 0.5, 1.5}[customer%3] }

// surgeCalls returns the calls of a calm period, which the engines can serve, and of a surge,
// in which the first customer sends surgeFactor times its usual load.
func surgeCalls(rng *rand.Rand) arrivals {
	work := (shortPerLong*shortKind.tokens + longKind.tokens) / (1 + shortPerLong)
	usual := 0.0
	for customer := range surgeCustomers {
		usual += usualLoad(customer)
	}
	calmRate := calmLoad * surgeEngines * engineRate / work / usual
	othersFactor := (usual*surgeLoad/calmLoad - surgeFactor) / (usual - 1)
	var list arrivals
	for customer := range surgeCustomers {
		for at := time.Duration(0); ; {
			rate := calmRate * usualLoad(customer)
			switch {
			case at < calmDuration:
			case customer == 0:
				rate *= surgeFactor
			default:
				rate *= othersFactor
			}
			at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
			if at >= calmDuration+surgeDuration {
				break
			}
			c := &call{kind: longKind, customer: customer, firstAt: at, inSurge: at >= calmDuration}
			if rng.Float64() < shortPerLong/(1+shortPerLong) {
				c.kind = shortKind
			}
			list = append(list, arrival{at: at, call: c})
		}
	}
	heap.Init(&list)
	return list
}

// rule decides about the calls of the replay. Engines prefill one request after another.
type rule interface {
	// arrive decides about a try. A result above 0 rejects it and is its retry time.
	arrive(c *call, at time.Duration) (retryAfter time.Duration)
	// poll sends waiting calls to engines, and returns the retry times of those it rejects.
	poll(at time.Duration) map[*call]time.Duration
}

// engines holds when each engine has done its work.
type engines [surgeEngines]time.Duration

func (e *engines) best() int {
	best := 0
	for i := range e {
		if e[i] < e[best] {
			best = i
		}
	}
	return best
}

// send gives a call to the best engine, which begins at the returned time.
func (e *engines) send(c *call, at time.Duration) (begin time.Duration) {
	i := e.best()
	begin = max(at, e[i])
	e[i] = begin + time.Duration(c.kind.tokens/engineRate*float64(time.Second))
	c.began, c.beganAt = true, begin
	c.onTime = begin <= c.firstAt+c.kind.objective
	return begin
}

// expectedWaitRule sends or rejects each call by the wait at the best engine, with a random
// spread, and keeps no order. This is the rule without a queue.
type expectedWaitRule struct{ engines engines }

func (r *expectedWaitRule) arrive(c *call, at time.Duration) time.Duration {
	const maxRetryAfter = 1500 * time.Millisecond
	own := time.Duration(c.kind.tokens / engineRate * float64(time.Second))
	expected := max(0, r.engines[r.engines.best()]-at) + own
	if excess := expected - c.kind.objective; excess > 0 {
		return min(excess+time.Duration(rand.Int64N(int64(c.kind.objective)))+1, maxRetryAfter)
	}
	r.engines.send(c, at)
	return 0
}

func (r *expectedWaitRule) poll(time.Duration) map[*call]time.Duration { return nil }

// queueRule lets calls wait in a Queue until an engine has less than engineAhead of work.
type queueRule struct {
	engines engines
	queue   *Queue
	calls   map[*Entry]*call
	polls   int
}

// engineAhead is the work that an engine holds ahead, so that it does not idle until the next
// poll.
const engineAhead = 2 * surgePoll

// instant returns the clock's reading at a time of the replay.
func instant(at time.Duration) bootclock.Instant { return bootclock.Instant(at + time.Second) }

func (r *queueRule) hasRoom(at time.Duration) bool {
	return r.engines[r.engines.best()] <= at+engineAhead
}

func (r *queueRule) arrive(c *call, at time.Duration) time.Duration {
	now := instant(at)
	c.idle = max(0, at-r.engines[r.engines.best()])
	request := Request{
		Customer: fmt.Sprint(c.customer), Priority: c.kind.priority, Tokens: c.kind.tokens,
		BeginBy: now.Add(c.kind.objective - engineAhead), MaxRetryAfter: (c.firstAt + callerPatience - at) / 3,
	}
	request.BeyondShare = r.queue.Arrive(request, now)
	if r.queue.Len() == 0 && r.hasRoom(at) {
		r.queue.Pass(request, now)
		r.engines.send(c, at)
		return 0
	}
	entry, decision, evicted := r.queue.Offer(request, now)
	if evicted != nil {
		panic("the queue of the replay is full")
	}
	if entry == nil {
		c.spread = decision.Spread
		return decision.RetryAfter
	}
	r.calls[entry] = c
	return 0
}

func (r *queueRule) poll(at time.Duration) map[*call]time.Duration {
	now := instant(at)
	rejected := make(map[*call]time.Duration)
	if r.polls++; r.polls%5 == 0 {
		for _, rejection := range r.queue.Reject(now) {
			c := r.calls[rejection.Entry]
			c.spread, rejected[c] = rejection.Decision.Spread, rejection.Decision.RetryAfter
			delete(r.calls, rejection.Entry)
		}
	}
	for r.hasRoom(at) {
		entry, _ := r.queue.Next(now, nil)
		if entry == nil {
			break
		}
		r.queue.Take(entry, now)
		r.engines.send(r.calls[entry], at)
		delete(r.calls, entry)
	}
	return rejected
}

// replay sends the calls, and those that were rejected again for as long as their callers
// wait.
func replay(list arrivals, r rule) []*call {
	var all []*call
	retry := func(c *call, at, retryAfter time.Duration) {
		if left := c.firstAt + callerPatience - at; retryAfter > 0 && retryAfter <= left/3 && c.tries < maxTries {
			heap.Push(&list, arrival{at: at + retryAfter, call: c})
		}
	}
	nextPoll := time.Duration(0)
	for list.Len() > 0 {
		next := heap.Pop(&list).(arrival)
		for ; nextPoll <= next.at; nextPoll += surgePoll {
			for c, retryAfter := range r.poll(nextPoll) {
				retry(c, nextPoll, retryAfter)
			}
		}
		c := next.call
		if c.tries++; c.tries == 1 {
			all = append(all, c)
		}
		c.lastTryAt = next.at
		retry(c, next.at, r.arrive(c, next.at))
	}
	for end := nextPoll + 2*time.Second; nextPoll < end; nextPoll += surgePoll {
		r.poll(nextPoll)
	}
	return all
}

// surgeResult is what the calls of the surge got.
type surgeResult struct {
	shortOnTime, longOnTime float64
	// tokens is the service of each customer.
	tokens [surgeCustomers]float64
	// leastOnTime is the smallest part on time of the calls of a customer and kind.
	leastOnTime float64
}

func evaluate(calls []*call) surgeResult {
	type count struct{ onTime, all float64 }
	var short, long count
	var byCustomer [surgeCustomers]map[kind]*count
	result := surgeResult{leastOnTime: 1}
	for _, c := range calls {
		if !c.inSurge {
			continue
		}
		if byCustomer[c.customer] == nil {
			byCustomer[c.customer] = map[kind]*count{shortKind: {}, longKind: {}}
		}
		total := &short
		if c.kind == longKind {
			total = &long
		}
		total.all++
		byCustomer[c.customer][c.kind].all++
		if c.began {
			result.tokens[c.customer] += c.kind.tokens
		}
		if c.onTime {
			total.onTime++
			byCustomer[c.customer][c.kind].onTime++
		}
	}
	result.shortOnTime, result.longOnTime = short.onTime/short.all, long.onTime/long.all
	for _, kinds := range byCustomer {
		for _, n := range kinds {
			result.leastOnTime = min(result.leastOnTime, n.onTime/n.all)
		}
	}
	return result
}

// failures returns the targets that a result misses.
func (r *surgeResult) failures() []string {
	var failures []string
	if r.shortOnTime < 0.85 {
		failures = append(failures, fmt.Sprintf("%.3f of the short requests begin in time, want 0.85", r.shortOnTime))
	}
	if r.leastOnTime <= 0 {
		failures = append(failures, "a customer gets no request of a kind in time")
	}
	first, least := r.shares()
	if least < 0.8 {
		failures = append(failures, fmt.Sprintf("another customer gets %.3f of the mean share, want 0.8 (the first gets %.3f)", least, first))
	}
	return failures
}

// shares returns the service of the first customer, and the least of another one, per usual
// load, as multiples of the mean.
func (r *surgeResult) shares() (first, least float64) {
	tokens, usual := 0.0, 0.0
	for customer := range surgeCustomers {
		tokens += r.tokens[customer]
		usual += usualLoad(customer)
	}
	least = math.Inf(1)
	for customer := 1; customer < surgeCustomers; customer++ {
		least = min(least, r.tokens[customer]/usualLoad(customer)/(tokens/usual))
	}
	return r.tokens[0] / (tokens / usual), least
}

// In a surge at 1.5 times the capacity, to which one customer contributes seven times its
// usual load, short requests must begin in time, no kind of request of a customer may starve,
// and the other customers must get their share. The rule without a queue must miss this, so
// that the replay is known to tell.
func TestSurgeIsServedInOrderAndFairly(t *testing.T) {
	for seed := range uint64(3) {
		withQueue := evaluate(replay(surgeCalls(rand.New(rand.NewPCG(seed, 1))), &queueRule{queue: New(Limits{MaxWaiting: 31 * 256}), calls: make(map[*Entry]*call)}))
		without := evaluate(replay(surgeCalls(rand.New(rand.NewPCG(seed, 1))), &expectedWaitRule{}))
		for name, result := range map[string]surgeResult{"with": withQueue, "without": without} {
			first, least := result.shares()
			t.Logf("seed %d, %s a queue: on time %.3f of the short and %.3f of the long requests, at least %.3f of any customer and kind; shares %.2f and at least %.2f",
				seed, name, result.shortOnTime, result.longOnTime, result.leastOnTime, first, least)
		}
		for _, failure := range withQueue.failures() {
			t.Errorf("seed %d: %s", seed, failure)
		}
		if len(without.failures()) == 0 {
			t.Errorf("seed %d: the rule without a queue meets the targets as well", seed)
		}
	}
}
