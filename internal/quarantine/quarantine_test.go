package quarantine

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/greengagegate/greengagegate/internal/object"
	"github.com/greengagegate/greengagegate/internal/wire/wirepb"
	"github.com/greengagegate/greengagegate/membership"
	"github.com/greengagegate/greengagegate/store/memstore"
	"github.com/rs/zerolog"
)

type alone struct{}

func (alone) Self() membership.Member      { return membership.Member{Process: "r1"} }
func (alone) Members() []membership.Member { return []membership.Member{{Process: "r1"}} }
func (alone) Changed() <-chan struct{}     { return nil }

type fleet struct{ term time.Duration }

func (f fleet) Current() *object.Set {
	set := object.NewSet(1)
	set.Fleet.QuarantineFor = object.Duration(f.term)
	return set
}
func (fleet) Fresh() bool              { return true }
func (fleet) Changed() <-chan struct{} { return nil }

func TestTablePrecedence(t *testing.T) {
	const (
		suspect   = wirepb.QuarantineState_QUARANTINE_SUSPECT
		convicted = wirepb.QuarantineState_QUARANTINE_CONVICTED
		cleared   = wirepb.QuarantineState_QUARANTINE_CLEARED
	)
	cases := []struct {
		name  string
		steps []wirepb.QuarantineState
		want  State
	}{
		{"suspect", []wirepb.QuarantineState{suspect}, StateSuspect},
		{"cleared suspect", []wirepb.QuarantineState{suspect, cleared}, StateClear},
		{"suspect again", []wirepb.QuarantineState{suspect, cleared, suspect}, StateSuspect},
		{"convicted suspect", []wirepb.QuarantineState{suspect, convicted}, StateConvicted},
		{"a conviction is not cleared", []wirepb.QuarantineState{convicted, cleared}, StateConvicted},
		{"a conviction is not weakened", []wirepb.QuarantineState{convicted, suspect}, StateConvicted},
		{"cleared stranger", []wirepb.QuarantineState{cleared}, StateClear},
	}
	for _, c := range cases {
		table := newTable()
		for _, state := range c.steps {
			table.apply(&wirepb.QuarantineEntry{Digest: 1, State: state, RemainingMs: 1000})
		}
		if got, _ := table.lookup(1); got != c.want {
			t.Errorf("%s: got %d, want %d", c.name, got, c.want)
		}
	}
}

func TestConvictionOutlivesItsProcessAndEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := memstore.New()
		start := func() *Manager {
			m := New(Options{View: alone{}, Source: fleet{time.Minute}, Store: st, Log: zerolog.Nop()})
			if err := m.Start(t.Context()); err != nil {
				t.Fatal(err)
			}
			time.Sleep(time.Second)
			return m
		}
		first := start()
		if left := first.Convict(7); left != time.Minute {
			t.Fatalf("refused for %v", left)
		}
		time.Sleep(time.Second)
		_ = first.Stop(context.Background())
		second := start()
		if state, left := second.Lookup(7); state != StateConvicted || left <= 0 {
			t.Fatalf("state %d for %v after a restart", state, left)
		}
		time.Sleep(2 * time.Minute)
		if state, _ := second.Lookup(7); state != StateClear {
			t.Fatalf("state %d after the term", state)
		}
		objects, _, err := st.List(t.Context(), storePrefix)
		if err != nil || len(objects) != 0 {
			t.Fatalf("left in the store: %v, %v", objects, err)
		}
		_ = second.Stop(context.Background())
	})
}

func TestDigestKeepsPartsApart(t *testing.T) {
	seen := make(map[uint64]bool)
	for _, parts := range [][][]byte{
		{[]byte("ab"), []byte("c")},
		{[]byte("a"), []byte("bc")},
		{[]byte("abc")},
		{[]byte("abc"), nil},
	} {
		digest := Digest(parts...)
		if seen[digest] {
			t.Fatalf("%q has the digest of other parts", parts)
		}
		seen[digest] = true
		if Digest(parts...) != digest {
			t.Fatal("the digest changes")
		}
	}
}

func BenchmarkDigest(b *testing.B) {
	prompt := make([]byte, 64<<10)
	b.SetBytes(int64(len(prompt)))
	for b.Loop() {
		Digest(prompt)
	}
}
