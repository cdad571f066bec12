package once

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

const callTimeout = 5 * time.Second

// withFleet runs a test on three processes with settled shards, in a time of its own.
func withFleet(t *testing.T, test func(t *testing.T, f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 6)
		for _, process := range []string{"a1", "a2", "a3"} {
			f.start(process)
		}
		f.waitUntilOwned()
		// One more commit names all three as witnesses.
		time.Sleep(time.Second)
		f.rewriteHeads()
		test(t, f)
		f.stopAll()
		synctest.Wait()
	})
}

// rewriteHeads writes each head once, so that its witnesses are those alive now.
func (f *fleet) rewriteHeads() {
	for _, peer := range f.peers() {
		m := f.manager(peer.Process)
		for _, number := range m.OwnedShards() {
			if err := m.shards[number].commit(context.Background(), false); err != nil {
				f.t.Fatal(err)
			}
		}
	}
}

func mustRun(t *testing.T, f *fleet, request Request) Result {
	t.Helper()
	result, err := f.call(request, callTimeout)
	if err != nil {
		t.Fatalf("call: %v", err)
	}
	return result
}

func TestRepeatGetsFirstAnswer(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		first := mustRun(t, f, chargeRequest("k"))
		second := mustRun(t, f, chargeRequest("k"))
		if first.Replayed || !second.Replayed || string(first.Answer) != string(second.Answer) {
			t.Fatalf("got %+v, then %+v", first, second)
		}
		other := chargeRequest("k")
		other.Digest = Sum([]byte("pay 6"))
		if _, err := f.call(other, callTimeout); errorReason(t, err) != ReasonConflict {
			t.Fatalf("another content: %v", err)
		}
		if n := f.executions(chargeRequest("k")); n != 1 {
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
				result, err := f.callWith(chargeRequest("k"), callTimeout, func() Outcome {
					time.Sleep(time.Second)
					return f.execute(chargeRequest("k"))
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
			_, _ = f.callWith(chargeRequest("k"), callTimeout, func() Outcome { <-hold; return f.execute(chargeRequest("k")) })
		}()
		time.Sleep(time.Second)
		if _, err := f.call(chargeRequest("k"), time.Second); errorReason(t, err) != ReasonRunning {
			t.Fatalf("got %v", err)
		}
		close(hold)
		<-ended
	})
}

func TestCallNotRunReleasesKey(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		_, err := f.callWith(chargeRequest("k"), callTimeout, func() Outcome { return Outcome{State: StateNotRun} })
		if errorReason(t, err) != ReasonNotRun {
			t.Fatalf("got %v", err)
		}
		if result := mustRun(t, f, chargeRequest("k")); result.Replayed {
			t.Fatal("a freed key was replayed")
		}
	})
}

func TestKeyIsForgottenAfterHorizon(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		mustRun(t, f, chargeRequest("k"))
		time.Sleep(testHorizon - time.Second)
		if !mustRun(t, f, chargeRequest("k")).Replayed {
			t.Fatal("forgotten before the horizon")
		}
		time.Sleep(2 * time.Second)
		if mustRun(t, f, chargeRequest("k")).Replayed {
			t.Fatal("remembered beyond the horizon")
		}
	})
}

func TestFullShardRefusesNewKeys(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		mustRun(t, f, chargeRequest("k"))
		f.manager(f.owner(chargeRequest("k"))).options.MaxKeys = 1
		if _, err := f.call(sameShard(f, chargeRequest("k"), "other"), callTimeout); errorReason(t, err) != ReasonFull {
			t.Fatalf("got %v", err)
		}
		mustRun(t, f, chargeRequest("k"))
	})
}
