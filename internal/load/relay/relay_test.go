package relay

import (
	"io"
	"net"
	"testing"
	"time"
)

func TestRelayDelaysOtherZonesOnly(t *testing.T) {
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
		zone func(net.IP) string
		want time.Duration
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
			t.Fatalf("echoed %q, %v", echoed, err)
		}
		if took := time.Since(started); took < c.want {
			t.Errorf("took %v, want at least %v", took, c.want)
		}
		_ = conn.Close()
		m.Close()
	}
}
