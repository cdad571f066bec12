package snapshot

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/greengagegate/greengagegate/store"
	"github.com/greengagegate/greengagegate/store/memstore"
)

// commitOne reads the head and commits one record on top of it.
func commitOne(ctx context.Context, r *Repository, key, value string) (*Snapshot, error) {
	state, err := r.Head(ctx)
	if err != nil {
		return nil, err
	}
	base, err := r.Load(ctx, state, nil)
	if err != nil {
		return nil, err
	}
	next := base.Apply(base.Revision()+1, []Change{{Key: key, Value: []byte(value)}})
	_, err = r.Commit(ctx, state, base, next, Entry{Nonce: NewNonce(), Author: "test"}, nil)
	return next, err
}

func TestCommitAndLoad(t *testing.T) {
	ctx := t.Context()
	backing := memstore.New()
	r := NewRepository(backing, "config/")
	var last *Snapshot
	for i := range 3 * HistoryLimit {
		next, err := commitOne(ctx, r, fmt.Sprintf("k%d", i%10), fmt.Sprint(i))
		if err != nil {
			t.Fatal(err)
		}
		last = next
	}
	state, err := r.Head(ctx)
	if err != nil || state.Revision() != 3*HistoryLimit || len(state.History()) != HistoryLimit {
		t.Fatalf("revision %d, %d in history, %v", state.Revision(), len(state.History()), err)
	}
	loaded, err := r.Load(ctx, state, nil)
	if err != nil || loaded.Hash() != last.Hash() {
		t.Fatalf("loaded another snapshot: %v", err)
	}
	buckets, _, _ := backing.List(ctx, "config/bucket/")
	if limit := 10 + retainRevisions; len(buckets) > limit {
		t.Fatalf("%d buckets are kept, want at most %d", len(buckets), limit)
	}
}

func TestCommitOnAnOlderStateIsRefused(t *testing.T) {
	ctx := t.Context()
	r := NewRepository(memstore.New(), "config/")
	old, _ := r.Head(ctx)
	if _, err := commitOne(ctx, r, "a", "1"); err != nil {
		t.Fatal(err)
	}
	empty := new(Snapshot)
	next := empty.Apply(1, []Change{{Key: "b", Value: []byte("2")}})
	if _, err := r.Commit(ctx, old, empty, next, Entry{Nonce: NewNonce()}, nil); !errors.Is(err, ErrHeadChanged) {
		t.Fatalf("got %v, want ErrMoved", err)
	}
	if _, err := r.Commit(ctx, old, empty, empty.Apply(2, nil), Entry{}, nil); err == nil {
		t.Fatal("a revision that does not follow was accepted")
	}
}

func TestRefusedCommitLeavesNothingBehind(t *testing.T) {
	ctx := t.Context()
	backing := memstore.New()
	r := NewRepository(backing, "config/")
	if _, err := commitOne(ctx, r, "a", "1"); err != nil {
		t.Fatal(err)
	}
	state, _ := r.Head(ctx)
	base, _ := r.Load(ctx, state, nil)
	next := base.Apply(2, []Change{{Key: "a", Value: []byte("2")}, {Key: "b", Value: []byte("2")}})
	refused := errors.New("not ready")
	if _, err := r.Commit(ctx, state, base, next, Entry{Nonce: NewNonce()}, func() error { return refused }); !errors.Is(err, refused) {
		t.Fatalf("got %v", err)
	}
	objects, _, _ := backing.List(ctx, "config/")
	if len(objects) != 2 {
		t.Fatalf("%d objects, want the head and one bucket", len(objects))
	}
	if again, err := r.Load(ctx, state, nil); err != nil || again.Hash() != base.Hash() {
		t.Fatalf("the set in force is damaged: %v", err)
	}
}

// A head stays far below the store's limit when every publication changes every bucket.
func TestHeadStaysSmall(t *testing.T) {
	ctx := t.Context()
	r := NewRepository(memstore.New(), "config/")
	var state State
	base := new(Snapshot)
	for revision := range uint64(HistoryLimit + 2) {
		var changes []Change
		for i := range 500 {
			changes = append(changes, Change{Key: fmt.Sprintf("Customer/some-long-name-%d", i), Value: fmt.Append(nil, revision)})
		}
		next := base.Apply(revision+1, changes)
		var err error
		if state, err = r.Commit(ctx, state, base, next, Entry{Nonce: NewNonce()}, nil); err != nil {
			t.Fatal(err)
		}
		base = next
	}
	object, err := r.store.Get(ctx, r.HeadKey())
	if err != nil || len(object.Value) > store.MaxValueBytes/4 {
		t.Fatalf("the head has %d bytes, %v", len(object.Value), err)
	}
}

func TestLostAnswerBelowAnotherPublication(t *testing.T) {
	ctx := t.Context()
	backing := memstore.New()
	r := NewRepository(backing, "config/")
	if _, err := commitOne(ctx, r, "a", "1"); err != nil {
		t.Fatal(err)
	}
	lossy := &overtaken{Store: backing, key: r.HeadKey(), overtake: func() {
		if _, err := commitOne(ctx, r, "b", "2"); err != nil {
			t.Error(err)
		}
	}}
	if _, err := commitOne(ctx, NewRepository(lossy, "config/"), "c", "3"); err != nil {
		t.Fatalf("the commit took effect: %v", err)
	}
	state, _ := r.Head(ctx)
	if state.Revision() != 3 {
		t.Fatalf("revision %d", state.Revision())
	}
}

// overtaken loses the answer of a write of key and lets another writer follow.
type overtaken struct {
	store.Store
	key      string
	overtake func()
}

func (o *overtaken) Put(ctx context.Context, key string, value []byte, expected int64) (int64, error) {
	version, err := o.Store.Put(ctx, key, value, expected)
	if key != o.key || o.overtake == nil {
		return version, err
	}
	overtake := o.overtake
	o.overtake = nil
	overtake()
	return 0, store.ErrUnknownOutcome
}

// A driver that repeats a write whose answer was lost meets its own write.
func TestConflictWithTheOwnWrite(t *testing.T) {
	ctx := t.Context()
	backing := memstore.New()
	r := NewRepository(repeating{backing}, "config/")
	if _, err := commitOne(ctx, r, "a", "1"); err != nil {
		t.Fatalf("the commit took effect: %v", err)
	}
}

// repeating makes each write twice and returns the second answer.
type repeating struct{ store.Store }

func (r repeating) Put(ctx context.Context, key string, value []byte, expected int64) (int64, error) {
	_, _ = r.Store.Put(ctx, key, value, expected)
	return r.Store.Put(ctx, key, value, expected)
}

func TestCorruptBucketIsRefused(t *testing.T) {
	ctx := t.Context()
	backing := memstore.New()
	r := NewRepository(backing, "config/")
	if _, err := commitOne(ctx, r, "a", "1"); err != nil {
		t.Fatal(err)
	}
	buckets, _, _ := backing.List(ctx, "config/bucket/")
	if _, err := backing.Put(ctx, buckets[0].Key, []byte(`[{"key":"a","value":"MQo="}]`), buckets[0].Version); err != nil {
		t.Fatal(err)
	}
	state, _ := r.Head(ctx)
	if _, err := r.Load(ctx, state, nil); !errors.Is(err, ErrCorrupt) {
		t.Fatalf("got %v, want ErrCorrupt", err)
	}
}

func TestBucketAboveTheStoresLimit(t *testing.T) {
	r := NewRepository(memstore.New(), "config/")
	if _, err := commitOne(t.Context(), r, "a", strings.Repeat("x", store.MaxValueBytes)); !errors.Is(err, ErrTooLarge) {
		t.Fatalf("got %v, want ErrTooLarge", err)
	}
}

func FuzzParseHead(f *testing.F) {
	f.Add([]byte(`{"revision":1,"buckets":[{"o":"a","h":"00"}]}`))
	f.Fuzz(func(_ *testing.T, data []byte) {
		_, _ = ParseHead(store.Object{Value: data, Version: 1})
	})
}
