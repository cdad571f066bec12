package once

import (
	"context"
	"testing"
	"time"
)

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

func TestNewIncarnationDoesNotRepeat(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		mustRun(t, f, chargeRequest("done"))
		owner := f.owner(chargeRequest("done"))
		begun := make(chan struct{})
		hold := make(chan struct{})
		running := sameShard(f, chargeRequest("done"), "running")
		go func() {
			_, _ = f.callWith(running, callTimeout, func() Outcome { close(begun); <-hold; return f.execute(running) })
		}()
		<-begun
		time.Sleep(time.Second)
		f.crash(owner)
		f.start(owner)
		f.waitUntilOwned()
		if !mustRun(t, f, chargeRequest("done")).Replayed {
			t.Fatal("the journaled answer was lost")
		}
		if _, err := f.call(running, callTimeout); errorReason(t, err) != ReasonLost {
			t.Fatalf("a claim in flight at the crash: %v", err)
		}
		if mustRun(t, f, sameShard(f, chargeRequest("done"), "fresh")).Replayed {
			t.Fatal("a new key was replayed")
		}
		close(hold)
	})
}

// sameShard returns a request with a new key on the shard of another.
func sameShard(f *fleet, of Request, name string) Request {
	for {
		request := chargeRequest(name)
		if ShardOf(request.ID(), f.shards) == ShardOf(of.ID(), f.shards) {
			return request
		}
		name += "."
	}
}

func TestShardOfLostHostMovesAfterDrop(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		mustRun(t, f, chargeRequest("k"))
		time.Sleep(time.Second)
		f.crash(f.owner(chargeRequest("k")))
		time.Sleep(4 * testDropAfter)
		if _, err := f.call(chargeRequest("k"), callTimeout); errorReason(t, err) != ReasonUnavailable {
			t.Fatalf("a shard moved while its host was listed: %v", err)
		}
		f.listHosts()
		time.Sleep(testDropAfter - time.Second)
		if _, err := f.call(chargeRequest("k"), callTimeout); errorReason(t, err) != ReasonUnavailable {
			t.Fatalf("a shard moved too early: %v", err)
		}
		time.Sleep(2 * maxOwnershipInterval)
		if !mustRun(t, f, chargeRequest("k")).Replayed {
			t.Fatal("the answer was lost")
		}
	})
}

func TestPausedOwnerRunsAtMostOnce(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		request := chargeRequest("k")
		owner := f.owner(request)
		paused := make(chan struct{})
		resume := make(chan struct{})
		ended := make(chan struct{})
		old := f.manager(owner)
		go func() {
			defer close(ended)
			_, _ = old.Do(context.Background(), request, func() Outcome { close(paused); <-resume; return f.execute(request) })
		}()
		<-paused
		f.mu.Lock()
		delete(f.managers, owner)
		f.mu.Unlock()
		f.listHosts()
		time.Sleep(testDropAfter + 2*maxOwnershipInterval)
		if _, err := f.call(request, callTimeout); errorReason(t, err) != ReasonLost {
			t.Fatalf("the successor: %v", err)
		}
		close(resume)
		<-ended
		// A claim that the old owner has not granted yet must not run there.
		late := sameShard(f, request, "late")
		if _, err := old.Do(context.Background(), late, func() Outcome { return f.execute(late) }); errorReason(t, err) != ReasonNotOwner {
			t.Fatalf("the old owner: %v", err)
		}
		mustRun(t, f, late)
		if n := f.executions(request); n != 1 {
			t.Fatalf("ran %d times", n)
		}
		if n := f.executions(late); n != 1 {
			t.Fatalf("the late key ran %d times", n)
		}
		old.cancel()
	})
}

func TestLargeAnswerIsNotKeptByASuccessor(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		large := make([]byte, maxJournaledAnswerBytes+1)
		run := func() Outcome { return Outcome{State: StateRan, Answer: large} }
		if _, err := f.callWith(chargeRequest("k"), callTimeout, run); err != nil {
			t.Fatal(err)
		}
		if !mustRun(t, f, chargeRequest("k")).Replayed {
			t.Fatal("the owner itself lost the answer")
		}
		time.Sleep(2 * outcomeWriteDelay)
		owner := f.owner(chargeRequest("k"))
		f.crash(owner)
		f.start(owner)
		f.waitUntilOwned()
		_, err := f.call(chargeRequest("k"), callTimeout)
		if errorReason(t, err) != ReasonAnswerLost {
			t.Fatalf("got %v", err)
		}
	})
}
