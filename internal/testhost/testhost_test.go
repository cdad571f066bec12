package testhost

import "testing"

// TestFreeReturnsEachAddressOnce guards against an address that Free returns twice
// because the kernel chooses the same port again.
func TestFreeReturnsEachAddressOnce(t *testing.T) {
	const addresses = 2000
	seen := make(map[string]bool)
	for range addresses {
		address := Free(t)
		if seen[address] {
			t.Fatalf("Free returned %s twice", address)
		}
		seen[address] = true
	}
}
