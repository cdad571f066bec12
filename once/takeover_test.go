package once

import (
	"context"
	"testing"
	"time"
)

// TestHandOverKeepsAnswers guards against a second execution after a graceful stop: the
// next owner must replay the answer, and it must run new keys.
func TestHandOverKeepsAnswers(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		first := mustRun(t, f, chargeRequest("k"))
		owner := f.owner(chargeRequest("k"))
		m := f.manager(owner)
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		if err := m.Stop(ctx); err != nil {
			t.Fatal(err)
		}
		f.crash(owner)
		second := mustRun(t, f, chargeRequest("k"))
		if !second.Replayed || string(second.Answer) != string(first.Answer) {
			t.Fatalf("got %+v, want a replay of %+v", second, first)
		}
		mustRun(t, f, chargeRequest("new"))
	})
}

// TestNewIncarnationDoesNotRepeat guards against a second execution after the owner
// crashed and restarted: answers in the journal are replayed, and a call that was running
// at the crash has an unknown outcome.
func TestNewIncarnationDoesNotRepeat(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		mustRun(t, f, chargeRequest("done"))
		owner := f.owner(chargeRequest("done"))
		started := make(chan struct{})
		finish := make(chan struct{})
		running := sameShard(f, chargeRequest("done"), "running")
		go func() {
			_, _ = f.callWith(running, callTimeout, func() Outcome { close(started); <-finish; return f.execute(running) })
		}()
		<-started
		time.Sleep(time.Second)
		f.crash(owner)
		f.start(owner)
		f.waitUntilOwned()
		if !mustRun(t, f, chargeRequest("done")).Replayed {
			t.Fatal("a request with a journaled answer ran again")
		}
		if _, err := f.call(running, callTimeout); errorReason(t, err) != ReasonOutcomeUnknown {
			t.Fatalf("repeat of a call that was running at the crash: got %v, want ReasonOutcomeUnknown", err)
		}
		if mustRun(t, f, sameShard(f, chargeRequest("done"), "fresh")).Replayed {
			t.Fatal("a new key was replayed")
		}
		close(finish)
	})
}

// sameShard returns a request on the same shard as another request. Its key is prefix
// followed by as many dots as that takes.
func sameShard(f *fleet, other Request, prefix string) Request {
	for {
		request := chargeRequest(prefix)
		if ShardOf(request.ID(), f.shards) == ShardOf(other.ID(), f.shards) {
			return request
		}
		prefix += "."
	}
}

// TestShardOfLostHostMovesAfterDrop guards against a takeover while processes of the
// owner's host may still run: before the host has been absent from the platform's list
// for DropAfter.
func TestShardOfLostHostMovesAfterDrop(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		mustRun(t, f, chargeRequest("k"))
		time.Sleep(time.Second)
		f.crash(f.owner(chargeRequest("k")))
		time.Sleep(4 * testDropAfter)
		if _, err := f.call(chargeRequest("k"), callTimeout); errorReason(t, err) != ReasonUnavailable {
			t.Fatalf("call while the owner's host is listed: got %v, want ReasonUnavailable", err)
		}
		f.listHosts()
		time.Sleep(testDropAfter - time.Second)
		if _, err := f.call(chargeRequest("k"), callTimeout); errorReason(t, err) != ReasonUnavailable {
			t.Fatalf("call before DropAfter has passed: got %v, want ReasonUnavailable", err)
		}
		time.Sleep(2 * maxOwnershipInterval)
		if !mustRun(t, f, chargeRequest("k")).Replayed {
			t.Fatal("the answer was lost")
		}
	})
}

// TestPausedOwnerRunsAtMostOnce guards against executions by both an owner that was
// paused during a call and the successor that took its shard over meanwhile.
func TestPausedOwnerRunsAtMostOnce(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		request := chargeRequest("k")
		owner := f.owner(request)
		started := make(chan struct{})
		resume := make(chan struct{})
		ended := make(chan struct{})
		old := f.manager(owner)
		go func() {
			defer close(ended)
			_, _ = old.Do(context.Background(), request, func() Outcome { close(started); <-resume; return f.execute(request) })
		}()
		<-started
		f.mu.Lock()
		delete(f.managers, owner)
		f.mu.Unlock()
		f.listHosts()
		time.Sleep(testDropAfter + 2*maxOwnershipInterval)
		if _, err := f.call(request, callTimeout); errorReason(t, err) != ReasonOutcomeUnknown {
			t.Fatalf("repeat at the successor: got %v, want ReasonOutcomeUnknown", err)
		}
		close(resume)
		<-ended
		// The old owner must not run a new claim.
		late := sameShard(f, request, "late")
		if _, err := old.Do(context.Background(), late, func() Outcome { return f.execute(late) }); errorReason(t, err) != ReasonNotOwner {
			t.Fatalf("new key at the old owner: got %v, want ReasonNotOwner", err)
		}
		mustRun(t, f, late)
		if n := f.executions(request); n != 1 {
			t.Fatalf("the request ran %d times, want 1", n)
		}
		if n := f.executions(late); n != 1 {
			t.Fatalf("late key: ran %d times, want 1", n)
		}
		old.cancel()
	})
}

// TestLargeAnswerIsNotKeptByASuccessor guards against a second execution of a call whose
// answer is too large for the journal: the owner replays it, and after a restart the call
// is known to have run.
func TestLargeAnswerIsNotKeptByASuccessor(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		large := make([]byte, maxJournaledAnswerBytes+1)
		run := func() Outcome { return Outcome{State: StateRan, Answer: large} }
		if _, err := f.callWith(chargeRequest("k"), callTimeout, run); err != nil {
			t.Fatal(err)
		}
		if !mustRun(t, f, chargeRequest("k")).Replayed {
			t.Fatal("the owner ran the request again")
		}
		time.Sleep(2 * outcomeWriteDelay)
		owner := f.owner(chargeRequest("k"))
		f.crash(owner)
		f.start(owner)
		f.waitUntilOwned()
		_, err := f.call(chargeRequest("k"), callTimeout)
		if errorReason(t, err) != ReasonAnswerLost {
			t.Fatalf("repeat after the restart: got %v, want ReasonAnswerLost", err)
		}
	})
}
