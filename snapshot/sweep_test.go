package snapshot

import (
	"errors"
	"fmt"
	"testing"

	"github.com/greengagegate/greengagegate/store"
	"github.com/greengagegate/greengagegate/store/memstore"
)

// pendingWrite is a publication whose buckets are written and whose head is not
// written yet.
type pendingWrite struct {
	from    State
	newHead head
}

// writeBucketsOnly writes the buckets of a publication that sets key, based on
// the current head, and does not write the new head.
func writeBucketsOnly(t *testing.T, r *Repository, key string) pendingWrite {
	t.Helper()
	state, err := r.Head(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	base, err := r.Load(t.Context(), state, nil)
	if err != nil {
		t.Fatal(err)
	}
	next := base.Apply(base.Revision()+1, []Change{{Key: key, Value: []byte("x")}})
	to := state.head
	to.Revision, to.Hash = next.revision, next.Hash()
	if err := r.writeBuckets(t.Context(), &to, base, next, &Entry{Nonce: NewNonce()}); err != nil {
		t.Fatal(err)
	}
	return pendingWrite{from: state, newHead: to}
}

// commitUntil commits single records until the head has the given revision.
func commitUntil(t *testing.T, r *Repository, revision uint64) {
	t.Helper()
	for i := 0; ; i++ {
		next, err := commitRecord(t.Context(), r, fmt.Sprintf("k%d", i%10), fmt.Sprint(i))
		if err != nil {
			t.Fatal(err)
		}
		if next.Revision() == revision {
			return
		}
	}
}

// A writer that crashes between writing its buckets and the head leaves buckets
// that nothing refers to. The sweep must delete them and keep every bucket that
// the head or a reader of a recent head needs.
func TestSweepDeletesBucketsOfCrashedWriters(t *testing.T) {
	backing := memstore.New()
	r := NewRepository(backing, "config/")
	commitUntil(t, r, 3)
	crashed := writeBucketsOnly(t, r, "crashed")
	commitUntil(t, r, sweepIntervalRevisions-1)
	// A slow writer has written its buckets for the revision at which the sweep
	// runs, and a reader still uses the head before that revision.
	slow := writeBucketsOnly(t, r, "slow")
	readerState := slow.from
	commitUntil(t, r, sweepIntervalRevisions)

	buckets, _, err := backing.List(t.Context(), "config/bucket/")
	if err != nil {
		t.Fatal(err)
	}
	state, err := r.Head(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	retained := state.head.retainedKeys()
	for _, bucket := range buckets {
		if !retained[bucket.Key] {
			t.Errorf("sweep left %s, whose writer cannot commit", bucket.Key)
		}
	}
	for _, ref := range crashed.newHead.Buckets {
		if _, err := backing.Get(t.Context(), ref.Object); ref.Object != "" && !retained[ref.Object] && !errors.Is(err, store.ErrNotFound) {
			t.Errorf("bucket %s of the crashed writer: got %v, want ErrNotFound", ref.Object, err)
		}
	}
	for _, readable := range []State{readerState, state} {
		if _, err := r.Load(t.Context(), readable, nil); err != nil {
			t.Errorf("failed to load revision %d: %v", readable.Revision(), err)
		}
	}
	if _, err := r.replaceHead(t.Context(), slow.from.version, slow.newHead, Entry{Nonce: NewNonce(), Revision: slow.newHead.Revision}, nil); !errors.Is(err, ErrHeadChanged) {
		t.Errorf("slow writer got %v, want ErrHeadChanged", err)
	}
}

// A writer that has written its buckets for the next revision must be able to
// commit after a sweep, and its snapshot must be loadable.
func TestSweepKeepsBucketsOfActiveWriters(t *testing.T) {
	r := NewRepository(memstore.New(), "config/")
	commitUntil(t, r, sweepIntervalRevisions)
	state, err := r.Head(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	active := writeBucketsOnly(t, r, "working")
	r.sweep(t.Context(), state.head)
	if _, err := r.replaceHead(t.Context(), active.from.version, active.newHead, Entry{Nonce: NewNonce(), Revision: active.newHead.Revision}, nil); err != nil {
		t.Fatal(err)
	}
	latest, err := r.Head(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := r.Load(t.Context(), latest, nil); err != nil {
		t.Fatal(err)
	}
}
