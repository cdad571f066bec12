package lease

import (
	"context"
	"testing"
	"time"

	"github.com/greengagegate/greengagegate/store/memstore"
)

// What a holder knew must reach whoever reads the record after all processes were killed, or after
// the holder has released the lease.
func TestNoteOutlivesItsHolder(t *testing.T) {
	for name, end := range map[string]func(*Lease) error{
		"killed":   func(*Lease) error { return nil },
		"released": func(l *Lease) error { return l.Release(context.Background()) },
	} {
		for _, reader := range []string{"a", "b"} {
			s := memstore.New()
			note := "first"
			holder := NewLease(LeaseOptions{Store: s, Key: "k", Holder: "a", Term: time.Minute, Note: func() []byte { return []byte(note) }})
			acquire(t, holder)
			note = "second"
			acquire(t, holder)
			if err := end(holder); err != nil {
				t.Fatal(err)
			}
			var read []string
			next := NewLease(LeaseOptions{Store: s, Key: "k", Holder: reader, Term: time.Minute, OnNote: func(note []byte) { read = append(read, string(note)) }})
			_, _ = next.Acquire(context.Background())
			if len(read) != 1 || read[0] != "second" {
				t.Errorf("%s: %s read the notes %q, want the last one", name, reader, read)
			}
		}
	}
}
