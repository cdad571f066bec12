// Package testhost gives each test process a loopback address of its own.
//
// A test that frees a port and listens on it again, as one of a restarted
// process does, would lose it on a shared address to any outgoing connection:
// the kernel takes the local ports of connections from the same range.
package testhost

import (
	"net"
	"os"
	"strconv"
	"sync"
	"testing"
)

const (
	// networks keeps clear of 127.0.0.0/16, which everything else uses.
	networks     = 128
	firstNetwork = 100
	hosts        = 254
)

// Address returns the loopback address of this process, without a port.
func Address() string {
	id := os.Getpid()
	network := firstNetwork + id/hosts%networks
	return net.IPv4(127, byte(network), byte(id/hosts/networks), byte(1+id%hosts)).String()
}

// AnyPort returns an address to listen on at a port that the kernel chooses.
func AnyPort() string {
	return net.JoinHostPort(Address(), strconv.Itoa(0))
}

// given holds the addresses that Free has returned.
var given sync.Map

// Free returns an address and a port of this process's own that is free for TCP.
// It returns each address once, since the kernel may choose a port again before
// its user listens on it.
func Free(t testing.TB) string {
	t.Helper()
	for {
		address := listenOnce(t)
		if _, again := given.LoadOrStore(address, true); !again {
			return address
		}
	}
}

// listenOnce returns the address of a listener that it has closed again.
func listenOnce(t testing.TB) string {
	t.Helper()
	listener, err := net.Listen("tcp", AnyPort())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}
