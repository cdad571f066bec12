// Package testhost gives each test process its own loopback address.
//
// Some tests close a listener and listen on the same port again, for example to
// restart a server. On a shared address, an outgoing connection of any process could
// take the port in between: the kernel chooses the local ports of outgoing connections
// and the ports of such listeners from the same range.
package testhost

import (
	"net"
	"os"
	"strconv"
	"sync"
	"testing"
)

const (
	// The addresses are in 127.100.0.0/16 to 127.227.0.0/16, so that they do not
	// overlap with 127.0.0.0/16, which everything else uses.
	//
	// The second byte is firstNetwork plus 0 to networkCount-1. The third byte holds the
	// higher part of the process id, so addresses are unique for ids below 8.3 million.
	networkCount    = 128
	firstNetwork    = 100
	hostsPerNetwork = 254
)

// Address returns the loopback address of this process, without a port. It is
// derived from the process id.
func Address() string {
	id := os.Getpid()
	network := firstNetwork + id/hostsPerNetwork%networkCount
	return net.IPv4(127, byte(network), byte(id/hostsPerNetwork/networkCount), byte(1+id%hostsPerNetwork)).String()
}

// AnyPort returns the address of this process with port 0, so that the kernel
// chooses the port when listening.
func AnyPort() string {
	return net.JoinHostPort(Address(), strconv.Itoa(0))
}

// returnedAddresses is the set of addresses that Free has returned.
var returnedAddresses sync.Map

// Free returns the address of this process with a free TCP port. It returns each port
// only once, because the kernel could choose a port again before the test listens on
// it.
func Free(t testing.TB) string {
	t.Helper()
	for {
		address := unusedAddress(t)
		if _, alreadyReturned := returnedAddresses.LoadOrStore(address, true); !alreadyReturned {
			return address
		}
	}
}

// unusedAddress listens on a port that the kernel chooses, closes the listener and
// returns its address.
func unusedAddress(t testing.TB) string {
	t.Helper()
	listener, err := net.Listen("tcp", AnyPort())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}
