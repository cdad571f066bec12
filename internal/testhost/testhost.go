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

// AnyPort returns the address of this process with a free TCP port for the caller to listen
// on. No port is returned twice by AnyPort and Free: the kernel could otherwise choose a port
// for one listener that another process of the test is about to listen on.
func AnyPort() string {
	address, err := reserve()
	if err != nil {
		// Listening fails with the same error.
		return net.JoinHostPort(Address(), strconv.Itoa(0))
	}
	return address
}

// Free returns the same as AnyPort and ends the test if no port is free.
func Free(t testing.TB) string {
	t.Helper()
	address, err := reserve()
	if err != nil {
		t.Fatal(err)
	}
	return address
}

// reservedAddresses is the set of addresses that were returned.
var reservedAddresses sync.Map

// reserve returns an unused address that was not returned before.
func reserve() (string, error) {
	for {
		address, err := unusedAddress()
		if err != nil {
			return "", err
		}
		if _, isReserved := reservedAddresses.LoadOrStore(address, true); !isReserved {
			return address, nil
		}
	}
}

// unusedAddress listens on a port that the kernel chooses, closes the listener and
// returns its address.
func unusedAddress() (string, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(Address(), strconv.Itoa(0)))
	if err != nil {
		return "", err
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String(), nil
}
