package intake

import (
	"testing"
	"testing/synctest"
	"time"
)

// Load pattern: a hundred long bodies arrive at once, and some clients leave while they wait. Turns
// come one at a time and in order, and none is lost.
func TestTurnsComeInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var turns turnstile
		if turns.enter() != nil {
			t.Fatal("the free turn was not given")
		}
		var queue []chan struct{}
		for range 100 {
			queue = append(queue, turns.enter())
		}
		for i := 1; i < len(queue); i += 2 {
			turns.quit(queue[i])
		}
		for i := 0; i < len(queue); i += 2 {
			select {
			case <-queue[i]:
				t.Fatalf("turn %d came early", i)
			default:
			}
			turns.leave(time.Millisecond)
			<-queue[i]
		}
		turns.leave(time.Millisecond)
		if turns.enter() != nil {
			t.Error("the turn is taken after all have left")
		}
	})
}

// Long bodies that wait for each other must leave as much time to other work as they take.
func TestTurnstileRests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			bodies = 20
			slice  = time.Millisecond
		)
		var turns turnstile
		turns.enter()
		var queue []chan struct{}
		for range bodies {
			queue = append(queue, turns.enter())
		}
		start := time.Now()
		for _, turn := range queue {
			turns.leave(slice)
			<-turn
		}
		if rested, want := time.Since(start), bodies*slice; rested < want {
			t.Errorf("%v of rest for %v of turns, want at least as much", rested, want)
		}
	})
}

// A client that leaves at the moment its turn comes passes it on.
func TestTurnOfClientThatLeftIsPassedOn(t *testing.T) {
	var turns turnstile
	turns.enter()
	left, next := turns.enter(), turns.enter()
	turns.leave(0)
	<-left
	turns.quit(left)
	select {
	case <-next:
	default:
		t.Error("the turn was lost")
	}
}
