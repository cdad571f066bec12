package gateway

import "testing"

// Upstreams whose versions of the weights are unknown may have different ones.
func TestPartsOfUnknownVersionAreNotShared(t *testing.T) {
	one, other := &job{call: &Call{ID: "a"}}, &job{call: &Call{ID: "b"}}
	if one.salt(0) == other.salt(0) {
		t.Errorf("two requests to upstreams of unknown versions share the salt %q", one.salt(0))
	}
	if one.salt(3) != other.salt(3) {
		t.Error("two requests under the same weights have different salts")
	}
}
