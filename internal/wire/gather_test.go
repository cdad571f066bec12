package wire

import (
	"bytes"
	"errors"
	"net"
	"testing"
	"testing/synctest"
	"time"
)

// recordingConn keeps each write apart. Writes wait for gate when it is not nil.
type recordingConn struct {
	net.Conn
	gate   chan struct{}
	err    error
	writes [][]byte
	closed bool
}

func (r *recordingConn) Write(p []byte) (int, error) {
	if r.gate != nil {
		<-r.gate
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

// expectWrites compares the writes that reached the connection.
func (r *recordingConn) expectWrites(t *testing.T, want ...string) {
	t.Helper()
	if len(r.writes) != len(want) {
		t.Fatalf("%d writes, want %d", len(r.writes), len(want))
	}
	for i := range want {
		if string(r.writes[i]) != want[i] {
			t.Errorf("write %d has %d bytes, want %d", i, len(r.writes[i]), len(want[i]))
		}
	}
}

// mustWrite writes all pieces.
func mustWrite(t *testing.T, c net.Conn, pieces ...string) {
	t.Helper()
	for _, p := range pieces {
		if n, err := c.Write([]byte(p)); err != nil || n != len(p) {
			t.Errorf("wrote %d of %d: %v", n, len(p), err)
		}
	}
}

func TestGatheredPiecesGoOutInOneWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sink := new(recordingConn)
		c := newGatheringConn(sink)
		mustWrite(t, c, "head", "body")
		sink.expectWrites(t)
		c.flush()
		sink.expectWrites(t, "headbody")
		// Without a flush they go out in time, once for each time they were held.
		for range 2 {
			mustWrite(t, c, "a", "b")
			time.Sleep(gatherDelay + time.Nanosecond)
			synctest.Wait()
		}
		sink.expectWrites(t, "headbody", "ab", "ab")
		mustWrite(t, c, "last")
		if err := c.Close(); err != nil || !sink.closed {
			t.Fatalf("close: %v", err)
		}
		sink.expectWrites(t, "headbody", "ab", "ab", "last")
		if _, err := c.Write([]byte("x")); !errors.Is(err, net.ErrClosed) {
			t.Fatalf("write after close: %v", err)
		}
	})
}

func TestGatheringKeepsOrderAndBoundsWhatItHolds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sink := &recordingConn{gate: make(chan struct{})}
		c := newGatheringConn(sink)
		mustWrite(t, c, "first")
		go c.flush()
		synctest.Wait()
		// The first write is stuck: as much as the limit is held, and no more.
		half := string(bytes.Repeat([]byte("h"), gatherLimitBytes/2))
		mustWrite(t, c, half, half)
		done := false
		go func() {
			mustWrite(t, c, "over")
			done = true
		}()
		time.Sleep(time.Second)
		synctest.Wait()
		if done {
			t.Fatal("more was held than the limit")
		}
		close(sink.gate)
		synctest.Wait()
		sink.expectWrites(t, "first", half+half, "over")
	})
}

func TestFailedWriteClosesTheConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sink := &recordingConn{err: errors.New("cut")}
		c := newGatheringConn(sink)
		mustWrite(t, c, "lost")
		c.flush()
		if _, err := c.Write([]byte("x")); !errors.Is(err, sink.err) || !sink.closed {
			t.Fatalf("closed is %v, error is %v", sink.closed, err)
		}
	})
}
