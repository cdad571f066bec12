package exchange

import (
	"bufio"
	"bytes"
	"net/http"
	"time"

	"github.com/greengagegate/greengagegate/internal/metrics"
	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"
)

// An upstream may send responses that no request is waiting for: copies of earlier ones, or
// responses to requests that were given up. The functions of this file report them.

// maxLinesPerSecond bounds the log lines about such responses.
const maxLinesPerSecond = 20

// reportMismatch reports a response to another request than the one that is under way. It is
// skipped, and the connection is closed after the exchange.
func (c *conn) reportMismatch(awaited, received string, status int) {
	metrics.Counter("exchange.mismatched_responses").Inc(1)
	if line := c.line(zerolog.WarnLevel); line != nil {
		line.Str("awaited", shorten(awaited)).Str("received", shorten(received)).Int("status", status).
			Msg("exchange: upstream sent a response to another request; skipping it")
	}
}

// reportCarried reports that the connection is closed because it has carried a request with this
// ID before, so that a late copy of that answer could be taken for the one that is due.
func (c *conn) reportCarried(id string) {
	metrics.Counter("exchange.connections_not_reused").Inc(1)
	if line := c.line(zerolog.InfoLevel); line != nil {
		line.Str("request", shorten(id)).
			Msg("exchange: connection has carried a request with this ID before; closing it")
	}
}

// discardUnsolicited reports the response that the upstream sent while no request was under
// way, as far as it has arrived, and closes the connection.
func (c *conn) discardUnsolicited() {
	defer c.discard()
	metrics.Counter("exchange.unsolicited_responses").Inc(1)
	line := c.line(zerolog.WarnLevel)
	if line == nil {
		return
	}
	response, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(c.arrived())), nil)
	if err == nil {
		line = line.Int("status", response.StatusCode)
	}
	if err == nil && c.responseID != nil {
		line = line.Str("received", shorten(c.responseID(response.Header)))
	}
	line.Str("former", shorten(c.lastID)).Err(err).
		Msg("exchange: upstream sent bytes that no request was waiting for; closing the connection")
}

// arrived returns the first bytes that have arrived and have not been read, without waiting
// for more.
func (c *conn) arrived() []byte {
	// Peek never fails for bytes that are buffered.
	buffered, _ := c.reader.Peek(c.reader.Buffered())
	raw, ok := c.rawConn()
	if !ok {
		return buffered
	}
	content := make([]byte, readBufferBytes)
	n := copy(content, buffered)
	// After an error only the buffered bytes are known.
	_ = raw.Read(func(fd uintptr) bool {
		if received, _, err := unix.Recvfrom(int(fd), content[n:], unix.MSG_PEEK|unix.MSG_DONTWAIT); err == nil {
			n += received
		}
		return true
	})
	return content[:n]
}

// line returns a log line about the connection, or nil if the bound on lines is reached.
func (c *conn) line(level zerolog.Level) *zerolog.Event {
	if !c.pool.lines.Reserve(time.Now()) {
		return nil
	}
	return c.pool.log.WithLevel(level).Str("address", c.address).Str("local", c.netConn.LocalAddr().String())
}

// maxLoggedID is the length to which IDs are shortened in log lines, since callers and upstreams
// choose them.
const maxLoggedID = 64

// shorten returns the first maxLoggedID bytes of an ID.
func shorten(id string) string { return id[:min(len(id), maxLoggedID)] }

// idleState is what can be seen of a connection on which no request is under way.
type idleState uint8

const (
	// healthy means that the connection is open and nothing has arrived on it.
	healthy idleState = iota
	// closed means that the upstream has closed the connection, or that it failed.
	closed
	// unsolicited means that the upstream has sent bytes.
	unsolicited
)

// idleState returns the state of an idle connection.
func (c *conn) idleState() idleState {
	if c.reader.Buffered() > 0 {
		return unsolicited
	}
	raw, ok := c.rawConn()
	if !ok {
		return healthy
	}
	state := closed
	err := raw.Read(func(fd uintptr) bool {
		var one [1]byte
		n, _, peekErr := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		switch {
		case peekErr == unix.EAGAIN:
			state = healthy
		case peekErr == nil && n > 0:
			state = unsolicited
		}
		return true
	})
	if err != nil {
		return closed
	}
	return state
}

// retire closes a connection that is not used again, and reports what arrived on it.
func (c *conn) retire(state idleState) {
	if state == unsolicited {
		c.discardUnsolicited()
		return
	}
	c.discard()
}
