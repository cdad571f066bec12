package once

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/greengagegate/greengagegate/store"
	"github.com/greengagegate/greengagegate/store/memstore"
)

// vanishing is a store that goes down right after one write took effect.
type vanishing struct {
	*memstore.Store
	armed bool
}

func (v *vanishing) Put(ctx context.Context, key string, value []byte, expected int64) (int64, error) {
	version, err := v.Store.Put(ctx, key, value, expected)
	if !v.armed || err != nil {
		return version, err
	}
	v.armed = false
	v.SetFaults(memstore.Faults{Down: true})
	return 0, store.ErrUnknownOutcome
}

// TestOpenCloseForbidsUnjournaledCalls: the record is closed, which its owner
// does not know. A successor asks no witness, so the owner must run nothing new.
func TestOpenCloseForbidsUnjournaledCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1)
		shaky := &vanishing{Store: f.store}
		old := f.startOn("a1", shaky)
		f.settle()
		shaky.armed = true
		if err := old.shards[0].close(t.Context(), false); err == nil {
			t.Fatal("the close was not open")
		}
		request := charge("k")
		ctx, cancel := context.WithTimeout(t.Context(), callLimit)
		defer cancel()
		if _, err := old.Do(ctx, request, func() Outcome { return f.execute(request) }); reason(t, err) != ReasonNotRun {
			t.Fatalf("the old owner: %v", err)
		}
		f.store.SetFaults(memstore.Faults{})
		mustRun(t, f, request)
		if n := f.executions(request); n != 1 {
			t.Fatalf("ran %d times", n)
		}
		f.stopAll()
		synctest.Wait()
	})
}

// TestResumedOwnerRunsNothingOnOldEvidence: an owner in an episode is paused; at
// the moment it goes on it must not trust that the store is still down.
func TestResumedOwnerRunsNothingOnOldEvidence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1)
		g := newGate()
		old := f.startOn("a1", &pausable{f.store, g})
		f.settle()
		f.store.SetFaults(memstore.Faults{Down: true})
		mustRun(t, f, charge("before"))
		mustRun(t, f, charge("at once"))
		reopen := g.shut()
		time.Sleep(2 * failureFreshFor)
		request := charge("after")
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if _, err := old.Do(ctx, request, func() Outcome { return f.execute(request) }); reason(t, err) != ReasonNotRun {
			t.Fatalf("got %v", err)
		}
		reopen()
		f.stopAll()
		synctest.Wait()
	})
}

// TestStaleOwnerDoesNotVouchForAKey: a paused owner has not seen yet that its
// shard has moved and that the successor has run the key.
func TestStaleOwnerDoesNotVouchForAKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1)
		g := newGate()
		order := rank([]Peer{{Process: "a1"}, {Process: "a2"}}, testPool, 0)
		old := f.startOn(order[0].Process, &pausable{f.store, g})
		f.settle()
		f.start(order[1].Process)
		time.Sleep(2 * time.Second)
		reopen := g.shut()
		f.mu.Lock()
		delete(f.managers, order[0].Process)
		f.mu.Unlock()
		f.listHosts()
		time.Sleep(testDrop + 2*maxLookInterval + testHorizon)
		request := charge("k")
		mustRun(t, f, request)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := old.Do(ctx, request, func() Outcome { return f.execute(request) })
		if told(Result{}, err).state != StateUnknown {
			t.Fatalf("the old owner: %v", err)
		}
		other := request
		other.Digest = Sum([]byte("pay 6"))
		go func() { _, _ = old.Do(ctx, other, func() Outcome { return f.execute(other) }) }()
		synctest.Wait()
		_, err = old.Do(ctx, request, func() Outcome { return f.execute(request) })
		if told(Result{}, err).state != StateUnknown {
			t.Fatalf("the old owner on a conflict: %v", err)
		}
		reopen()
		old.Halt()
		f.stopAll()
		synctest.Wait()
	})
}
