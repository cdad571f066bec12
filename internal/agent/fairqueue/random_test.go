package fairqueue

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestQueueIsEmptyAfterAnyMixOfRequests runs requests that end in all ways at
// once. The queue asserts its own invariants; nothing may be left behind.
func TestQueueIsEmptyAfterAnyMixOfRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New(Options{
			Concurrency:     rapid.IntRange(1, 6).Draw(t, "concurrency"),
			Prefills:        rapid.IntRange(1, 3).Draw(t, "prefills"),
			MaxQueued:       rapid.IntRange(1, 20).Draw(t, "queued"),
			MaxQueuedTokens: 20_000,
		})
		var group sync.WaitGroup
		for range rapid.IntRange(1, 40).Draw(t, "requests") {
			ticket := Ticket{
				Customer:      fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "customer")),
				Weight:        float64(rapid.IntRange(0, 3).Draw(t, "weight")),
				PrefillTokens: int64(rapid.IntRange(0, 5_000).Draw(t, "tokens")),
				Priority:      int32(rapid.IntRange(0, 1).Draw(t, "priority")),
				Suspect:       rapid.IntRange(0, 9).Draw(t, "suspect") == 0,
			}
			patience := time.Duration(rapid.IntRange(0, 400).Draw(t, "patience")) * time.Microsecond
			ending := rapid.IntRange(0, 2).Draw(t, "ending")
			group.Go(func() { request(q, ticket, patience, ending) })
		}
		group.Wait()
		b := q.Backlog("x", 0, 0)
		if b.Running != 0 || b.Queued != 0 || b.Tokens != 0 || q.suspects != 0 || q.waitingTokens != 0 {
			t.Fatalf("left behind: %+v, %d suspects, %d tokens", b, q.suspects, q.waitingTokens)
		}
		for name, account := range q.customers {
			if account.active != 0 {
				t.Fatalf("customer %s has %d active requests", name, account.active)
			}
		}
	})
}

// request runs one request that ends before its start, its first token or its last.
func request(q *Queue, ticket Ticket, patience time.Duration, ending int) {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	grant, err := q.Acquire(ctx, ticket)
	if err != nil {
		return
	}
	defer grant.Release(Service(ticket.PrefillTokens, 1))
	if ending == 0 {
		return
	}
	grant.Begin(ticket.PrefillTokens / 2)
	if ending == 1 {
		return
	}
	grant.FirstToken()
}
