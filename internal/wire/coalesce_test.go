package wire

import (
	"bytes"
	"errors"
	"net"
	"testing"
	"testing/synctest"
	"time"
)

// recordingConn records each write. Write first receives from unblock if that is
// set, then returns err if that is set.
type recordingConn struct {
	net.Conn
	unblock chan struct{}
	err     error
	writes  [][]byte
	closed  bool
}

func (r *recordingConn) Write(p []byte) (int, error) {
	if r.unblock != nil {
		<-r.unblock
	}
	if r.err != nil {
		return 0, r.err
	}
	r.writes = append(r.writes, bytes.Clone(p))
	return len(p), nil
}

func (r *recordingConn) SetWriteDeadline(time.Time) error { return nil }

func (r *recordingConn) Close() error {
	r.closed = true
	return nil
}

// expectWrites compares the recorded writes with want.
func (r *recordingConn) expectWrites(t *testing.T, want ...string) {
	t.Helper()
	if len(r.writes) != len(want) {
		t.Fatalf("connection has %d writes; want %d", len(r.writes), len(want))
	}
	for i := range want {
		if string(r.writes[i]) != want[i] {
			t.Errorf("write %d has %d bytes, want %d", i, len(r.writes[i]), len(want[i]))
		}
	}
}

// writeAll writes each piece with a call of its own.
func writeAll(t *testing.T, c net.Conn, pieces ...string) {
	t.Helper()
	for _, p := range pieces {
		if n, err := c.Write([]byte(p)); err != nil || n != len(p) {
			t.Errorf("wrote %d of %d bytes: %v", n, len(p), err)
		}
	}
}

func TestPendingBytesAreWrittenTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sink := new(recordingConn)
		c := newCoalescingConn(sink)
		writeAll(t, c, "head", "body")
		sink.expectWrites(t)
		c.flush()
		sink.expectWrites(t, "headbody")
		// Without a flush, the timer writes the pending bytes after coalesceDelay, and
		// does so again for later bytes.
		for range 2 {
			writeAll(t, c, "a", "b")
			time.Sleep(coalesceDelay + time.Nanosecond)
			synctest.Wait()
		}
		sink.expectWrites(t, "headbody", "ab", "ab")
		writeAll(t, c, "last")
		if err := c.Close(); err != nil || !sink.closed {
			t.Fatalf("close: %v", err)
		}
		sink.expectWrites(t, "headbody", "ab", "ab", "last")
		if _, err := c.Write([]byte("x")); !errors.Is(err, net.ErrClosed) {
			t.Fatalf("write after close: %v", err)
		}
	})
}

// The test guards against pending bytes that exceed coalesceLimitBytes or are written out of
// order while an earlier write to the connection blocks.
func TestCoalescingKeepsOrderAndBoundsPendingBytes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sink := &recordingConn{unblock: make(chan struct{})}
		c := newCoalescingConn(sink)
		writeAll(t, c, "first")
		go c.flush()
		synctest.Wait()
		// While the first write blocks, pending bytes may reach the limit but not exceed it.
		half := string(bytes.Repeat([]byte("h"), coalesceLimitBytes/2))
		writeAll(t, c, half, half)
		done := false
		go func() {
			writeAll(t, c, "over")
			done = true
		}()
		time.Sleep(time.Second)
		synctest.Wait()
		if done {
			t.Fatal("a Write beyond coalesceLimitBytes did not block")
		}
		close(sink.unblock)
		synctest.Wait()
		sink.expectWrites(t, "first", half+half, "over")
	})
}

func TestFailedWriteClosesConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sink := &recordingConn{err: errors.New("cut")}
		c := newCoalescingConn(sink)
		writeAll(t, c, "lost")
		c.flush()
		if _, err := c.Write([]byte("x")); !errors.Is(err, sink.err) || !sink.closed {
			t.Fatalf("connection closed: %v, write error: %v; want true and the error of the connection", sink.closed, err)
		}
	})
}
