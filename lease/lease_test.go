package lease

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/greengagegate/greengagegate/store/memstore"
)

// TestLeaseIsTakenOverOnlyAfterItsTerm guards against two holders of a lease, and against
// a lease that is never taken over after its holder has stopped renewing it. The reply to
// the holder's first write is lost.
func TestLeaseIsTakenOverOnlyAfterItsTerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const term = 10 * time.Second
		s := memstore.New()
		first, second := NewLease(LeaseOptions{Store: s, Key: "k", Holder: "a", Term: term}), NewLease(LeaseOptions{Store: s, Key: "k", Holder: "b", Term: term})
		ctx := context.Background()
		s.SetFaults(memstore.Faults{LoseAnswers: 1})
		firstToken, err := first.Acquire(ctx)
		if err != nil || !first.Held() {
			t.Fatalf("first acquire after a lost answer: %v", err)
		}
		var secondToken int64
		for start := time.Now(); secondToken == 0; time.Sleep(time.Second) {
			secondToken, err = second.Acquire(ctx)
			if err != nil && !errors.Is(err, ErrHeld) {
				t.Fatal(err)
			}
			if secondToken != 0 && first.Held() {
				t.Fatal("two processes hold the lease")
			}
			if time.Since(start) > 2*term {
				t.Fatal("the lease of a holder that stopped renewing is never taken over")
			}
		}
		if secondToken <= firstToken {
			t.Errorf("fencing token went from %d to %d, want it to grow", firstToken, secondToken)
		}
		if _, err := first.Acquire(ctx); !errors.Is(err, ErrHeld) {
			t.Errorf("the previous holder got %v, want ErrHeld", err)
		}
	})
}

// TestRenewedLeaseIsNotTakenOver guards against a takeover of a lease that its holder
// renews twice per term, when the holder's clock runs 1% slow and the contender's 1% fast.
func TestRenewedLeaseIsNotTakenOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const term = 10 * time.Second
		s := memstore.New()
		// The holder's clock runs 1% slow, the contender's 1% fast.
		start := time.Now()
		slow := func() time.Time { return start.Add(time.Since(start) * 99 / 100) }
		fast := func() time.Time { return start.Add(time.Since(start) * 101 / 100) }
		holder := NewLease(LeaseOptions{Store: s, Key: "k", Holder: "a", Term: term, Now: slow})
		contender := NewLease(LeaseOptions{Store: s, Key: "k", Holder: "b", Term: term, Now: fast})
		for range 100 {
			if _, err := holder.Acquire(context.Background()); err != nil {
				t.Fatal(err)
			}
			time.Sleep(term / 2)
			if _, err := contender.Acquire(context.Background()); !errors.Is(err, ErrHeld) || !holder.Held() {
				t.Fatalf("the contender got %v, want ErrHeld and the lease still held by the holder that renews it", err)
			}
		}
	})
}

// leaseTerm is so long that no test passes because the term ended.
const leaseTerm = time.Hour

// TestReleasedLeaseIsTakenOverAtOnce guards against a contender that waits for the term of
// a released lease, and against a second release that ends the lease of the next holder.
func TestReleasedLeaseIsTakenOverAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := memstore.New()
		first, second := NewLease(LeaseOptions{Store: s, Key: "k", Holder: "a", Term: leaseTerm}), NewLease(LeaseOptions{Store: s, Key: "k", Holder: "b", Term: leaseTerm})
		acquire(t, first)
		if _, err := second.Acquire(t.Context()); !errors.Is(err, ErrHeld) {
			t.Fatalf("the second holder got %v, want ErrHeld", err)
		}
		if err := first.Release(t.Context()); err != nil {
			t.Fatal(err)
		}
		if first.Held() {
			t.Error("the released lease is still held")
		}
		acquire(t, second)
		if got := second.Handover().Actor; got != "a" {
			t.Errorf("the last actor is %q, want \"a\"", got)
		}
		if err := first.Release(t.Context()); err != nil || !second.Held() {
			t.Errorf("the second release returned %v or ended the new holder's lease", err)
		}
		acquire(t, second)
	})
}

// A process that restarts under the same holder name must not wait for the term of
// its previous incarnation.
func TestRestartedHolderAcquiresAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := memstore.New()
		firstToken := acquire(t, NewLease(LeaseOptions{Store: s, Key: "k", Holder: "a", Term: leaseTerm}))
		restarted := NewLease(LeaseOptions{Store: s, Key: "k", Holder: "a", Term: leaseTerm})
		if token := acquire(t, restarted); token <= firstToken {
			t.Errorf("fencing token %d after %d, want it to grow", token, firstToken)
		}
		if got := restarted.Handover().Actor; got != "a" {
			t.Errorf("the last actor is %q, want \"a\"", got)
		}
	})
}

func acquire(t *testing.T, l *Lease) int64 {
	t.Helper()
	token, err := l.Acquire(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	return token
}

// A process whose lease expired while it was suspended, and that nobody else took, is its own
// last actor, whoever held the lease before.
func TestHolderAfterExpiryIsItsOwnLastActor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const term = time.Second
		s := memstore.New()
		first, second := NewLease(LeaseOptions{Store: s, Key: "k", Holder: "a", Term: term}), NewLease(LeaseOptions{Store: s, Key: "k", Holder: "b", Term: term})
		acquire(t, first)
		if err := first.Release(t.Context()); err != nil {
			t.Fatal(err)
		}
		acquire(t, second)
		time.Sleep(2 * term)
		if second.Held() {
			t.Fatal("the lease is still held after its term")
		}
		acquire(t, second)
		if got := second.Handover().Actor; got != "b" {
			t.Errorf("the last actor is %q, want \"b\"", got)
		}
	})
}
