package relay

import (
	"io"
	"net"
	"testing"
	"time"
)

// Guards against a relay that does not delay connections between zones, or that
// corrupts the bytes that it forwards. The first case has source and relay in the
// same zone. In the second case Options.Zone returns another zone on each call, so
// that source and relay are always in different zones.
func TestRelayDelaysConnectionsBetweenZones(t *testing.T) {
	target, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = target.Close() }()
	go func() {
		for {
			conn, err := target.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(conn, conn); _ = conn.Close() }()
		}
	}()
	const delay = 20 * time.Millisecond
	for _, c := range []struct {
		zone         func(net.IP) string
		minRoundTrip time.Duration
	}{
		{func(net.IP) string { return "a" }, 0},
		{func() func(net.IP) string { n := 0; return func(net.IP) string { n++; return string(rune('a' + n)) } }(), 2 * delay},
	} {
		m, err := New(Options{Listen: "127.0.0.1:0", Target: target.Addr().String(), Delay: delay, Zone: c.zone})
		if err != nil {
			t.Fatal(err)
		}
		conn, err := net.Dial("tcp", m.listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		started := time.Now()
		if _, err := conn.Write([]byte("hello")); err != nil {
			t.Fatal(err)
		}
		echoed := make([]byte, 5)
		if _, err := io.ReadFull(conn, echoed); err != nil || string(echoed) != "hello" {
			t.Fatalf("relay returned %q, error %v", echoed, err)
		}
		if roundTrip := time.Since(started); roundTrip < c.minRoundTrip {
			t.Errorf("round trip of %v, want at least %v", roundTrip, c.minRoundTrip)
		}
		_ = conn.Close()
		m.Close()
	}
}
