package roster

import (
	"encoding/json"
	"testing"

	"github.com/greengagegate/greengagegate/internal/peering"
	"github.com/greengagegate/greengagegate/store"
	"github.com/greengagegate/greengagegate/store/memstore"
	"github.com/rs/zerolog"
)

func newRoster(s store.Store, name, address string, changed func([]peering.Peer)) *Roster {
	return New(Options{Store: s, Name: name, Address: address, Zone: "z", Changed: changed, Log: zerolog.Nop()})
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

func TestUnreadableEntriesAreLeftOut(t *testing.T) {
	var peers []peering.Peer
	r := newRoster(memstore.New(), "a", "10.0.0.1:1", func(p []peering.Peer) { peers = p })
	r.Replace([]store.Object{{Key: Prefix + "x", Value: []byte(`"text"`)}, {Key: Prefix + "y", Value: []byte(`{}`)}})
	if len(peers) != 0 {
		t.Errorf("peers %v", peers)
	}
}
