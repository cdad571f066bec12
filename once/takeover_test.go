package once

import (
	"context"
	"testing"
	"time"
)

func TestHandOverKeepsAnswers(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		first := mustRun(t, f, charge("k"))
		owner := f.owner(charge("k"))
		m := f.manager(owner)
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		if err := m.Stop(ctx); err != nil {
			t.Fatal(err)
		}
		f.crash(owner)
		second := mustRun(t, f, charge("k"))
		if !second.Replayed || string(second.Answer) != string(first.Answer) {
			t.Fatalf("got %+v, want a replay of %+v", second, first)
		}
		mustRun(t, f, charge("new"))
	})
}

func TestNewIncarnationDoesNotRepeat(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		mustRun(t, f, charge("done"))
		owner := f.owner(charge("done"))
		begun := make(chan struct{})
		hold := make(chan struct{})
		running := sameShard(f, charge("done"), "running")
		go func() {
			_, _ = f.callWith(running, callLimit, func() Outcome { close(begun); <-hold; return f.execute(running) })
		}()
		<-begun
		time.Sleep(time.Second)
		f.crash(owner)
		f.start(owner)
		f.settle()
		if !mustRun(t, f, charge("done")).Replayed {
			t.Fatal("the journaled answer was lost")
		}
		if _, err := f.call(running, callLimit); reason(t, err) != ReasonLost {
			t.Fatalf("a claim in flight at the crash: %v", err)
		}
		if mustRun(t, f, sameShard(f, charge("done"), "fresh")).Replayed {
			t.Fatal("a new key was replayed")
		}
		close(hold)
	})
}

// sameShard returns a request with a new key on the shard of another.
func sameShard(f *fleet, of Request, name string) Request {
	for {
		request := charge(name)
		if ShardOf(request.ID(), f.shards) == ShardOf(of.ID(), f.shards) {
			return request
		}
		name += "."
	}
}

func TestShardOfLostHostMovesAfterDrop(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		mustRun(t, f, charge("k"))
		time.Sleep(time.Second)
		f.crash(f.owner(charge("k")))
		time.Sleep(4 * testDrop)
		if _, err := f.call(charge("k"), callLimit); reason(t, err) != ReasonUnavailable {
			t.Fatalf("a shard moved while its host was listed: %v", err)
		}
		f.listHosts()
		time.Sleep(testDrop - time.Second)
		if _, err := f.call(charge("k"), callLimit); reason(t, err) != ReasonUnavailable {
			t.Fatalf("a shard moved too early: %v", err)
		}
		time.Sleep(2 * maxLookInterval)
		if !mustRun(t, f, charge("k")).Replayed {
			t.Fatal("the answer was lost")
		}
	})
}

func TestPausedOwnerRunsAtMostOnce(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		request := charge("k")
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
		time.Sleep(testDrop + 2*maxLookInterval)
		if _, err := f.call(request, callLimit); reason(t, err) != ReasonLost {
			t.Fatalf("the successor: %v", err)
		}
		close(resume)
		<-ended
		// A claim that the old owner has not granted yet must not run there.
		late := sameShard(f, request, "late")
		if _, err := old.Do(context.Background(), late, func() Outcome { return f.execute(late) }); reason(t, err) != ReasonNotOwner {
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
		if _, err := f.callWith(charge("k"), callLimit, run); err != nil {
			t.Fatal(err)
		}
		if !mustRun(t, f, charge("k")).Replayed {
			t.Fatal("the owner itself lost the answer")
		}
		time.Sleep(2 * outcomeDelay)
		owner := f.owner(charge("k"))
		f.crash(owner)
		f.start(owner)
		f.settle()
		_, err := f.call(charge("k"), callLimit)
		if reason(t, err) != ReasonAnswerLost {
			t.Fatalf("got %v", err)
		}
	})
}
