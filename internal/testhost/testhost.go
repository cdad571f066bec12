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

// Free returns an address and a port of this process's own that is free for TCP.
func Free(t testing.TB) string {
	t.Helper()
	listener, err := net.Listen("tcp", AnyPort())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}
