package wire

import (
	"bytes"
	"net"
	"testing"
)

// recordingConn keeps each write apart.
type recordingConn struct {
	net.Conn
	writes [][]byte
}

func (r *recordingConn) Write(p []byte) (int, error) {
	r.writes = append(r.writes, bytes.Clone(p))
	return len(p), nil
}

func header(kind byte, length byte) []byte {
	return []byte{0, kind, 0, 0, 0, 0, 0, 1, 0, 0, 0, length}
}

func TestCoalescingConnJoinsHeaderAndBody(t *testing.T) {
	const windowUpdate = 1
	sink := new(recordingConn)
	conn := &coalescingConn{Conn: sink}
	large := bytes.Repeat([]byte("x"), coalesceLimitBytes+1)
	// The second body looks like a header itself.
	for _, p := range [][]byte{
		header(muxTypeData, 4), []byte("body"),
		header(windowUpdate, 9),
		header(muxTypeData, 12), header(muxTypeData, 12),
		header(muxTypeData, 0),
		header(muxTypeData, 200), large,
	} {
		if n, err := conn.Write(p); err != nil || n != len(p) {
			t.Fatalf("wrote %d of %d: %v", n, len(p), err)
		}
	}
	want := [][]byte{
		append(header(muxTypeData, 4), "body"...),
		header(windowUpdate, 9),
		append(header(muxTypeData, 12), header(muxTypeData, 12)...),
		header(muxTypeData, 0),
		header(muxTypeData, 200), large,
	}
	if len(sink.writes) != len(want) {
		t.Fatalf("%d writes, want %d", len(sink.writes), len(want))
	}
	for i := range want {
		if !bytes.Equal(sink.writes[i], want[i]) {
			t.Fatalf("write %d is %d bytes, want %d", i, len(sink.writes[i]), len(want[i]))
		}
	}
}
