package intake

import (
	"errors"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// ExtendWrites makes the time limits of writes until an instant apply to a client that reads nothing:
// as long as it takes something within each limit, the write goes on. It ends with the request.
func (c *Conn) ExtendWrites(until time.Time) {
	if c != nil {
		c.extendUntil.Store(int64(until.Sub(clockStart)))
	}
}

// Write implements net.Conn. It has a time limit of its own unless the handler has set one.
func (c *Conn) Write(p []byte) (int, error) {
	c.leaveTurn()
	limit := time.Duration(c.writeLimit.Load())
	if limit == 0 {
		limit = writeTimeout
		if err := c.Conn.SetWriteDeadline(time.Now().Add(limit)); err != nil {
			return 0, err
		}
	}
	written, queued := 0, c.queued()
	for {
		n, err := c.Conn.Write(p[written:])
		written += n
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return written, err
		}
		left := c.queued()
		until := clockStart.Add(time.Duration(c.extendUntil.Load()))
		now := time.Now()
		if queued+n <= left || !now.Before(until) {
			return written, err
		}
		queued = left
		if c.Conn.SetWriteDeadline(now.Add(min(limit, until.Sub(now)))) != nil {
			return written, err
		}
	}
}

// queued returns the number of bytes that the client's host has not acknowledged; 0 if that is not known.
func (c *Conn) queued() int {
	raw, ok := c.Conn.(syscall.Conn)
	if !ok || c.extendUntil.Load() == 0 {
		return 0
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return 0
	}
	bytes := 0
	// The calls fail only on a closed connection, whose writes fail as well.
	_ = control.Control(func(fd uintptr) { bytes, _ = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) })
	return bytes
}

// SetWriteDeadline implements net.Conn.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	c.writeLimit.Store(0)
	if !t.IsZero() {
		c.writeLimit.Store(int64(max(1, time.Until(t))))
	}
	return c.Conn.SetWriteDeadline(t)
}
