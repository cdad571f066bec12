package roster

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/greengagegate/greengagegate/internal/bootclock"
	"github.com/greengagegate/greengagegate/internal/peering"
	"github.com/greengagegate/greengagegate/store"
	"github.com/greengagegate/greengagegate/store/memstore"
	"github.com/rs/zerolog"
)

func newRoster(s store.Store, name, address string, changed func([]peering.Peer)) *Roster {
	return New(Options{Store: s, Name: name, Address: address, Zone: "z", OnChange: changed, Log: zerolog.Nop()})
}

func TestGatewaysFindEachOther(t *testing.T) {
	s := memstore.New()
	var peers []peering.Peer
	a := newRoster(s, "a", "10.0.0.1:1", func(p []peering.Peer) { peers = p })
	b := newRoster(s, "b", "10.0.0.2:1", nil)
	a.Join(t.Context())
	b.Join(t.Context())
	objects, _, err := s.List(t.Context(), Prefix)
	if err != nil {
		t.Fatal(err)
	}
	a.Replace(objects)
	if len(peers) != 1 || peers[0] != (peering.Peer{Name: "b", Address: "10.0.0.2:1"}) {
		t.Errorf("peers %v", peers)
	}
	// A restarted gateway replaces the entry of its former life.
	again := newRoster(s, "b", "10.0.0.9:1", nil)
	again.Join(t.Context())
	object, err := s.Get(t.Context(), Prefix+"b")
	var e entry
	if err != nil || json.Unmarshal(object.Value, &e) != nil || e.Address != "10.0.0.9:1" {
		t.Errorf("entry %s, %v", object.Value, err)
	}
	again.Leave(t.Context())
	a.Apply([]store.Object{{Key: Prefix + "b", Deleted: true}})
	if len(peers) != 0 {
		t.Errorf("peers %v after the other left", peers)
	}
}

// clock is a clock that tests move.
type clock struct{ now bootclock.Instant }

func (c *clock) read() bootclock.Instant { return c.now }

// fleet is some gateways on one store, each of which hears the ones that it is told.
type fleet struct {
	t       *testing.T
	store   store.Store
	clock   *clock
	members map[string]*Roster
}

func newFleet(t *testing.T, names ...string) *fleet {
	f := &fleet{t: t, store: memstore.New(), clock: &clock{now: 1}, members: make(map[string]*Roster)}
	for i, name := range names {
		r := newRoster(f.store, name, fmt.Sprintf("10.0.0.%d:1", i+1), func([]peering.Peer) {})
		r.options.Now = f.clock.read
		r.Join(t.Context())
		f.members[name] = r
	}
	f.sync()
	return f
}

// sync hands all entries to all members.
func (f *fleet) sync() {
	objects, _, err := f.store.List(f.t.Context(), Prefix)
	if err != nil {
		f.t.Fatal(err)
	}
	for _, r := range f.members {
		r.Replace(objects)
	}
}

// pass lets time go by while the named members hear each other, and all look at
// their entries but the dead ones.
func (f *fleet) pass(d time.Duration, dead string, hearing ...string) {
	for end := f.clock.now.Add(d); f.clock.now.Before(end); f.clock.now = f.clock.now.Add(keepEvery) {
		for _, name := range hearing {
			for _, other := range hearing {
				f.members[name].RecordContact(other)
			}
		}
		for name, r := range f.members {
			if name != dead {
				r.keep(f.t.Context())
			}
		}
		f.sync()
	}
}

func (f *fleet) listed() string {
	objects, _, err := f.store.List(f.t.Context(), Prefix)
	if err != nil {
		f.t.Fatal(err)
	}
	var names []string
	for _, object := range objects {
		names = append(names, object.Key[len(Prefix):])
	}
	return strings.Join(names, " ")
}

func TestEntryOfLostGatewayIsRemoved(t *testing.T) {
	f := newFleet(t, "a", "b", "c")
	f.pass(goneAfter-keepEvery, "c", "a", "b")
	if got := f.listed(); got != "a b c" {
		t.Errorf("%q are listed before c is taken for gone", got)
	}
	f.pass(3*keepEvery, "c", "a", "b")
	if got := f.listed(); got != "a b" {
		t.Errorf("%q are listed, want a and b", got)
	}
}

func TestGatewayThatOnlyPeersMissStaysListed(t *testing.T) {
	f := newFleet(t, "a", "b", "c")
	f.pass(4*goneAfter, "", "b", "c")
	if got := f.listed(); got != "a b c" {
		t.Errorf("%q are listed, want all", got)
	}
}

func TestRemovedEntryIsWrittenAnew(t *testing.T) {
	f := newFleet(t, "a", "b")
	object, err := f.store.Get(t.Context(), Prefix+"b")
	if err != nil {
		t.Fatal(err)
	}
	if err := f.store.Delete(t.Context(), Prefix+"b", object.Version); err != nil {
		t.Fatal(err)
	}
	f.sync()
	f.pass(keepEvery, "", "a", "b")
	if got := f.listed(); got != "a b" {
		t.Errorf("%q are listed, want both", got)
	}
	f.members["b"].Leave(t.Context())
	f.sync()
	f.pass(2*keepEvery, "", "a", "b")
	if got := f.listed(); got != "a" {
		t.Errorf("%q are listed after b left", got)
	}
}

func TestUnreadableEntriesAreLeftOut(t *testing.T) {
	var peers []peering.Peer
	r := newRoster(memstore.New(), "a", "10.0.0.1:1", func(p []peering.Peer) { peers = p })
	r.Replace([]store.Object{{Key: Prefix + "x", Value: []byte(`"text"`)}, {Key: Prefix + "y", Value: []byte(`{}`)}})
	if len(peers) != 0 {
		t.Errorf("peers %v", peers)
	}
}
