package gateway

import (
	"testing"

	"github.com/greengagegate/greengagegate/internal/catalog"
)

// Upstreams whose versions of the weights are unknown may have different ones.
func TestPartsOfUnknownVersionAreNotShared(t *testing.T) {
	newest := catalog.New()
	newest.SetConfig(&catalog.Config{Version: 1})
	g := &Gateway{Options: Options{Catalog: newest}}
	one, other := &job{gateway: g, call: &Call{ID: "a"}}, &job{gateway: g, call: &Call{ID: "b"}}
	if one.salt(0) == other.salt(0) {
		t.Errorf("two requests to upstreams of unknown versions share the salt %q", one.salt(0))
	}
	if one.salt(3) != other.salt(3) {
		t.Error("two requests under the same weights have different salts")
	}
}

// A request that arrived before its customer or another one became isolated must not use the
// former namespace in a later attempt.
func TestLaterAttemptUsesNamespaceOfNewestConfig(t *testing.T) {
	agents, clerks := &catalog.Customer{Name: "agents"}, &catalog.Customer{Name: "clerks"}
	newest := catalog.New()
	newest.SetConfig(&catalog.Config{Version: 1, Customers: map[string]*catalog.Customer{"agents": agents, "clerks": clerks}})
	g := &Gateway{Options: Options{Catalog: newest}}
	own, other := &job{gateway: g, call: &Call{ID: "a"}, customer: agents}, &job{gateway: g, call: &Call{ID: "b"}, customer: clerks}
	before := own.salt(3)
	if got := other.salt(3); got != before {
		t.Fatalf("salts %q and %q of customers that are not isolated, want one", before, got)
	}
	config := &catalog.Config{Version: 2}
	config.SetCustomers(map[string]*catalog.Customer{"agents": {Name: "agents", Isolated: true}, "clerks": clerks})
	newest.SetConfig(config)
	if a, b := own.salt(3), other.salt(3); a == before || b == before || a == b {
		t.Errorf("salt %q before, then %q of the isolated customer and %q of the other one, want three different ones", before, a, b)
	}
}
