package wire

import (
	"encoding/binary"
	"net"
)

const (
	// muxHeaderBytes is the length of a yamux header: version, type, flags, stream and length.
	muxHeaderBytes = 12
	// coalesceLimitBytes is the largest body that is copied behind its header.
	coalesceLimitBytes = 16 << 10
	// muxTypeData marks a header whose body of the given length follows in the next write.
	muxTypeData = 0
)

// coalescingConn sends a multiplexer's header together with the body that the
// next write brings, instead of each in a packet of its own. Writes come from
// the session's one sending goroutine.
type coalescingConn struct {
	net.Conn
	held   [muxHeaderBytes]byte
	isHeld bool
	buffer []byte
}

// Write implements net.Conn. A held header counts as written; an error of its
// write shows at the body.
func (c *coalescingConn) Write(p []byte) (int, error) {
	if c.isHeld {
		return c.writeBehindHeader(p)
	}
	if announcesBody(p) {
		copy(c.held[:], p)
		c.isHeld = true
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (c *coalescingConn) writeBehindHeader(p []byte) (int, error) {
	c.isHeld = false
	if len(p) > coalesceLimitBytes {
		if _, err := c.Conn.Write(c.held[:]); err != nil {
			return 0, err
		}
		return c.Conn.Write(p)
	}
	c.buffer = append(c.buffer[:0], c.held[:]...)
	c.buffer = append(c.buffer, p...)
	n, err := c.Conn.Write(c.buffer)
	return max(0, n-muxHeaderBytes), err
}

// announcesBody reports whether p is the header of a data frame that is not empty.
func announcesBody(p []byte) bool {
	return len(p) == muxHeaderBytes && p[1] == muxTypeData && binary.BigEndian.Uint32(p[8:]) > 0
}
