package testhost

import (
	"net"
	"testing"
)

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

// A listener must not get a port on which another process is about to listen.
func TestListenersGetNoPortThatFreeReturned(t *testing.T) {
	const addresses = 1000
	promised := make(map[string]bool)
	for range addresses {
		promised[Free(t)] = true
	}
	for range addresses {
		listener, err := net.Listen("tcp", AnyPort())
		if err != nil {
			t.Fatal(err)
		}
		defer listener.Close()
		if address := listener.Addr().String(); promised[address] {
			t.Fatalf("a listener got %s, which Free had returned", address)
		}
	}
}
