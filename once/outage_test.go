package once

import (
	"testing"
	"time"

	"github.com/greengagegate/greengagegate/store/memstore"
)

func TestLostWriteReplyIsResolvedByReading(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		f.store.SetFaults(memstore.Faults{LoseAnswers: 1})
		mustRun(t, f, chargeRequest("k"))
		if !mustRun(t, f, chargeRequest("k")).Replayed {
			t.Fatal("ran twice")
		}
	})
}

func TestOutageThenCrashLeavesDoubt(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		f.store.SetFaults(memstore.Faults{Down: true})
		mustRun(t, f, chargeRequest("k"))
		owner := f.owner(chargeRequest("k"))
		f.crash(owner)
		f.start(owner)
		if _, err := f.call(chargeRequest("k"), callTimeout); errorReason(t, err) != ReasonUnavailable {
			t.Fatalf("during the outage: %v", err)
		}
		f.store.SetFaults(memstore.Faults{})
		f.waitUntilOwned()
		if _, err := f.call(chargeRequest("k"), callTimeout); errorReason(t, err) != ReasonInDoubt {
			t.Fatalf("after the outage: %v", err)
		}
		time.Sleep(testHorizon)
		mustRun(t, f, chargeRequest("later"))
	})
}

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
			t.Fatal("ran twice")
		}
		mustRun(t, f, sameShard(f, chargeRequest("k"), "new"))
	})
}

func TestRestartedWitnessLeavesDoubt(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		owner := f.owner(chargeRequest("k"))
		for _, peer := range f.peers() {
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
			t.Fatalf("a witness was started anew: %v", err)
		}
	})
}

func TestRestartedWitnessIsReplaced(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		owner := f.owner(chargeRequest("k"))
		for _, peer := range f.peers() {
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

func TestWitness(t *testing.T) {
	w := newWitness()
	steps := []struct {
		name   string
		mark   *UnjournaledMark
		ask    *UnjournaledQuery
		wantOK bool
	}{
		{"nothing known", nil, &UnjournaledQuery{Epoch: 1}, false},
		{"fenced epoch", &UnjournaledMark{Epoch: 1, Period: 1}, nil, false},
		{"next epoch", &UnjournaledMark{Epoch: 2, Period: 1}, nil, true},
		{"episode ended", &UnjournaledMark{Epoch: 2, Period: 1, Ended: true}, nil, true},
		{"second episode", &UnjournaledMark{Epoch: 2, Period: 2}, nil, true},
		{"late end of the first", &UnjournaledMark{Epoch: 2, Period: 1, Ended: true}, nil, true},
		{"still marked", nil, &UnjournaledQuery{Epoch: 2}, true},
		{"fenced by the question", &UnjournaledMark{Epoch: 2, Period: 3}, nil, false},
	}
	for _, step := range steps {
		got := false
		if step.mark != nil {
			got = w.recordMark(*step.mark) == nil
		} else {
			got = w.fenceAndQuery(*step.ask)
		}
		if got != step.wantOK {
			t.Errorf("%s: got %v, want %v", step.name, got, step.wantOK)
		}
	}
}

func TestClaimIsGivenUpInTime(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		f.store.SetFaults(memstore.Faults{Down: true})
		_, err := f.call(chargeRequest("k"), defaultUnjournaledAfter/2)
		if errorReason(t, err) != ReasonNotRun || outputOf(Result{}, err).state != StateUnknown {
			t.Fatalf("got %v", err)
		}
		f.store.SetFaults(memstore.Faults{})
		time.Sleep(time.Second)
		if mustRun(t, f, chargeRequest("k")).Replayed {
			t.Fatal("a claim that was given up was replayed")
		}
	})
}
