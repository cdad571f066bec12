package once

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

const callTimeout = 5 * time.Second

// withFleet runs a test in virtual time on three processes that own six shards. All
// three are running when the heads are written last, so that each head names the other
// two processes as witnesses.
func withFleet(t *testing.T, test func(t *testing.T, f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 6)
		for _, process := range []string{"a1", "a2", "a3"} {
			f.start(process)
		}
		f.waitUntilOwned()
		// A head that was written before all processes ran lacks some witnesses.
		time.Sleep(time.Second)
		f.rewriteHeads()
		test(t, f)
		f.stopAll()
		synctest.Wait()
	})
}

// rewriteHeads writes each head once, so that it names the live peers as witnesses.
func (f *fleet) rewriteHeads() {
	for _, peer := range f.peersWithRaisedIncarnations() {
		m := f.manager(peer.Process)
		for _, number := range m.OwnedShards() {
			if err := m.shards[number].commit(context.Background(), false); err != nil {
				f.t.Fatal(err)
			}
		}
	}
}

// mustRun returns the result of a call. It fails the test when the call fails.
func mustRun(t *testing.T, f *fleet, request Request) Result {
	t.Helper()
	result, err := f.call(request, callTimeout)
	if err != nil {
		t.Fatalf("call failed: %v", err)
	}
	return result
}

// TestRepeatGetsFirstAnswer guards against a second execution by a repeat, and against a
// replay to a request with different content.
func TestRepeatGetsFirstAnswer(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		first := mustRun(t, f, chargeRequest("k"))
		second := mustRun(t, f, chargeRequest("k"))
		if first.Replayed || !second.Replayed || string(first.Answer) != string(second.Answer) {
			t.Fatalf("first call: %+v, repeat: %+v; want a replay of the first answer", first, second)
		}
		other := chargeRequest("k")
		other.Digest = ContentDigest([]byte("pay 6"))
		if _, err := f.call(other, callTimeout); errorReason(t, err) != ReasonConflict {
			t.Fatalf("repeat with different content: got %v, want ReasonConflict", err)
		}
		if n := f.executions(chargeRequest("k")); n != 1 {
			t.Fatalf("the request ran %d times, want 1", n)
		}
	})
}

// TestConcurrentRepeatsWait guards against executions by repeats that arrive while the
// first call runs.
func TestConcurrentRepeatsWait(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		var group sync.WaitGroup
		answers := make([]string, 20)
		for i := range answers {
			group.Go(func() {
				result, err := f.callWith(chargeRequest("k"), callTimeout, func() Outcome {
					time.Sleep(time.Second)
					return f.execute(chargeRequest("k"))
				})
				if err != nil {
					t.Errorf("call failed: %v", err)
				}
				answers[i] = string(result.Answer)
			})
		}
		group.Wait()
		for _, answer := range answers {
			if answer != "answer 1" {
				t.Fatalf("got answer %q, want that of the first execution", answer)
			}
		}
	})
}

// TestRepeatOfRunningCallTimesOut guards against a repeat that runs, or waits beyond its
// context, while the first call is still running.
func TestRepeatOfRunningCallTimesOut(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		finish := make(chan struct{})
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			_, _ = f.callWith(chargeRequest("k"), callTimeout, func() Outcome { <-finish; return f.execute(chargeRequest("k")) })
		}()
		time.Sleep(time.Second)
		if _, err := f.call(chargeRequest("k"), time.Second); errorReason(t, err) != ReasonRunning {
			t.Fatalf("repeat during the first call: got %v, want ReasonRunning", err)
		}
		close(finish)
		<-ended
	})
}

// TestCallNotRunReleasesKey guards against a key that stays claimed after its call was
// not run, so that no repeat could run.
func TestCallNotRunReleasesKey(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		_, err := f.callWith(chargeRequest("k"), callTimeout, func() Outcome { return Outcome{State: StateNotRun} })
		if errorReason(t, err) != ReasonNotRun {
			t.Fatalf("call that was not run: got %v, want ReasonNotRun", err)
		}
		if result := mustRun(t, f, chargeRequest("k")); result.Replayed {
			t.Fatal("a released key was replayed")
		}
	})
}

// TestKeyIsForgottenAfterHorizon guards against keys that are evicted too early or never.
func TestKeyIsForgottenAfterHorizon(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		mustRun(t, f, chargeRequest("k"))
		time.Sleep(testHorizon - time.Second)
		if !mustRun(t, f, chargeRequest("k")).Replayed {
			t.Fatal("the key ran again before the horizon")
		}
		time.Sleep(2 * time.Second)
		if mustRun(t, f, chargeRequest("k")).Replayed {
			t.Fatal("the key was replayed after the horizon")
		}
	})
}

// TestFullShardRefusesNewKeys guards against a shard that holds more than MaxKeys keys,
// or that refuses repeats when it is full.
func TestFullShardRefusesNewKeys(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		mustRun(t, f, chargeRequest("k"))
		f.manager(f.owner(chargeRequest("k"))).options.MaxKeys = 1
		if _, err := f.call(sameShard(f, chargeRequest("k"), "other"), callTimeout); errorReason(t, err) != ReasonFull {
			t.Fatalf("new key on a full shard: got %v, want ReasonFull", err)
		}
		mustRun(t, f, chargeRequest("k"))
	})
}
