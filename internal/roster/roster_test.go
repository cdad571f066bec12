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

func newRoster(s store.Store, name, address string, onChange func([]peering.Peer)) *Roster {
	return New(Options{Store: s, Name: name, Address: address, Zone: "z", OnChange: onChange, Log: zerolog.Nop()})
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
	if len(peers) != 1 || peers[0] != (peering.Peer{Name: "b", Address: "10.0.0.2:1", Zone: "z"}) {
		t.Errorf("peers %v, want only b", peers)
	}
	// A restarted gateway replaces the entry of its earlier incarnation.
	restarted := newRoster(s, "b", "10.0.0.9:1", nil)
	restarted.Join(t.Context())
	object, err := s.Get(t.Context(), Prefix+"b")
	var e entry
	if err != nil || json.Unmarshal(object.Value, &e) != nil || e.Address != "10.0.0.9:1" {
		t.Errorf("entry %s, error %v", object.Value, err)
	}
	// The test itself passes the removal of the entry to a.
	restarted.Leave(t.Context())
	a.Apply([]store.Object{{Key: Prefix + "b", Deleted: true}})
	if len(peers) != 0 {
		t.Errorf("peers %v after the other gateway left, want none", peers)
	}
}

// fakeClock is a clock that tests advance.
type fakeClock struct{ now bootclock.Instant }

func (c *fakeClock) read() bootclock.Instant { return c.now }

// fleet is a set of gateways that share a store. The test decides which of them receive
// updates from each other.
type fleet struct {
	t       *testing.T
	store   store.Store
	clock   *fakeClock
	members map[string]*Roster
}

func newFleet(t *testing.T, names ...string) *fleet {
	f := &fleet{t: t, store: memstore.New(), clock: &fakeClock{now: 1}, members: make(map[string]*Roster)}
	for i, name := range names {
		r := newRoster(f.store, name, fmt.Sprintf("10.0.0.%d:1", i+1), func([]peering.Peer) {})
		r.options.Now = f.clock.read
		r.Join(t.Context())
		f.members[name] = r
	}
	f.sync()
	return f
}

// sync passes all entries in the store to all members.
func (f *fleet) sync() {
	objects, _, err := f.store.List(f.t.Context(), Prefix)
	if err != nil {
		f.t.Fatal(err)
	}
	for _, r := range f.members {
		r.Replace(objects)
	}
}

// advance advances the clock by d in steps of maintainInterval. In each step the members
// in connected receive updates from each other, and every member except stopped maintains
// the entries. An empty stopped means that all members run.
func (f *fleet) advance(d time.Duration, stopped string, connected ...string) {
	for end := f.clock.now.Add(d); f.clock.now.Before(end); f.clock.now = f.clock.now.Add(maintainInterval) {
		for _, name := range connected {
			for _, other := range connected {
				f.members[name].RecordContact(other)
			}
		}
		for name, r := range f.members {
			if name != stopped {
				r.maintainOnce(f.t.Context())
			}
		}
		f.sync()
	}
}

// listedNames returns the names of the gateways with an entry, separated by spaces.
func (f *fleet) listedNames() string {
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

// A gateway that stops without leaving must not stay listed, since its shares would stay
// unused. Its entry must not be removed before removeAfterSilence either.
func TestEntryOfStoppedGatewayIsRemoved(t *testing.T) {
	f := newFleet(t, "a", "b", "c")
	f.advance(removeAfterSilence-maintainInterval, "c", "a", "b")
	if got := f.listedNames(); got != "a b c" {
		t.Errorf("listed before c has been silent for removeAfterSilence: %q, want a, b and c", got)
	}
	f.advance(3*maintainInterval, "c", "a", "b")
	if got := f.listedNames(); got != "a b" {
		t.Errorf("listed after c has been silent for removeAfterSilence: %q, want a and b", got)
	}
}

// The members b and c receive nothing from a, but a runs and renews its entry. They must
// not remove it.
func TestGatewayUnreachableByPeersStaysListed(t *testing.T) {
	f := newFleet(t, "a", "b", "c")
	f.advance(4*removeAfterSilence, "", "b", "c")
	if got := f.listedNames(); got != "a b c" {
		t.Errorf("listed: %q, want a, b and c", got)
	}
}

// A gateway whose entry another one has removed by mistake must write it again, but not
// after it has left.
func TestRemovedEntryIsRewritten(t *testing.T) {
	f := newFleet(t, "a", "b")
	object, err := f.store.Get(t.Context(), Prefix+"b")
	if err != nil {
		t.Fatal(err)
	}
	if err := f.store.Delete(t.Context(), Prefix+"b", object.Version); err != nil {
		t.Fatal(err)
	}
	f.sync()
	f.advance(maintainInterval, "", "a", "b")
	if got := f.listedNames(); got != "a b" {
		t.Errorf("listed: %q, want a and b", got)
	}
	f.members["b"].Leave(t.Context())
	f.sync()
	f.advance(2*maintainInterval, "", "a", "b")
	if got := f.listedNames(); got != "a" {
		t.Errorf("listed after b left: %q, want only a", got)
	}
}

// Entries that are not an object or have no address must not appear as peers.
func TestInvalidEntriesAreIgnored(t *testing.T) {
	var peers []peering.Peer
	r := newRoster(memstore.New(), "a", "10.0.0.1:1", func(p []peering.Peer) { peers = p })
	r.Replace([]store.Object{{Key: Prefix + "x", Value: []byte(`"text"`)}, {Key: Prefix + "y", Value: []byte(`{}`)}})
	if len(peers) != 0 {
		t.Errorf("peers %v, want none", peers)
	}
}
