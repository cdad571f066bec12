package wire

import (
	"net"
	"syscall"
	"testing"

	"github.com/greengagegate/greengagegate/internal/testhost"
	"github.com/greengagegate/greengagegate/internal/wire/wirepb"
	"github.com/rs/zerolog"
)

// exhaustedListener fails to accept a number of times, as for lack of descriptors.
type exhaustedListener struct {
	net.Listener
	failures int
}

func (l *exhaustedListener) Accept() (net.Conn, error) {
	if l.failures > 0 {
		l.failures--
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// A lack of descriptors must not close the listener for peers until a restart.
func TestServerAcceptsAgainAfterLackOfDescriptors(t *testing.T) {
	listener, err := net.Listen("tcp", testhost.Free(t))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	server := NewServer(&wirepb.Hello{}, zerolog.Nop())
	go func() { _ = server.Serve(&exhaustedListener{Listener: listener, failures: 3}) }()
	pool := NewPool(&wirepb.Hello{}, NewDialer(""))
	defer pool.Close()
	if _, err := pool.Open(t.Context(), listener.Addr().String(), wirepb.Kind_KIND_STATUS, ""); err != nil {
		t.Error(err)
	}
}
