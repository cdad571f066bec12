package gateway

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"
)

// replayed is one try of a caller's request in the replay.
type replayed struct {
	at    time.Duration
	first time.Duration
	tries int
}

type replayQueue []replayed

func (q replayQueue) Len() int           { return len(q) }
func (q replayQueue) Less(i, k int) bool { return q[i].at < q[k].at }
func (q replayQueue) Swap(i, k int)      { q[i], q[k] = q[k], q[i] }
func (q *replayQueue) Push(x any)        { *q = append(*q, x.(replayed)) }
func (q *replayQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// replayResult counts how callers fared.
type replayResult struct {
	asked, inAim, late, lost int
	// worst is the longest wait of an admitted try.
	worst time.Duration
	// returns counts refused callers that come back, by tenth of a second.
	returns map[time.Duration]int
}

const (
	replayEngines   = 9
	replayRate      = 220 // requests a second
	replayLength    = 8 * time.Second
	replayCold      = 3 * time.Second
	replayObjective = 300 * time.Millisecond
	replayPatience  = 4 * time.Second
	replayTries     = 2
	// Prompts of 9,190 tokens, of which 6,300 are shared, at 112 tokens a millisecond.
	coldPrompt = 82 * time.Millisecond
	warmPrompt = 26 * time.Millisecond
)

// replay sends prompts to engines whose cached parts are lost for some seconds.
// Each engine reads one prompt after another; callers that were refused come back
// when they were told to, once.
func replay(decide func(expected, objective time.Duration) time.Duration) replayResult {
	random := rand.New(rand.NewPCG(1, 2))
	result := replayResult{returns: make(map[time.Duration]int)}
	var queue replayQueue
	for at := time.Duration(0); at < replayLength; at += time.Duration(random.ExpFloat64() * float64(time.Second) / replayRate) {
		queue = append(queue, replayed{at: at, first: at})
	}
	result.asked = len(queue)
	heap.Init(&queue)
	var freeAt [replayEngines]time.Duration
	for queue.Len() > 0 {
		try := heap.Pop(&queue).(replayed)
		best := 0
		for i := range freeAt {
			if freeAt[i] < freeAt[best] {
				best = i
			}
		}
		prompt := warmPrompt
		if try.at < replayCold {
			prompt = coldPrompt
		}
		expected := max(0, freeAt[best]-try.at) + prompt
		if wait := decide(expected, replayObjective); wait > 0 {
			try.tries++
			if try.tries >= replayTries {
				result.lost++
				continue
			}
			try.at += wait
			result.returns[try.at/(100*time.Millisecond)]++
			heap.Push(&queue, try)
			continue
		}
		freeAt[best] = max(freeAt[best], try.at) + prompt
		result.worst = max(result.worst, expected)
		switch {
		case expected <= replayObjective:
			result.inAim++
		case expected <= replayPatience:
			result.late++
		default:
			result.lost++
		}
	}
	return result
}

// With nearly twice the load that cold engines can read, refusing what would be
// late serves more callers in time than taking everything, holds nobody for long,
// and does not bring the refused back together.
func TestRefusalOfLateWorkServesMoreInTime(t *testing.T) {
	all := replay(func(time.Duration, time.Duration) time.Duration { return 0 })
	refusing := replay(busyWait)
	t.Logf("of %d: taking all %d in time, %d late, %d lost; refusing %d, %d, %d", all.asked,
		all.inAim, all.late, all.lost, refusing.inAim, refusing.late, refusing.lost)
	if refusing.inAim <= all.inAim {
		t.Errorf("%d served in time, %d without refusals", refusing.inAim, all.inAim)
	}
	if refusing.worst > busyFactor*replayObjective {
		t.Errorf("an admitted request waits %v, longer than the objective of %v", refusing.worst, replayObjective)
	}
	// Nine engines read at least 11 cold prompts in a tenth of a second.
	most := 0
	for _, count := range refusing.returns {
		most = max(most, count)
	}
	if limit := 2 * replayEngines * int(100*time.Millisecond/coldPrompt+1); most > limit {
		t.Errorf("%d refused callers return within 100 ms, want at most %d", most, limit)
	}
}

func TestBusyWaitIsToldWithinItsBounds(t *testing.T) {
	for range 1000 {
		if wait := busyWait(replayObjective, replayObjective); wait != 0 {
			t.Fatalf("a request on time is refused for %v", wait)
		}
		if wait := busyWait(time.Hour, 0); wait != 0 {
			t.Fatalf("a request without an objective is refused for %v", wait)
		}
		if wait := busyWait(replayObjective+1, replayObjective); wait <= 0 || wait > replayObjective+2 {
			t.Fatalf("a request that is hardly late is told to wait %v", wait)
		}
		if wait := busyWait(time.Hour, replayObjective); wait != maxBusyRetry {
			t.Fatalf("a request that is an hour late is told to wait %v", wait)
		}
	}
}
