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

// soleMemberView is the view of a router without peers.
type soleMemberView struct{}

func (soleMemberView) Self() membership.Member      { return membership.Member{Process: "r1"} }
func (soleMemberView) Members() []membership.Member { return []membership.Member{{Process: "r1"}} }
func (soleMemberView) Changed() <-chan struct{}     { return nil }

// fixedSource is a source of settings that set only how long a conviction lasts.
type fixedSource struct{ convictionTTL time.Duration }

func (s fixedSource) Current() *object.Set {
	set := object.NewSet(1)
	set.Fleet.QuarantineFor = object.Duration(s.convictionTTL)
	return set
}
func (fixedSource) IsFresh() bool            { return true }
func (fixedSource) Changed() <-chan struct{} { return nil }

// TestTablePrecedence guards against a conviction that a later clearing or suspicion
// ends, and a suspicion that a clearing does not end.
func TestTablePrecedence(t *testing.T) {
	const (
		suspect   = wirepb.QuarantineState_QUARANTINE_SUSPECT
		convicted = wirepb.QuarantineState_QUARANTINE_CONVICTED
		cleared   = wirepb.QuarantineState_QUARANTINE_CLEARED
	)
	cases := []struct {
		name    string
		entries []wirepb.QuarantineState
		want    State
	}{
		{"suspect", []wirepb.QuarantineState{suspect}, StateSuspect},
		{"cleared suspect", []wirepb.QuarantineState{suspect, cleared}, StateClear},
		{"suspect again", []wirepb.QuarantineState{suspect, cleared, suspect}, StateSuspect},
		{"convicted suspect", []wirepb.QuarantineState{suspect, convicted}, StateConvicted},
		{"a conviction is not cleared", []wirepb.QuarantineState{convicted, cleared}, StateConvicted},
		{"a conviction is not replaced by a suspicion", []wirepb.QuarantineState{convicted, suspect}, StateConvicted},
		{"cleared unknown content", []wirepb.QuarantineState{cleared}, StateClear},
	}
	for _, c := range cases {
		table := newTable()
		for _, state := range c.entries {
			table.apply(&wirepb.QuarantineEntry{Digest: 1, State: state, RemainingMs: 1000})
		}
		if got, _ := table.lookup(1); got != c.want {
			t.Errorf("%s: state %d, want %d", c.name, got, c.want)
		}
	}
}

// TestConvictionOutlivesItsProcessAndEnds guards against a conviction that is lost
// with the process that made it, or that stays in the store after it has expired.
// A second manager starts on the store of the first one, without peers to ask.
func TestConvictionOutlivesItsProcessAndEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := memstore.New()
		start := func() *Manager {
			m := New(Options{View: soleMemberView{}, Source: fixedSource{time.Minute}, Store: st, Log: zerolog.Nop()})
			if err := m.Start(t.Context()); err != nil {
				t.Fatal(err)
			}
			time.Sleep(time.Second)
			return m
		}
		first := start()
		if ttl := first.Convict(7); ttl != time.Minute {
			t.Fatalf("Convict returned %v, want 1m0s", ttl)
		}
		time.Sleep(time.Second)
		_ = first.Stop(context.Background())
		second := start()
		if state, remaining := second.Lookup(7); state != StateConvicted || remaining <= 0 {
			t.Fatalf("after a restart the state is %d for %v, want convicted", state, remaining)
		}
		time.Sleep(2 * time.Minute)
		if state, _ := second.Lookup(7); state != StateClear {
			t.Fatalf("state %d after the conviction expired, want clear", state)
		}
		objects, _, err := st.List(t.Context(), storePrefix)
		if err != nil || len(objects) != 0 {
			t.Fatalf("the store holds %v, %v after the conviction expired, want nothing", objects, err)
		}
		_ = second.Stop(context.Background())
	})
}

// TestDigestKeepsPartsApart guards against two contents that share a digest
// although they are divided into other parts, for instance a customer and a body.
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
			t.Fatalf("%q has the same digest as other parts", parts)
		}
		seen[digest] = true
		if Digest(parts...) != digest {
			t.Fatal("a second call of Digest returned another digest")
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
