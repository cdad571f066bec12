package once

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/greengagegate/greengagegate/store"
	"github.com/greengagegate/greengagegate/store/memstore"
)

// failAfterPutStore is a store that goes down right after one write took effect.
type failAfterPutStore struct {
	*memstore.Store
	failNextPut bool
}

func (v *failAfterPutStore) Put(ctx context.Context, key string, value []byte, expected int64) (int64, error) {
	version, err := v.Store.Put(ctx, key, value, expected)
	if !v.failNextPut || err != nil {
		return version, err
	}
	v.failNextPut = false
	v.SetFaults(memstore.Faults{Down: true})
	return 0, store.ErrUnknownOutcome
}

// TestUnresolvedCloseForbidsUnjournaledCalls: the record is closed, which its owner
// does not know. A successor asks no witness, so the owner must run nothing new.
func TestUnresolvedCloseForbidsUnjournaledCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1)
		shaky := &failAfterPutStore{Store: f.store}
		old := f.startOn("a1", shaky)
		f.waitUntilOwned()
		shaky.failNextPut = true
		if err := old.shards[0].closeShard(t.Context(), false); err == nil {
			t.Fatal("the close was not open")
		}
		request := chargeRequest("k")
		ctx, cancel := context.WithTimeout(t.Context(), callTimeout)
		defer cancel()
		if _, err := old.Do(ctx, request, func() Outcome { return f.execute(request) }); errorReason(t, err) != ReasonNotRun {
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

// TestResumedOwnerIgnoresOldFailures: an owner in an episode is paused; at
// the moment it goes on it must not trust that the store is still down.
func TestResumedOwnerIgnoresOldFailures(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1)
		g := newPauseGate()
		old := f.startOn("a1", &pausableStore{f.store, g})
		f.waitUntilOwned()
		f.store.SetFaults(memstore.Faults{Down: true})
		mustRun(t, f, chargeRequest("before"))
		mustRun(t, f, chargeRequest("at once"))
		reopen := g.pause()
		time.Sleep(2 * maxFailureAge)
		request := chargeRequest("after")
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if _, err := old.Do(ctx, request, func() Outcome { return f.execute(request) }); errorReason(t, err) != ReasonNotRun {
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
		g := newPauseGate()
		order := rankPeers([]Peer{{Process: "a1"}, {Process: "a2"}}, testPool, 0)
		old := f.startOn(order[0].Process, &pausableStore{f.store, g})
		f.waitUntilOwned()
		f.start(order[1].Process)
		time.Sleep(2 * time.Second)
		reopen := g.pause()
		f.mu.Lock()
		delete(f.managers, order[0].Process)
		f.mu.Unlock()
		f.listHosts()
		time.Sleep(testDropAfter + 2*maxOwnershipInterval + testHorizon)
		request := chargeRequest("k")
		mustRun(t, f, request)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := old.Do(ctx, request, func() Outcome { return f.execute(request) })
		if outputOf(Result{}, err).state != StateUnknown {
			t.Fatalf("the old owner: %v", err)
		}
		other := request
		other.Digest = Sum([]byte("pay 6"))
		go func() { _, _ = old.Do(ctx, other, func() Outcome { return f.execute(other) }) }()
		synctest.Wait()
		_, err = old.Do(ctx, request, func() Outcome { return f.execute(request) })
		if outputOf(Result{}, err).state != StateUnknown {
			t.Fatalf("the old owner on a conflict: %v", err)
		}
		reopen()
		old.Halt()
		f.stopAll()
		synctest.Wait()
	})
}
