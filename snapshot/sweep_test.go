package snapshot

import (
	"errors"
	"fmt"
	"testing"

	"github.com/greengagegate/greengagegate/store"
	"github.com/greengagegate/greengagegate/store/memstore"
)

// writer is a publication whose buckets are written and whose head is not.
type writer struct {
	from State
	to   head
}

// beginWrite writes the buckets of a publication on top of the head, and no head.
func beginWrite(t *testing.T, r *Repository, key string) writer {
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
	return writer{from: state, to: to}
}

func commitUntil(t *testing.T, r *Repository, revision uint64) {
	t.Helper()
	for i := 0; ; i++ {
		next, err := commitOne(t.Context(), r, fmt.Sprintf("k%d", i%10), fmt.Sprint(i))
		if err != nil {
			t.Fatal(err)
		}
		if next.Revision() == revision {
			return
		}
	}
}

func TestBucketsOfCrashedWritersAreSwept(t *testing.T) {
	backing := memstore.New()
	r := NewRepository(backing, "config/")
	commitUntil(t, r, 3)
	crashed := beginWrite(t, r, "crashed")
	commitUntil(t, r, sweepInterval-1)
	// A slow writer has written for the revision at which the sweep comes, and
	// a reader holds an older head.
	slow := beginWrite(t, r, "slow")
	reader := slow.from
	commitUntil(t, r, sweepInterval)

	buckets, _, err := backing.List(t.Context(), "config/bucket/")
	if err != nil {
		t.Fatal(err)
	}
	state, err := r.Head(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	kept := state.head.kept()
	for _, bucket := range buckets {
		if !kept[bucket.Key] {
			t.Errorf("%s is left of a writer that can't commit", bucket.Key)
		}
	}
	for _, ref := range crashed.to.Buckets {
		if _, err := backing.Get(t.Context(), ref.Object); ref.Object != "" && !kept[ref.Object] && !errors.Is(err, store.ErrNotFound) {
			t.Errorf("%s: %v", ref.Object, err)
		}
	}
	for _, each := range []State{reader, state} {
		if _, err := r.Load(t.Context(), each, nil); err != nil {
			t.Errorf("revision %d can't be loaded: %v", each.Revision(), err)
		}
	}
	if _, err := r.replaceHead(t.Context(), slow.from.version, slow.to, Entry{Nonce: NewNonce(), Revision: slow.to.Revision}, nil); !errors.Is(err, ErrHeadChanged) {
		t.Errorf("the slow writer got %v", err)
	}
}

func TestSweepLeavesWritersAtWork(t *testing.T) {
	r := NewRepository(memstore.New(), "config/")
	commitUntil(t, r, sweepInterval)
	state, err := r.Head(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	working := beginWrite(t, r, "working")
	r.sweep(t.Context(), state.head)
	if _, err := r.replaceHead(t.Context(), working.from.version, working.to, Entry{Nonce: NewNonce(), Revision: working.to.Revision}, nil); err != nil {
		t.Fatal(err)
	}
	moved, err := r.Head(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := r.Load(t.Context(), moved, nil); err != nil {
		t.Fatal(err)
	}
}
