package once

import (
	"testing"
	"time"

	"github.com/greengagegate/greengagegate/store/memstore"
)

// TestLostWriteReplyIsResolvedByReading guards against a second execution when a write
// takes effect and its reply is lost. The owner then reads the head to learn that.
func TestLostWriteReplyIsResolvedByReading(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		f.store.SetFaults(memstore.Faults{LoseAnswers: 1})
		mustRun(t, f, chargeRequest("k"))
		if !mustRun(t, f, chargeRequest("k")).Replayed {
			t.Fatal("the request ran twice")
		}
	})
}

// TestOutageThenCrashLeavesDoubt guards against a second execution of a call that ran
// unjournaled while the store failed and whose owner then crashed. The successor's
// journal lacks the call, so the shard must refuse new keys for one horizon.
func TestOutageThenCrashLeavesDoubt(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		f.store.SetFaults(memstore.Faults{Down: true})
		mustRun(t, f, chargeRequest("k"))
		owner := f.owner(chargeRequest("k"))
		f.crash(owner)
		f.start(owner)
		if _, err := f.call(chargeRequest("k"), callTimeout); errorReason(t, err) != ReasonUnavailable {
			t.Fatalf("call during the outage: got %v, want ReasonUnavailable", err)
		}
		f.store.SetFaults(memstore.Faults{})
		f.waitUntilOwned()
		if _, err := f.call(chargeRequest("k"), callTimeout); errorReason(t, err) != ReasonInDoubt {
			t.Fatalf("call after the outage: got %v, want ReasonInDoubt", err)
		}
		time.Sleep(testHorizon)
		mustRun(t, f, chargeRequest("later"))
	})
}

// TestOutageThenRecoveryLeavesNoDoubt guards against a shard that stays in doubt after
// its unjournaled claims were written to the store and the witnesses know that.
func TestOutageThenRecoveryLeavesNoDoubt(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		f.store.SetFaults(memstore.Faults{Down: true})
		mustRun(t, f, chargeRequest("k"))
		f.store.SetFaults(memstore.Faults{})
		time.Sleep(5 * time.Second)
		owner := f.owner(chargeRequest("k"))
		f.crash(owner)
		f.start(owner)
		f.waitUntilOwned()
		if !mustRun(t, f, chargeRequest("k")).Replayed {
			t.Fatal("the request ran twice")
		}
		mustRun(t, f, sameShard(f, chargeRequest("k"), "new"))
	})
}

// TestRestartedWitnessLeavesDoubt guards against a successor that trusts a witness whose
// marks were lost in a restart.
func TestRestartedWitnessLeavesDoubt(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		owner := f.owner(chargeRequest("k"))
		for _, peer := range f.peersWithRaisedIncarnations() {
			if peer.Process != owner {
				f.crash(peer.Process)
				f.start(peer.Process)
				break
			}
		}
		f.crash(owner)
		f.start(owner)
		f.waitUntilOwned()
		if _, err := f.call(chargeRequest("k"), callTimeout); errorReason(t, err) != ReasonInDoubt {
			t.Fatalf("call after a witness restarted: got %v, want ReasonInDoubt", err)
		}
	})
}

// TestRestartedWitnessIsReplaced guards against heads that go on naming former
// incarnations of witnesses, which would put the shard in doubt at the next takeover.
func TestRestartedWitnessIsReplaced(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		owner := f.owner(chargeRequest("k"))
		for _, peer := range f.peersWithRaisedIncarnations() {
			if peer.Process != owner {
				f.crash(peer.Process)
				f.start(peer.Process)
			}
		}
		time.Sleep(2 * maxOwnershipInterval)
		f.waitUntilOwned()
		f.crash(owner)
		f.start(owner)
		f.waitUntilOwned()
		mustRun(t, f, chargeRequest("k"))
	})
}

// TestWitness guards against a witness that records marks of a fenced epoch, or that
// lets a late report about one period end a later one.
func TestWitness(t *testing.T) {
	w := newWitness()
	steps := []struct {
		name  string
		mark  *UnjournaledMark
		query *UnjournaledQuery
		// want is whether the mark is recorded or the query finds an open period.
		want bool
	}{
		{"no mark recorded", nil, &UnjournaledQuery{Epoch: 1}, false},
		{"fenced epoch", &UnjournaledMark{Epoch: 1, Period: 1}, nil, false},
		{"next epoch", &UnjournaledMark{Epoch: 2, Period: 1}, nil, true},
		{"period ended", &UnjournaledMark{Epoch: 2, Period: 1, Ended: true}, nil, true},
		{"second period", &UnjournaledMark{Epoch: 2, Period: 2}, nil, true},
		{"late end of period 1", &UnjournaledMark{Epoch: 2, Period: 1, Ended: true}, nil, true},
		{"second period still open", nil, &UnjournaledQuery{Epoch: 2}, true},
		{"fenced by the query", &UnjournaledMark{Epoch: 2, Period: 3}, nil, false},
	}
	for _, step := range steps {
		got := false
		if step.mark != nil {
			got = w.recordMark(*step.mark) == nil
		} else {
			got = w.fenceAndQuery(*step.query)
		}
		if got != step.want {
			t.Errorf("%s: got %v, want %v", step.name, got, step.want)
		}
	}
}

// TestClaimIsGivenUpInTime guards against a call that runs, or keeps waiting, when its
// context ends before its claim is written. The owner can't prove then that it still
// owns the shard, so the state must be unknown.
func TestClaimIsGivenUpInTime(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		f.store.SetFaults(memstore.Faults{Down: true})
		_, err := f.call(chargeRequest("k"), defaultUnjournaledAfter/2)
		if errorReason(t, err) != ReasonNotRun || outputOf(Result{}, err).state != StateUnknown {
			t.Fatalf("call during the outage: got %v, want ReasonNotRun with StateUnknown", err)
		}
		f.store.SetFaults(memstore.Faults{})
		time.Sleep(time.Second)
		if mustRun(t, f, chargeRequest("k")).Replayed {
			t.Fatal("an abandoned claim was replayed")
		}
	})
}
