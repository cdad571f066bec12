package memstore

import (
	"context"
	"errors"
	"testing"

	"github.com/greengagegate/greengagegate/store"
)

func TestConditionalPutAndLostAnswer(t *testing.T) {
	ctx := context.Background()
	s := New()
	version, err := s.Put(ctx, "a", []byte("1"), store.VersionAbsent)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := s.Put(ctx, "a", []byte("2"), store.VersionAbsent); !errors.Is(err, store.ErrConflict) {
		t.Fatalf("got %v, want conflict", err)
	}
	s.SetFaults(Faults{LoseAnswers: 1})
	if _, err := s.Put(ctx, "a", []byte("2"), version); !errors.Is(err, store.ErrUnknownOutcome) {
		t.Fatalf("got %v, want unknown outcome", err)
	}
	object, err := s.Get(ctx, "a")
	if err != nil || string(object.Value) != "2" {
		t.Fatalf("lost answer must take effect: %v %q", err, object.Value)
	}
}

func TestWatchDeliversBacklogAndIsCutByOutage(t *testing.T) {
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
		t.Fatalf("got %v", keys)
	}
	if _, err := s.Get(ctx, "p/a"); !errors.Is(err, store.ErrUnavailable) {
		t.Fatalf("got %v, want unavailable", err)
	}
}
