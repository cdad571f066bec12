package waitqueue

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/greengagegate/greengagegate/internal/bootclock"
)

// start is the time at which the tests begin.
const start = bootclock.Instant(time.Minute)

// offer adds a request and fails the test if it is rejected.
func offer(t *testing.T, q *Queue, r Request, now bootclock.Instant) *Entry {
	t.Helper()
	r.BeyondShare = q.Arrive(r, now)
	entry, decision, _ := q.Offer(r, now)
	if entry == nil {
		t.Fatalf("%+v was rejected: %+v", r, decision)
	}
	return entry
}

// take removes the first entry.
func take(q *Queue, now bootclock.Instant) *Entry {
	entry, _ := q.Next(now, nil)
	if entry != nil {
		q.Take(entry, now)
	}
	return entry
}

// Requests that leave in the order of arrival would let long ones hold up urgent ones, one
// customer hold up the others, and a request with time left one without.
func TestOrderIsByPriorityThenFairThenByDeadline(t *testing.T) {
	q := New(Limits{MaxWaiting: 10})
	request := func(customer string, priority int, patience time.Duration) *Entry {
		return offer(t, q, Request{Customer: customer, Priority: priority, Tokens: 100, BeginBy: start.Add(patience)}, start)
	}
	lastOfA := request("a", 1, 9*time.Second)
	secondOfA := request("a", 1, 5*time.Second)
	firstOfA := request("a", 1, 3*time.Second)
	firstOfB := request("b", 1, 4*time.Second)
	urgent := request("a", 0, 9*time.Second)
	want := []*Entry{urgent, firstOfA, firstOfB, secondOfA, lastOfA}
	for i, entry := range want {
		if got := take(q, start); got != entry {
			t.Fatalf("entry %d is %+v, want %+v", i, got, entry)
		}
	}
}

// A customer with many waiting requests must get no more tokens than one with few, whatever
// the size of the requests.
func TestServiceIsFairByTokens(t *testing.T) {
	q := New(Limits{MaxWaiting: 1000})
	for range 300 {
		offer(t, q, Request{Customer: "many", Tokens: 100, BeginBy: start.Add(time.Minute)}, start)
	}
	for range 30 {
		offer(t, q, Request{Customer: "large", Tokens: 1000, BeginBy: start.Add(time.Minute)}, start)
	}
	served := map[string]float64{}
	for range 220 {
		entry := take(q, start)
		served[entry.Customer] += entry.Tokens
	}
	if difference := served["many"] - served["large"]; difference < -1000 || difference > 1000 {
		t.Errorf("served %v, want a difference of at most one request", served)
	}
}

// Under a constant surplus of urgent requests, others must not starve: from the time at which
// one is overdue, urgent ones get at most Tokens/agedShare tokens between two of them.
func TestOverdueRequestIsOvertakenForBoundedTime(t *testing.T) {
	const urgentTokens, longTokens = 100, 1000
	q := New(Limits{MaxWaiting: 1000})
	const patience = 10 * time.Second
	overdueAfter := time.Duration(overdueFraction * float64(patience))
	for range 50 {
		offer(t, q, Request{Customer: "long", Priority: 5, Tokens: longTokens, BeginBy: start.Add(patience)}, start)
	}
	now := start.Add(overdueAfter)
	overtook, longServed := 0.0, 0
	for range 1000 {
		offer(t, q, Request{Customer: "urgent", Tokens: urgentTokens, BeginBy: now.Add(patience)}, now)
		if entry := take(q, now); entry.Priority == 0 {
			overtook += entry.Tokens
		} else {
			overtook = 0
			longServed++
		}
		if limit := longTokens/agedShare + urgentTokens; overtook > limit {
			t.Fatalf("%v tokens of urgent requests overtook an overdue one, want at most %v", overtook, limit)
		}
	}
	if limit := 1 + 1000*urgentTokens*agedShare/longTokens; float64(longServed) > limit {
		t.Errorf("%d overdue requests were served, want at most %v", longServed, limit)
	}
}

// A request that cannot begin in time delays others and is late itself, so it must be
// rejected when it arrives, while an urgent one with less work ahead may wait.
func TestRequestThatCannotBeginInTimeIsRejectedAtOnce(t *testing.T) {
	q := New(Limits{MaxWaiting: 1000})
	now := start
	// The engines take 1,000 tokens per 10 ms.
	for range 100 {
		offer(t, q, Request{Customer: "a", Priority: 2, Tokens: 1000, BeginBy: now.Add(time.Minute)}, now)
	}
	for range 50 {
		now = now.Add(10 * time.Millisecond)
		take(q, now)
	}
	// It is too large for the share of overdue requests.
	late := Request{Customer: "a", Priority: 3, Tokens: 10_000, BeginBy: now.Add(400 * time.Millisecond), MaxRetryAfter: time.Second}
	late.BeyondShare = q.Arrive(late, now)
	entry, decision, _ := q.Offer(late, now)
	if entry != nil || decision.Reason != ReasonLate || decision.Wait < 490*time.Millisecond {
		t.Errorf("got %+v, want a rejection because of a wait of at least 500 ms", decision)
	}
	urgent := late
	urgent.Priority = 0
	offer(t, q, urgent, now)
}

// A waiting request that can no longer begin in time must be rejected before its time is up,
// so that its caller can still return, and one whose time is up must be rejected in any case.
func TestWaitingRequestIsRejectedOnceItIsLate(t *testing.T) {
	q := New(Limits{MaxWaiting: 1000})
	now := start
	for range 60 {
		offer(t, q, Request{Customer: "a", Tokens: 1000, BeginBy: now.Add(time.Minute)}, now)
	}
	waiting := offer(t, q, Request{Customer: "b", Priority: 1, Tokens: 10_000, BeginBy: now.Add(400 * time.Millisecond), MaxRetryAfter: time.Second}, now)
	for range 10 {
		now = now.Add(10 * time.Millisecond)
		take(q, now)
	}
	rejections := q.Reject(now)
	if len(rejections) != 1 || rejections[0].Entry != waiting || rejections[0].Decision.Reason != ReasonLate || rejections[0].Decision.RetryAfter <= 0 {
		t.Errorf("got %+v, want the waiting request to be rejected as late", rejections)
	}
	if rejections = q.Reject(start.Add(time.Hour)); len(rejections) != 50 || q.Len() != 0 {
		t.Errorf("%d requests rejected after their time, and %d left, want 50 and 0", len(rejections), q.Len())
	}
}

// A full queue must not keep out an urgent request in favour of others.
func TestFullQueueEvictsTheLeastUrgent(t *testing.T) {
	q := New(Limits{MaxWaiting: 2})
	request := Request{Customer: "a", Priority: 1, Tokens: 1, BeginBy: start.Add(time.Second), MaxRetryAfter: time.Second}
	offer(t, q, request, start)
	later := request
	later.BeginBy = start.Add(2 * time.Second)
	last := offer(t, q, later, start)
	if entry, decision, _ := q.Offer(later, start); entry != nil || decision.Reason != ReasonFull {
		t.Errorf("got %+v in a full queue, want a rejection", decision)
	}
	request.Priority = 0
	if entry, _, evicted := q.Offer(request, start); entry == nil || evicted != last || q.Len() != 2 {
		t.Errorf("evicted %+v with %d left, want the last request", evicted, q.Len())
	}
}

// burstCalls returns calls at half the capacity, with a burst that is over before the first
// rejected callers return. The queue cannot know how long a burst lasts.
func burstCalls(rng *rand.Rand) arrivals {
	const burstAt, burstDuration, end = 20 * time.Second, 150 * time.Millisecond, 25 * time.Second
	var list arrivals
	for at := time.Duration(0); at < end; {
		load := 0.5
		if at >= burstAt && at < burstAt+burstDuration {
			load = 5
		}
		rate := load * surgeEngines * engineRate / shortKind.tokens
		at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		list = append(list, arrival{at: at, call: &call{kind: shortKind, customer: rng.IntN(surgeCustomers), firstAt: at}})
	}
	heap.Init(&list)
	return list
}

// Callers that return before there is room are rejected again or late, and ones that return
// later than that leave engines idle. The error of a retry time is the time by which the call
// begins after its objective, or for which an engine was idle before it returned; its 95th
// percentile must be within the spread that the decision states.
func TestCallersReturnWhenThereIsRoom(t *testing.T) {
	for seed := range uint64(3) {
		calls := replay(burstCalls(rand.New(rand.NewPCG(seed, 1))), &queueRule{queue: New(Limits{MaxWaiting: 1000}), calls: make(map[*Entry]*call)})
		returned, beyondSpread, again := 0, 0, 0
		var errors []time.Duration
		for _, c := range calls {
			if c.tries < 2 {
				continue
			}
			returned++
			late := c.beganAt - c.lastTryAt - c.kind.objective
			if !c.began {
				late = time.Hour
				again++
			}
			missed := max(0, late, c.idle)
			errors = append(errors, missed)
			if missed > c.spread {
				beyondSpread++
			}
		}
		slices.Sort(errors)
		t.Logf("seed %d: %d of %d calls returned, %d were rejected again; error p50 %v, p95 %v; %d beyond the spread", seed, returned, len(calls), again,
			errors[returned/2], errors[returned*95/100], beyondSpread)
		if returned < 50 {
			t.Errorf("seed %d: only %d calls returned; the replay tells nothing", seed, returned)
		}
		if beyondSpread > returned/20 {
			t.Errorf("seed %d: %d of %d retry times miss the room by more than the spread, want 5%%", seed, beyondSpread, returned)
		}
	}
}
