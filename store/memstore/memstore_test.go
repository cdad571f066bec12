package memstore

import (
	"context"
	"errors"
	"testing"

	"github.com/greengagegate/greengagegate/store"
)

// TestConditionalPutAndLostResponse guards against a put that ignores the expected
// version, and against a lost response that also loses the change.
func TestConditionalPutAndLostResponse(t *testing.T) {
	ctx := context.Background()
	s := New()
	version, err := s.Put(ctx, "a", []byte("1"), store.VersionAbsent)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := s.Put(ctx, "a", []byte("2"), store.VersionAbsent); !errors.Is(err, store.ErrConflict) {
		t.Fatalf("put of an existing object as absent: got %v, want ErrConflict", err)
	}
	s.SetFaults(Faults{LoseAnswers: 1})
	if _, err := s.Put(ctx, "a", []byte("2"), version); !errors.Is(err, store.ErrUnknownOutcome) {
		t.Fatalf("put with a lost response: got %v, want ErrUnknownOutcome", err)
	}
	object, err := s.Get(ctx, "a")
	if err != nil || string(object.Value) != "2" {
		t.Fatalf("get after a put with a lost response: error %v, value %q, want the new value", err, object.Value)
	}
}

// TestRestoreBeginsNewEra guards against versions that repeat after a restore, and against
// a condition that compares revisions of two eras.
func TestRestoreBeginsNewEra(t *testing.T) {
	ctx := context.Background()
	s := New()
	first, _ := s.Put(ctx, "a", []byte("1"), store.VersionAbsent)
	lost, _ := s.Put(ctx, "a", []byte("2"), first)
	s.Restore(store.RevisionOf(first))
	object, err := s.Get(ctx, "a")
	if err != nil || string(object.Value) != "1" || object.Version <= lost {
		t.Fatalf("after the restore: %+v, error %v, want the first value with a version above %d", object, err, lost)
	}
	if _, err := s.Put(ctx, "a", []byte("3"), object.Version); err != nil {
		t.Fatal(err)
	}
	if _, err := s.Put(ctx, "a", []byte("4"), lost); !errors.Is(err, store.ErrConflict) {
		t.Errorf("put with a version that was given out again: got %v, want ErrConflict", err)
	}
	if _, err := s.Watch(ctx, "a", lost); !errors.Is(err, store.ErrCompacted) {
		t.Errorf("watch from a lost version: got %v, want ErrCompacted", err)
	}
}

// TestWatchDeliversBacklogAndIsClosedByOutage guards against a watch that skips the
// changes made before it began, and against one that stays open during an outage.
func TestWatchDeliversBacklogAndIsClosedByOutage(t *testing.T) {
	ctx := context.Background()
	s := New()
	_, _ = s.Put(ctx, "p/a", []byte("1"), store.VersionAbsent)
	_, _ = s.Put(ctx, "q/a", []byte("1"), store.VersionAbsent)
	changes, err := s.Watch(ctx, "p/", 0)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = s.Put(ctx, "p/b", []byte("2"), store.VersionAbsent)
	s.SetFaults(Faults{Down: true})
	var keys []string
	for object := range changes {
		keys = append(keys, object.Key)
	}
	if len(keys) != 2 || keys[0] != "p/a" || keys[1] != "p/b" {
		t.Fatalf("watch of p/ delivered keys %v, want p/a and p/b", keys)
	}
	if _, err := s.Get(ctx, "p/a"); !errors.Is(err, store.ErrUnavailable) {
		t.Fatalf("get during an outage: got %v, want ErrUnavailable", err)
	}
}

// TestPutStatus guards against a status that is written unconditionally, that a later put
// drops, or whose faults differ from those of a put, and against a creation revision that
// changes while the object exists or stays when it is created again.
func TestPutStatus(t *testing.T) {
	ctx := context.Background()
	s := New()
	if _, err := s.PutStatus(ctx, "a", []byte("s"), 7); !errors.Is(err, store.ErrNotFound) {
		t.Errorf("status of a missing object: got %v, want ErrNotFound", err)
	}
	created, _ := s.Put(ctx, "a", []byte("1"), store.VersionAbsent)
	version, err := s.PutStatus(ctx, "a", []byte("s"), created)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := s.PutStatus(ctx, "a", []byte("t"), created); !errors.Is(err, store.ErrConflict) {
		t.Errorf("status with an old version: got %v, want ErrConflict", err)
	}
	if version, err = s.Put(ctx, "a", []byte("2"), version); err != nil {
		t.Fatal(err)
	}
	s.SetFaults(Faults{LoseAnswers: 1})
	if _, err := s.PutStatus(ctx, "a", []byte("u"), version); !errors.Is(err, store.ErrUnknownOutcome) {
		t.Errorf("status with a lost response: got %v, want ErrUnknownOutcome", err)
	}
	object, err := s.Get(ctx, "a")
	if err != nil || string(object.Value) != "2" || string(object.Status) != "u" || object.Created != store.RevisionOf(created) {
		t.Errorf("after the status writes: %+v (error %v), want value 2, status u, creation at %d", object, err, created)
	}
	if err := s.Delete(ctx, "a", object.Version); err != nil {
		t.Fatal(err)
	}
	again, _ := s.Put(ctx, "a", []byte("3"), store.VersionAbsent)
	if object, _ := s.Get(ctx, "a"); object.Status != nil || object.Created != store.RevisionOf(again) {
		t.Errorf("created again: %+v, want no status and creation at %d", object, again)
	}
}
