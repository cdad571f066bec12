package gateway

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"
)

// simulatedTry is one try of a caller's request in the simulation. It is a request to the
// gateway, not an attempt at an upstream.
type simulatedTry struct {
	// at is when this try arrives, arrivedAt when the first try of the request did.
	at        time.Duration
	arrivedAt time.Duration
	// tries counts the refused tries of the request.
	tries int
}

type tryQueue []simulatedTry

func (q tryQueue) Len() int           { return len(q) }
func (q tryQueue) Less(i, k int) bool { return q[i].at < q[k].at }
func (q tryQueue) Swap(i, k int)      { q[i], q[k] = q[k], q[i] }
func (q *tryQueue) Push(x any)        { *q = append(*q, x.(simulatedTry)) }
func (q *tryQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// simulationResult counts requests by their outcome.
type simulationResult struct {
	// failed counts requests refused in their last try or served after simulatedTimeout.
	requests, onTime, late, failed int
	// maxWait is the longest expected wait of an accepted try.
	maxWait time.Duration
	// retriesByTenth counts the retries of refused requests, by tenth of a second.
	retriesByTenth map[time.Duration]int
}

const (
	simulatedEngines  = 9
	simulatedRate     = 220 // requests per second
	simulatedDuration = 8 * time.Second
	// coldDuration is the time from the start in which caches are empty.
	coldDuration       = 3 * time.Second
	simulatedObjective = 300 * time.Millisecond
	simulatedTimeout   = 4 * time.Second
	// maxTries is the first try of a request and one retry.
	maxTries = 2
	// Prefill times of prompts with 9,190 tokens, of which 6,300 are shared, at 112
	// tokens per millisecond.
	coldPrefill = 82 * time.Millisecond
	warmPrefill = 26 * time.Millisecond
)

// simulate sends prompts to engines whose caches are empty for the first seconds. Each
// engine prefills one prompt after another. A refused request is retried once, after the
// time that decideRetryAfter returned for it. A result of 0 means that the request is
// accepted.
func simulate(decideRetryAfter func(expected, objective time.Duration) time.Duration) simulationResult {
	rng := rand.New(rand.NewPCG(1, 2))
	result := simulationResult{retriesByTenth: make(map[time.Duration]int)}
	var queue tryQueue
	for at := time.Duration(0); at < simulatedDuration; at += time.Duration(rng.ExpFloat64() * float64(time.Second) / simulatedRate) {
		queue = append(queue, simulatedTry{at: at, arrivedAt: at})
	}
	result.requests = len(queue)
	heap.Init(&queue)
	var freeAt [simulatedEngines]time.Duration
	for queue.Len() > 0 {
		try := heap.Pop(&queue).(simulatedTry)
		engine := 0
		for i := range freeAt {
			if freeAt[i] < freeAt[engine] {
				engine = i
			}
		}
		prefill := warmPrefill
		if try.at < coldDuration {
			prefill = coldPrefill
		}
		expected := max(0, freeAt[engine]-try.at) + prefill
		if wait := decideRetryAfter(expected, simulatedObjective); wait > 0 {
			try.tries++
			if try.tries >= maxTries {
				result.failed++
				continue
			}
			try.at += wait
			result.retriesByTenth[try.at/(100*time.Millisecond)]++
			heap.Push(&queue, try)
			continue
		}
		freeAt[engine] = max(freeAt[engine], try.at) + prefill
		result.maxWait = max(result.maxWait, expected)
		switch {
		case expected <= simulatedObjective:
			result.onTime++
		case expected <= simulatedTimeout:
			result.late++
		default:
			result.failed++
		}
	}
	return result
}

// While caches are empty, the engines get twice the load that they can prefill. If
// they accept all requests, a backlog makes later requests late as well. Refusing requests
// that would be late must serve more of them on time, must not let an accepted request
// wait longer than the objective, and must not make refused callers retry together.
func TestRefusingLateRequestsServesMoreOnTime(t *testing.T) {
	acceptingAll := simulate(func(time.Duration, time.Duration) time.Duration { return 0 })
	refusing := simulate(overloadRetryAfter)
	t.Logf("of %d requests: accepting all %d on time, %d late, %d failed; refusing %d, %d, %d", acceptingAll.requests,
		acceptingAll.onTime, acceptingAll.late, acceptingAll.failed, refusing.onTime, refusing.late, refusing.failed)
	if refusing.onTime <= acceptingAll.onTime {
		t.Errorf("%d requests served on time, want more than the %d without refusals", refusing.onTime, acceptingAll.onTime)
	}
	if refusing.maxWait > overloadFactor*simulatedObjective {
		t.Errorf("an accepted request waits %v, longer than the objective of %v", refusing.maxWait, simulatedObjective)
	}
	// Nine engines prefill about 11 uncached prompts in 100 ms. The limit of 36 retries is
	// about three times that: it rounds the prompts per engine up to 2 and doubles the
	// result.
	maxRetries := 0
	for _, count := range refusing.retriesByTenth {
		maxRetries = max(maxRetries, count)
	}
	if limit := 2 * simulatedEngines * int(100*time.Millisecond/coldPrefill+1); maxRetries > limit {
		t.Errorf("%d refused requests are retried within 100 ms, want at most %d", maxRetries, limit)
	}
}

func TestOverloadRetryAfterIsBounded(t *testing.T) {
	for range 1000 {
		if wait := overloadRetryAfter(simulatedObjective, simulatedObjective); wait != 0 {
			t.Fatalf("a request that is on time is refused with a retry after %v", wait)
		}
		if wait := overloadRetryAfter(time.Hour, 0); wait != 0 {
			t.Fatalf("a request without an objective is refused with a retry after %v", wait)
		}
		if wait := overloadRetryAfter(simulatedObjective+1, simulatedObjective); wait <= 0 || wait > simulatedObjective+2 {
			t.Fatalf("a request that is 1 ns late gets a retry after %v", wait)
		}
		if wait := overloadRetryAfter(time.Hour, simulatedObjective); wait != maxOverloadRetryAfter {
			t.Fatalf("a request that is an hour late gets a retry after %v, want the maximum", wait)
		}
	}
}
