package restart

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/greengagegate/greengagegate/internal/testhost"
)

// TestCrashedServerRefusesConnections guards against a server that accepts a connection
// after a crash and then closes it, so that the caller cannot tell whether its request
// ran.
func TestCrashedServerRefusesConnections(t *testing.T) {
	s := New(Options{
		Address:          testhost.Free(t),
		Downtime:         time.Minute,
		StartIncarnation: func(context.Context) (http.Handler, func()) { return http.NotFoundHandler(), func() {} },
	})
	if err := s.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Stop)
	if !s.Crash() {
		t.Fatal("the server was down before the crash")
	}
	conn, err := net.Dial("tcp", s.options.Address)
	if err == nil {
		_ = conn.Close()
		t.Error("the crashed server accepted a connection")
	}
}
