package testhost

import "testing"

func TestFreeReturnsEachAddressOnce(t *testing.T) {
	const addresses = 2000
	seen := make(map[string]bool)
	for range addresses {
		address := Free(t)
		if seen[address] {
			t.Fatalf("%s was returned twice", address)
		}
		seen[address] = true
	}
}
