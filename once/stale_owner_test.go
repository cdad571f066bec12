package once

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/greengagegate/greengagegate/store"
	"github.com/greengagegate/greengagegate/store/memstore"
)

// failAfterPutStore is a store that fails from the next successful write on. The caller
// does not learn that the write took effect.
type failAfterPutStore struct {
	*memstore.Store
	failNextPut bool
}

func (s *failAfterPutStore) Put(ctx context.Context, key string, value []byte, expected int64) (int64, error) {
	version, err := s.Store.Put(ctx, key, value, expected)
	if !s.failNextPut || err != nil {
		return version, err
	}
	s.failNextPut = false
	s.SetFaults(memstore.Faults{Down: true})
	return 0, store.ErrUnknownOutcome
}

// TestUnresolvedCloseForbidsUnjournaledCalls guards against a second execution after a
// closing write whose reply was lost. The head is closed, but its owner does not know. A
// successor asks no witness, so the owner must run no claim unjournaled.
func TestUnresolvedCloseForbidsUnjournaledCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1)
		failing := &failAfterPutStore{Store: f.store}
		owner := f.startOn("a1", failing)
		f.waitUntilOwned()
		failing.failNextPut = true
		if err := owner.shards[0].closeShard(t.Context(), false); err == nil {
			t.Fatal("closing the shard succeeded, want an unknown outcome")
		}
		request := chargeRequest("k")
		ctx, cancel := context.WithTimeout(t.Context(), callTimeout)
		defer cancel()
		if _, err := owner.Do(ctx, request, func() Outcome { return f.execute(request) }); errorReason(t, err) != ReasonNotRun {
			t.Fatalf("call to the owner: got %v, want ReasonNotRun", err)
		}
		f.store.SetFaults(memstore.Faults{})
		mustRun(t, f, request)
		if n := f.executions(request); n != 1 {
			t.Fatalf("the request ran %d times, want 1", n)
		}
		f.stopAll()
		synctest.Wait()
	})
}

// TestResumedOwnerIgnoresOldFailures guards against unjournaled calls by an owner that
// was paused during an unjournaled period. When it resumes, its last failed write is no
// evidence that the store still fails, and a successor may have taken the shard. The
// gate delays only the store's calls and replies, so the other parts of the process run
// already, as just after a pause.
func TestResumedOwnerIgnoresOldFailures(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1)
		gate := newPauseGate()
		owner := f.startOn("a1", &pausableStore{f.store, gate})
		f.waitUntilOwned()
		f.store.SetFaults(memstore.Faults{Down: true})
		mustRun(t, f, chargeRequest("before"))
		mustRun(t, f, chargeRequest("at once"))
		resume := gate.pause()
		time.Sleep(2 * maxFailureAge)
		request := chargeRequest("after")
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if _, err := owner.Do(ctx, request, func() Outcome { return f.execute(request) }); errorReason(t, err) != ReasonNotRun {
			t.Fatalf("call to the owner whose store calls are paused: got %v, want ReasonNotRun", err)
		}
		resume()
		f.stopAll()
		synctest.Wait()
	})
}

// TestStaleOwnerDoesNotVouchForAKey guards against a false StateNotRun from an owner
// that was paused. It does not know yet that a successor took its shard over and has run
// the key, so it must report StateUnknown, even when an earlier request used the key
// with different content.
func TestStaleOwnerDoesNotVouchForAKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1)
		gate := newPauseGate()
		order := rankPeers([]Peer{{Process: "a1"}, {Process: "a2"}}, testPool, 0)
		old := f.startOn(order[0].Process, &pausableStore{f.store, gate})
		f.waitUntilOwned()
		f.start(order[1].Process)
		time.Sleep(2 * time.Second)
		resume := gate.pause()
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
			t.Fatalf("call to the old owner: got %v, want StateUnknown", err)
		}
		other := request
		other.Digest = ContentDigest([]byte("pay 6"))
		go func() { _, _ = old.Do(ctx, other, func() Outcome { return f.execute(other) }) }()
		synctest.Wait()
		_, err = old.Do(ctx, request, func() Outcome { return f.execute(request) })
		if outputOf(Result{}, err).state != StateUnknown {
			t.Fatalf("call to the old owner with a key in conflict: got %v, want StateUnknown", err)
		}
		resume()
		old.StopWithoutHandover()
		f.stopAll()
		synctest.Wait()
	})
}
