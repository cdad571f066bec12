package fairqueue

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestQueueIsEmptyAfterRandomRequests guards against leaked capacity and accounts.
// Concurrent requests end at every stage: in the queue, before the first token
// and after it. The queue checks its own invariants while they run.
func TestQueueIsEmptyAfterRandomRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New(Options{
			Concurrency:     rapid.IntRange(1, 6).Draw(t, "concurrency"),
			MaxPrefills:     rapid.IntRange(1, 3).Draw(t, "prefills"),
			MaxQueued:       rapid.IntRange(1, 20).Draw(t, "queued"),
			MaxQueuedTokens: 20_000,
		})
		var wg sync.WaitGroup
		for range rapid.IntRange(1, 40).Draw(t, "requests") {
			ticket := Ticket{
				Customer:      fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "customer")),
				Weight:        float64(rapid.IntRange(0, 3).Draw(t, "weight")),
				PrefillTokens: int64(rapid.IntRange(0, 5_000).Draw(t, "tokens")),
				Priority:      int32(rapid.IntRange(0, 1).Draw(t, "priority")),
				Suspect:       rapid.IntRange(0, 9).Draw(t, "suspect") == 0,
			}
			timeout := time.Duration(rapid.IntRange(0, 400).Draw(t, "patience")) * time.Microsecond
			endStage := rapid.IntRange(0, 2).Draw(t, "ending")
			wg.Go(func() { runRequest(q, ticket, timeout, endStage) })
		}
		wg.Wait()
		b := q.Backlog("x", 0, 0)
		if b.Running != 0 || b.Queued != 0 || b.Tokens != 0 || q.suspects != 0 || q.waitingTokens != 0 {
			t.Fatalf("queue is not empty: %+v, %d suspects, %d waiting tokens", b, q.suspects, q.waitingTokens)
		}
		for name, account := range q.accounts {
			if account.active != 0 {
				t.Fatalf("customer %s has %d active requests", name, account.active)
			}
		}
	})
}

// runRequest runs one request. It ends in the queue when timeout passes there, and
// otherwise after its start (endStage 0), after the beginning of its prefill (1) or
// after its first token (2).
func runRequest(q *Queue, ticket Ticket, timeout time.Duration, endStage int) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	grant, err := q.Acquire(ctx, ticket)
	if err != nil {
		return
	}
	defer grant.Release(ServiceTokens(ticket.PrefillTokens, 1))
	if endStage == 0 {
		return
	}
	grant.BeginPrefill(ticket.PrefillTokens / 2)
	if endStage == 1 {
		return
	}
	grant.RecordFirstToken()
}
