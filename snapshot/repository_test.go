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

// commitRecord reads the head and commits one record on top of it.
func commitRecord(ctx context.Context, r *Repository, key, value string) (*Snapshot, error) {
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

// Many commits must leave the head with a bounded history and the store with a
// bounded number of buckets, and the last snapshot must still be loadable.
func TestCommitAndLoad(t *testing.T) {
	ctx := t.Context()
	backing := memstore.New()
	r := NewRepository(backing, "config/")
	var latest *Snapshot
	for i := range 3 * HistoryLimit {
		next, err := commitRecord(ctx, r, fmt.Sprintf("k%d", i%10), fmt.Sprint(i))
		if err != nil {
			t.Fatal(err)
		}
		latest = next
	}
	state, err := r.Head(ctx)
	if err != nil || state.Revision() != 3*HistoryLimit || len(state.History()) != HistoryLimit {
		t.Fatalf("head has revision %d and %d history entries, error %v", state.Revision(), len(state.History()), err)
	}
	loaded, err := r.Load(ctx, state, nil)
	if err != nil || loaded.Hash() != latest.Hash() {
		t.Fatalf("loaded snapshot differs from the committed one, error %v", err)
	}
	buckets, _, _ := backing.List(ctx, "config/bucket/")
	if limit := 10 + retainedRevisions; len(buckets) > limit {
		t.Fatalf("store keeps %d buckets, want at most %d", len(buckets), limit)
	}
}

// A commit based on a head that another writer has replaced must fail, as must
// one whose revision does not directly follow that of its base.
func TestCommitOnStaleStateIsRejected(t *testing.T) {
	ctx := t.Context()
	r := NewRepository(memstore.New(), "config/")
	stale, _ := r.Head(ctx)
	if _, err := commitRecord(ctx, r, "a", "1"); err != nil {
		t.Fatal(err)
	}
	empty := new(Snapshot)
	next := empty.Apply(1, []Change{{Key: "b", Value: []byte("2")}})
	if _, err := r.Commit(ctx, stale, empty, next, Entry{Nonce: NewNonce()}, nil); !errors.Is(err, ErrHeadChanged) {
		t.Fatalf("got %v, want ErrHeadChanged", err)
	}
	if _, err := r.Commit(ctx, stale, empty, empty.Apply(2, nil), Entry{}, nil); err == nil {
		t.Fatal("Commit accepted a snapshot whose revision does not follow its base")
	}
}

// A commit whose preCommit fails must delete the buckets that it wrote and keep
// those of the snapshot in force.
func TestRejectedCommitDeletesItsBuckets(t *testing.T) {
	ctx := t.Context()
	backing := memstore.New()
	r := NewRepository(backing, "config/")
	if _, err := commitRecord(ctx, r, "a", "1"); err != nil {
		t.Fatal(err)
	}
	state, _ := r.Head(ctx)
	base, _ := r.Load(ctx, state, nil)
	next := base.Apply(2, []Change{{Key: "a", Value: []byte("2")}, {Key: "b", Value: []byte("2")}})
	errNotReady := errors.New("not ready")
	if _, err := r.Commit(ctx, state, base, next, Entry{Nonce: NewNonce()}, func() error { return errNotReady }); !errors.Is(err, errNotReady) {
		t.Fatalf("got %v, want the error of preCommit", err)
	}
	objects, _, _ := backing.List(ctx, "config/")
	if len(objects) != 2 {
		t.Fatalf("store has %d objects, want one head and one bucket", len(objects))
	}
	if reloaded, err := r.Load(ctx, state, nil); err != nil || reloaded.Hash() != base.Hash() {
		t.Fatalf("the snapshot that the head refers to changed or cannot be loaded, error %v", err)
	}
}

// The head must stay below a quarter of the store's limit when every publication
// changes every bucket. Then each of the latest retainedRevisions+1 history entries
// lists all replaced buckets.
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
		t.Fatalf("head has %d bytes, want at most a quarter of the limit, error %v", len(object.Value), err)
	}
}

// A commit must succeed if the answer to its write of the head is lost and
// another writer replaces the head before it is read again.
func TestLostAnswerFollowedByAnotherPublication(t *testing.T) {
	ctx := t.Context()
	backing := memstore.New()
	r := NewRepository(backing, "config/")
	if _, err := commitRecord(ctx, r, "a", "1"); err != nil {
		t.Fatal(err)
	}
	lostAnswer := &lostAnswerStore{Store: backing, key: r.HeadKey(), beforeAnswer: func() {
		if _, err := commitRecord(ctx, r, "b", "2"); err != nil {
			t.Error(err)
		}
	}}
	if _, err := commitRecord(ctx, NewRepository(lostAnswer, "config/"), "c", "3"); err != nil {
		t.Fatalf("the commit took effect but returned %v", err)
	}
	state, _ := r.Head(ctx)
	if state.Revision() != 3 {
		t.Fatalf("head has revision %d, want 3", state.Revision())
	}
}

// lostAnswerStore drops the answer to the first write of key, after it has
// called beforeAnswer.
type lostAnswerStore struct {
	store.Store
	key          string
	beforeAnswer func()
}

func (s *lostAnswerStore) Put(ctx context.Context, key string, value []byte, expected int64) (int64, error) {
	version, err := s.Store.Put(ctx, key, value, expected)
	if key != s.key || s.beforeAnswer == nil {
		return version, err
	}
	runOnce := s.beforeAnswer
	s.beforeAnswer = nil
	runOnce()
	return 0, store.ErrUnknownOutcome
}

// A commit must succeed if the driver repeats the write of the head after a lost
// answer, so that the second write conflicts with the first.
func TestConflictWithOwnRepeatedWrite(t *testing.T) {
	ctx := t.Context()
	backing := memstore.New()
	r := NewRepository(doubleWriteStore{backing}, "config/")
	if _, err := commitRecord(ctx, r, "a", "1"); err != nil {
		t.Fatalf("the commit took effect but returned %v", err)
	}
}

// doubleWriteStore performs each write twice and returns the second answer.
type doubleWriteStore struct{ store.Store }

func (s doubleWriteStore) Put(ctx context.Context, key string, value []byte, expected int64) (int64, error) {
	_, _ = s.Store.Put(ctx, key, value, expected)
	return s.Store.Put(ctx, key, value, expected)
}

// Load must detect a stored bucket whose records were changed.
func TestCorruptBucketIsRejected(t *testing.T) {
	ctx := t.Context()
	backing := memstore.New()
	r := NewRepository(backing, "config/")
	if _, err := commitRecord(ctx, r, "a", "1"); err != nil {
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

// Commit must return ErrTooLarge for a bucket that exceeds the store's limit.
func TestBucketAboveStoreLimitIsRejected(t *testing.T) {
	r := NewRepository(memstore.New(), "config/")
	if _, err := commitRecord(t.Context(), r, "a", strings.Repeat("x", store.MaxValueBytes)); !errors.Is(err, ErrTooLarge) {
		t.Fatalf("got %v, want ErrTooLarge", err)
	}
}

// FuzzParseHead guards against heads on which ParseHead panics.
func FuzzParseHead(f *testing.F) {
	f.Add([]byte(`{"revision":1,"buckets":[{"o":"a","h":"00"}]}`))
	f.Fuzz(func(_ *testing.T, data []byte) {
		_, _ = ParseHead(store.Object{Value: data, Version: 1})
	})
}
