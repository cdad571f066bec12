package fairqueue

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

func testOptions() Options {
	return Options{Concurrency: 4, MaxPrefills: 1, MaxQueued: 1_000, MaxQueuedTokens: 1 << 40}
}

// completions records completed requests in order, with their times.
type completions struct {
	mu    sync.Mutex
	order []completion
}

type completion struct {
	ticket Ticket
	at     time.Time
}

func (c *completions) add(ticket Ticket) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.order = append(c.order, completion{ticket, time.Now()})
}

func (c *completions) forCustomer(customer string) []completion {
	c.mu.Lock()
	defer c.mu.Unlock()
	var found []completion
	for _, completion := range c.order {
		if completion.ticket.Customer == customer {
			found = append(found, completion)
		}
	}
	return found
}

// serveRequest runs one request and simulates an engine that computes 1,000 prompt
// tokens per second.
func serveRequest(t *testing.T, q *Queue, ticket Ticket, recorder *completions) {
	t.Helper()
	grant, err := q.Acquire(t.Context(), ticket)
	if err != nil {
		t.Errorf("acquire: %v", err)
		return
	}
	grant.BeginPrefill(ticket.PrefillTokens)
	time.Sleep(time.Duration(ticket.PrefillTokens) * time.Millisecond)
	grant.RecordFirstToken()
	grant.Release(ServiceTokens(ticket.PrefillTokens, ticket.DecodeTokens))
	recorder.add(ticket)
}

// TestLargeCustomerDoesNotStarveSmallCustomer guards against first-come order
// across customers: a short request would wait for the 50 s of work that another
// customer queued before it.
func TestLargeCustomerDoesNotStarveSmallCustomer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q, recorder := New(testOptions()), new(completions)
		for range 50 {
			go serveRequest(t, q, Ticket{Customer: "large", PrefillTokens: 1_000}, recorder)
		}
		time.Sleep(time.Millisecond)
		start := time.Now()
		go serveRequest(t, q, Ticket{Customer: "small", PrefillTokens: 500}, recorder)
		time.Sleep(time.Minute)
		small := recorder.forCustomer("small")
		if len(small) != 1 || small[0].at.Sub(start) > 3*time.Second {
			t.Fatalf("small customer's completions %v, want one within 3 s despite the large customer's 50 s of work", small)
		}
	})
}

// TestServiceFollowsWeights guards against service that is not in proportion to the
// weights of customers that always have requests queued.
func TestServiceFollowsWeights(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q, recorder := New(testOptions()), new(completions)
		for customer, weight := range map[string]float64{"a": 1, "b": 3} {
			for range 100 {
				go serveRequest(t, q, Ticket{Customer: customer, Weight: weight, PrefillTokens: 100}, recorder)
			}
		}
		time.Sleep(8*time.Second + 50*time.Millisecond)
		a, b := len(recorder.forCustomer("a")), len(recorder.forCustomer("b"))
		if a < 18 || a > 22 || b < 58 || b > 62 {
			t.Fatalf("completed %d and %d requests, want about 20 and 60", a, b)
		}
		time.Sleep(time.Minute)
	})
}

// TestFullQueueRejectsRequests guards against a full or closed queue that accepts a
// request, and against a canceled request that keeps its place in the queue.
func TestFullQueueRejectsRequests(t *testing.T) {
	options := testOptions()
	options.Concurrency, options.MaxQueued = 1, 1
	q := New(options)
	running, err := q.Acquire(t.Context(), Ticket{Customer: "a"})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	waitErr := make(chan error)
	go func() {
		_, err := q.Acquire(ctx, Ticket{Customer: "a"})
		waitErr <- err
	}()
	for q.Backlog("a", 0, 0).Queued == 0 {
		time.Sleep(time.Millisecond)
	}
	if !q.Backlog("a", 0, 0).Full {
		t.Fatal("Backlog does not report the full queue")
	}
	if _, err := q.Acquire(t.Context(), Ticket{Customer: "b"}); !errors.Is(err, ErrFull) {
		t.Fatalf("got %v, want ErrFull", err)
	}
	cancel()
	if err := <-waitErr; !errors.Is(err, context.Canceled) {
		t.Fatalf("got %v from the canceled request, want context.Canceled", err)
	}
	running.Release(0)
	grant, err := q.Acquire(t.Context(), Ticket{Customer: "b"})
	if err != nil {
		t.Fatalf("acquire after release: %v", err)
	}
	grant.Release(0)
	q.Close()
	if _, err := q.Acquire(t.Context(), Ticket{Customer: "b"}); !errors.Is(err, ErrClosed) {
		t.Fatalf("got %v, want ErrClosed", err)
	}
}

// TestQueuedRequestExpiresAtDeadline guards against a request that stays queued, or
// counts in the backlog, after its deadline.
func TestQueuedRequestExpiresAtDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := New(testOptions())
		grant, _ := q.Acquire(t.Context(), Ticket{Customer: "a"})
		_, err := q.Acquire(t.Context(), Ticket{Customer: "b", Deadline: time.Now().Add(time.Second)})
		if !errors.Is(err, ErrExpired) {
			t.Fatalf("got %v, want ErrExpired", err)
		}
		grant.Release(0)
		if b := q.Backlog("c", 0, 0); b.Queued != 0 || b.Running != 0 || b.Tokens != 0 {
			t.Fatalf("queue is not empty: %+v", b)
		}
	})
}

// TestSuspectRunsAlone guards against a suspect that starts beside another request,
// against other requests that start before the suspect's first token, and against a
// backlog without the wait for the suspect.
func TestSuspectRunsAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		options := testOptions()
		options.MaxPrefills = 4
		q := New(options)
		first, _ := q.Acquire(t.Context(), Ticket{Customer: "a"})
		var suspect, later *Grant
		go func() { suspect, _ = q.Acquire(t.Context(), Ticket{Customer: "b", Suspect: true}) }()
		synctest.Wait()
		go func() { later, _ = q.Acquire(t.Context(), Ticket{Customer: "c"}) }()
		synctest.Wait()
		if suspect != nil {
			t.Fatal("suspect started while another request was running")
		}
		first.Release(0)
		synctest.Wait()
		if suspect == nil || later != nil {
			t.Fatal("suspect did not start alone after the first request ended")
		}
		if q.Backlog("d", 0, 0).Wait < suspectWait {
			t.Fatal("Backlog does not include the wait for the suspect")
		}
		suspect.RecordFirstToken()
		synctest.Wait()
		if later == nil {
			t.Fatal("queued request did not start although the suspect has its first token")
		}
		suspect.Release(0)
		later.Release(0)
	})
}

// TestHigherPriorityStartsFirst guards against a customer's requests that start in the
// order of their arrival although their priorities differ.
func TestHigherPriorityStartsFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q, recorder := New(testOptions()), new(completions)
		running, _ := q.Acquire(t.Context(), Ticket{Customer: "x"})
		for _, priority := range []int32{0, 2, 1} {
			go serveRequest(t, q, Ticket{Customer: "a", Priority: priority, PrefillTokens: 10}, recorder)
			synctest.Wait()
		}
		running.Release(0)
		time.Sleep(time.Second)
		for i, completion := range recorder.forCustomer("a") {
			if completion.ticket.Priority != int32(2-i) {
				t.Fatalf("request with priority %d completed at position %d", completion.ticket.Priority, i)
			}
		}
		if got := len(recorder.forCustomer("a")); got != 3 {
			t.Fatalf("%d requests completed, want 3", got)
		}
	})
}

// TestBacklogExcludesOvertakenRequests guards against a backlog that contains queued
// requests which a new request would overtake, or the computed part of a prefill.
func TestBacklogExcludesOvertakenRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := New(testOptions())
		q.SetInitialRate(1_000)
		for range 10 {
			go serveRequest(t, q, Ticket{Customer: "large", PrefillTokens: 1_000}, new(completions))
		}
		synctest.Wait()
		large, small := q.Backlog("large", 0, 0), q.Backlog("small", 0, 0)
		if large.Tokens != 10_000 || large.Wait != 10*time.Second {
			t.Fatalf("large customer's backlog is %+v, want 10,000 tokens and 10 s", large)
		}
		if small.Tokens > 2_000 {
			t.Fatalf("small customer's backlog is %+v, want at most 2,000 tokens", small)
		}
		time.Sleep(500 * time.Millisecond)
		if got := q.Backlog("large", 0, 0).Tokens; got != 9_500 {
			t.Fatalf("backlog is %d tokens after half a second, want 9,500", got)
		}
		time.Sleep(time.Minute)
	})
}
