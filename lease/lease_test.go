package lease

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/greengagegate/greengagegate/store/memstore"
)

func TestLeasePassesOnOnlyAfterItsTerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const term = 10 * time.Second
		s := memstore.New()
		first, second := New(s, "k", "a", term, nil), New(s, "k", "b", term, nil)
		ctx := context.Background()
		s.SetFaults(memstore.Faults{LoseAnswers: 1})
		fence, err := first.Acquire(ctx)
		if err != nil || !first.Held() {
			t.Fatalf("first acquire after a lost answer: %v", err)
		}
		var taken int64
		for start := time.Now(); taken == 0; time.Sleep(time.Second) {
			taken, err = second.Acquire(ctx)
			if err != nil && !errors.Is(err, ErrHeld) {
				t.Fatal(err)
			}
			if taken != 0 && first.Held() {
				t.Fatal("two processes hold the lease")
			}
			if time.Since(start) > 2*term {
				t.Fatal("the lease of a silent holder is never taken over")
			}
		}
		if taken <= fence {
			t.Errorf("fencing number went from %d to %d", fence, taken)
		}
		if _, err := first.Acquire(ctx); !errors.Is(err, ErrHeld) {
			t.Errorf("former holder got %v, want ErrHeld", err)
		}
	})
}

func TestRenewedLeaseStays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const term = 10 * time.Second
		s := memstore.New()
		// The holder's clock is 1% slow, the contender's 1% fast.
		start := time.Now()
		slow := func() time.Time { return start.Add(time.Since(start) * 99 / 100) }
		fast := func() time.Time { return start.Add(time.Since(start) * 101 / 100) }
		holder, contender := New(s, "k", "a", term, slow), New(s, "k", "b", term, fast)
		for range 100 {
			if _, err := holder.Acquire(context.Background()); err != nil {
				t.Fatal(err)
			}
			time.Sleep(term / 2)
			if _, err := contender.Acquire(context.Background()); !errors.Is(err, ErrHeld) || !holder.Held() {
				t.Fatalf("contender got %v while the holder renewed", err)
			}
		}
	})
}

// leaseTerm is long enough that no test passes by waiting for its end.
const leaseTerm = time.Hour

func TestReleasedLeaseIsTakenOverAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := memstore.New()
		first, second := New(s, "k", "a", leaseTerm, nil), New(s, "k", "b", leaseTerm, nil)
		acquire(t, first)
		if _, err := second.Acquire(t.Context()); !errors.Is(err, ErrHeld) {
			t.Fatalf("second holder: %v", err)
		}
		if err := first.Release(t.Context()); err != nil {
			t.Fatal(err)
		}
		if first.Held() {
			t.Error("held after its release")
		}
		acquire(t, second)
		if got := second.PreviousHolder(); got != "a" {
			t.Errorf("taken over from %q", got)
		}
		if err := first.Release(t.Context()); err != nil || !second.Held() {
			t.Errorf("a second release: %v", err)
		}
		acquire(t, second)
	})
}

// A process that restarts under its name need not wait for its former life.
func TestRestartedHolderGoesOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := memstore.New()
		former := acquire(t, New(s, "k", "a", leaseTerm, nil))
		again := New(s, "k", "a", leaseTerm, nil)
		if fence := acquire(t, again); fence <= former {
			t.Errorf("fence %d after %d", fence, former)
		}
		if got := again.PreviousHolder(); got != "a" {
			t.Errorf("taken over from %q", got)
		}
	})
}

func acquire(t *testing.T, l *Lease) int64 {
	t.Helper()
	fence, err := l.Acquire(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	return fence
}
