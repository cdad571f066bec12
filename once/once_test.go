package once

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/greengagegate/greengagegate/store/memstore"
)

const callLimit = 5 * time.Second

// withFleet runs a test on three processes with settled shards, in a time of its own.
func withFleet(t *testing.T, test func(t *testing.T, f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 6)
		for _, process := range []string{"a1", "a2", "a3"} {
			f.start(process)
		}
		f.settle()
		// One more commit names all three as witnesses.
		time.Sleep(time.Second)
		f.touchAll()
		test(t, f)
		f.stopAll()
		synctest.Wait()
	})
}

// touchAll writes each head once, so that its witnesses are those alive now.
func (f *fleet) touchAll() {
	for _, peer := range f.peers() {
		m := f.manager(peer.Process)
		for _, number := range m.Owned() {
			if err := m.shards[number].commit(context.Background(), false); err != nil {
				f.t.Fatal(err)
			}
		}
	}
}

func mustRun(t *testing.T, f *fleet, request Request) Result {
	t.Helper()
	result, err := f.call(request, callLimit)
	if err != nil {
		t.Fatalf("call: %v", err)
	}
	return result
}

func TestRepeatGetsFirstAnswer(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		first := mustRun(t, f, charge("k"))
		second := mustRun(t, f, charge("k"))
		if first.Replayed || !second.Replayed || string(first.Answer) != string(second.Answer) {
			t.Fatalf("got %+v, then %+v", first, second)
		}
		other := charge("k")
		other.Digest = Sum([]byte("pay 6"))
		if _, err := f.call(other, callLimit); reason(t, err) != ReasonConflict {
			t.Fatalf("another content: %v", err)
		}
		if n := f.executions(charge("k")); n != 1 {
			t.Fatalf("ran %d times", n)
		}
	})
}

func TestConcurrentRepeatsWait(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		var group sync.WaitGroup
		answers := make([]string, 20)
		for i := range answers {
			group.Go(func() {
				result, err := f.callWith(charge("k"), callLimit, func() Outcome {
					time.Sleep(time.Second)
					return f.execute(charge("k"))
				})
				if err != nil {
					t.Errorf("call: %v", err)
				}
				answers[i] = string(result.Answer)
			})
		}
		group.Wait()
		for _, answer := range answers {
			if answer != "answer 1" {
				t.Fatalf("got %q", answer)
			}
		}
	})
}

func TestRepeatOfRunningCallTimesOut(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		hold := make(chan struct{})
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			_, _ = f.callWith(charge("k"), callLimit, func() Outcome { <-hold; return f.execute(charge("k")) })
		}()
		time.Sleep(time.Second)
		if _, err := f.call(charge("k"), time.Second); reason(t, err) != ReasonRunning {
			t.Fatalf("got %v", err)
		}
		close(hold)
		<-ended
	})
}

func TestNotSentFreesTheKey(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		_, err := f.callWith(charge("k"), callLimit, func() Outcome { return Outcome{State: StateNotRun} })
		if reason(t, err) != ReasonNotRun {
			t.Fatalf("got %v", err)
		}
		if result := mustRun(t, f, charge("k")); result.Replayed {
			t.Fatal("a freed key was replayed")
		}
	})
}

func TestKeyIsForgottenAfterHorizon(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		mustRun(t, f, charge("k"))
		time.Sleep(testHorizon - time.Second)
		if !mustRun(t, f, charge("k")).Replayed {
			t.Fatal("forgotten before the horizon")
		}
		time.Sleep(2 * time.Second)
		if mustRun(t, f, charge("k")).Replayed {
			t.Fatal("remembered beyond the horizon")
		}
	})
}

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

func TestLostStoreAnswerIsSettledByReading(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		f.store.SetFaults(memstore.Faults{LoseAnswers: 1})
		mustRun(t, f, charge("k"))
		if !mustRun(t, f, charge("k")).Replayed {
			t.Fatal("ran twice")
		}
	})
}

func TestOutageThenCrashLeavesDoubt(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		f.store.SetFaults(memstore.Faults{Down: true})
		mustRun(t, f, charge("k"))
		owner := f.owner(charge("k"))
		f.crash(owner)
		f.start(owner)
		if _, err := f.call(charge("k"), callLimit); reason(t, err) != ReasonUnavailable {
			t.Fatalf("during the outage: %v", err)
		}
		f.store.SetFaults(memstore.Faults{})
		f.settle()
		if _, err := f.call(charge("k"), callLimit); reason(t, err) != ReasonInDoubt {
			t.Fatalf("after the outage: %v", err)
		}
		time.Sleep(testHorizon)
		mustRun(t, f, charge("later"))
	})
}

func TestOutageThenRecoveryLeavesNoDoubt(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		f.store.SetFaults(memstore.Faults{Down: true})
		mustRun(t, f, charge("k"))
		f.store.SetFaults(memstore.Faults{})
		time.Sleep(5 * time.Second)
		owner := f.owner(charge("k"))
		f.crash(owner)
		f.start(owner)
		f.settle()
		if !mustRun(t, f, charge("k")).Replayed {
			t.Fatal("ran twice")
		}
		mustRun(t, f, sameShard(f, charge("k"), "new"))
	})
}

func TestDoubtWithoutWitness(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		owner := f.owner(charge("k"))
		for _, peer := range f.peers() {
			if peer.Process != owner {
				f.crash(peer.Process)
				f.start(peer.Process)
				break
			}
		}
		f.crash(owner)
		f.start(owner)
		f.settle()
		if _, err := f.call(charge("k"), callLimit); reason(t, err) != ReasonInDoubt {
			t.Fatalf("a witness was started anew: %v", err)
		}
	})
}

func TestRestartedWitnessIsReplaced(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		owner := f.owner(charge("k"))
		for _, peer := range f.peers() {
			if peer.Process != owner {
				f.crash(peer.Process)
				f.start(peer.Process)
			}
		}
		time.Sleep(2 * maxLookInterval)
		f.settle()
		f.crash(owner)
		f.start(owner)
		f.settle()
		mustRun(t, f, charge("k"))
	})
}

func TestWitness(t *testing.T) {
	w := newWitness()
	steps := []struct {
		name   string
		mark   *Mark
		ask    *Ask
		wantOK bool
	}{
		{"nothing known", nil, &Ask{Epoch: 1}, false},
		{"fenced epoch", &Mark{Epoch: 1, Episode: 1}, nil, false},
		{"next epoch", &Mark{Epoch: 2, Episode: 1}, nil, true},
		{"episode ended", &Mark{Epoch: 2, Episode: 1, Ended: true}, nil, true},
		{"second episode", &Mark{Epoch: 2, Episode: 2}, nil, true},
		{"late end of the first", &Mark{Epoch: 2, Episode: 1, Ended: true}, nil, true},
		{"still marked", nil, &Ask{Epoch: 2}, true},
		{"fenced by the question", &Mark{Epoch: 2, Episode: 3}, nil, false},
	}
	for _, step := range steps {
		got := false
		if step.mark != nil {
			got = w.mark(*step.mark) == nil
		} else {
			got = w.ask(*step.ask)
		}
		if got != step.wantOK {
			t.Errorf("%s: got %v, want %v", step.name, got, step.wantOK)
		}
	}
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

func TestFullShardRefusesNewKeys(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		mustRun(t, f, charge("k"))
		f.manager(f.owner(charge("k"))).options.MaxKeys = 1
		if _, err := f.call(sameShard(f, charge("k"), "other"), callLimit); reason(t, err) != ReasonFull {
			t.Fatalf("got %v", err)
		}
		mustRun(t, f, charge("k"))
	})
}

func TestClaimIsGivenUpInTime(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		f.store.SetFaults(memstore.Faults{Down: true})
		_, err := f.call(charge("k"), defaultUnjournaledAfter/2)
		if reason(t, err) != ReasonNotRun || told(Result{}, err).state != StateUnknown {
			t.Fatalf("got %v", err)
		}
		f.store.SetFaults(memstore.Faults{})
		time.Sleep(time.Second)
		if mustRun(t, f, charge("k")).Replayed {
			t.Fatal("a claim that was given up was replayed")
		}
	})
}
