// Package framing rejects HTTP/1.1 requests whose body length is ambiguous. net/http
// resolves such requests silently, so a caller could smuggle a second request in the
// body of the first. The package checks the raw bytes of a caller's connection before
// net/http reads them.
package framing

import (
	"bytes"
	"errors"
	"io"
	"net"
	"strconv"
	"strings"
)

// ErrAmbiguous is returned for a request that has both a Content-Length and a
// Transfer-Encoding, more than one header of either kind, an invalid value of one of
// them, an invalid chunk size, or a header line that continues the one before it.
var ErrAmbiguous = errors.New("ambiguous request framing")

// state is the part of a request that a Scanner expects next.
type state uint8

const (
	inHeader state = iota
	inBody
	inChunkSize
	inChunk
	inTrailer
)

// maxLineBytes is the length to which buffered lines are truncated. The HTTP server
// rejects longer lines by its own limits.
const maxLineBytes = 32 << 10

// Scanner parses the framing of consecutive requests in the bytes of a connection.
// The zero value expects the start of a request. It is not safe for concurrent use.
type Scanner struct {
	state         state
	line          []byte
	headerStarted bool
	// contentLengthHeaders and transferEncodingHeaders are numbers of headers.
	contentLengthHeaders    int
	contentLength           int64
	transferEncodingHeaders int
	// remainingBytes is the unread rest of the current body or chunk.
	remainingBytes int64
}

// Scan parses the next bytes of the connection, which may end anywhere in a request.
// It returns ErrAmbiguous at the first ambiguous request; the Scanner must not be used
// after that.
func (s *Scanner) Scan(data []byte) error {
	for len(data) > 0 {
		if s.state == inBody || s.state == inChunk {
			data = data[s.skipBody(data):]
			continue
		}
		end := bytes.IndexByte(data, '\n')
		if end < 0 {
			s.appendLine(data)
			return nil
		}
		s.appendLine(data[:end])
		data = data[end+1:]
		line := string(bytes.TrimSuffix(s.line, []byte("\r")))
		s.line = s.line[:0]
		if err := s.processLine(line); err != nil {
			return err
		}
	}
	return nil
}

// appendLine appends piece to the buffered line, up to maxLineBytes.
func (s *Scanner) appendLine(piece []byte) {
	if room := maxLineBytes - len(s.line); len(piece) > room {
		piece = piece[:room]
	}
	s.line = append(s.line, piece...)
}

// skipBody skips the bytes of data that belong to the current body or chunk and
// returns their number.
func (s *Scanner) skipBody(data []byte) int {
	n := min(int64(len(data)), s.remainingBytes)
	s.remainingBytes -= n
	if s.remainingBytes > 0 {
		return int(n)
	}
	if s.state == inChunk {
		s.state = inChunkSize
	} else {
		s.reset()
	}
	return int(n)
}

func (s *Scanner) reset() {
	*s = Scanner{line: s.line[:0]}
}

func (s *Scanner) processLine(line string) error {
	switch s.state {
	case inHeader:
		return s.processHeaderLine(line)
	case inChunkSize:
		return s.processChunkSize(line)
	default:
		// inTrailer
		if line == "" {
			s.reset()
		}
		return nil
	}
}

func (s *Scanner) processHeaderLine(line string) error {
	if line == "" {
		if !s.headerStarted {
			return nil
		}
		return s.finishHeader()
	}
	if s.headerStarted && (line[0] == ' ' || line[0] == '\t') {
		return ErrAmbiguous
	}
	s.headerStarted = true
	name, value, found := strings.Cut(line, ":")
	if !found {
		return nil
	}
	switch strings.ToLower(strings.TrimSpace(name)) {
	case "content-length":
		s.contentLengthHeaders++
		length, err := strconv.ParseInt(strings.TrimSpace(value), 10, 64)
		if err != nil || length < 0 {
			return ErrAmbiguous
		}
		s.contentLength = length
	case "transfer-encoding":
		s.transferEncodingHeaders++
		if !strings.EqualFold(strings.TrimSpace(value), "chunked") {
			return ErrAmbiguous
		}
	}
	return nil
}

func (s *Scanner) finishHeader() error {
	if s.contentLengthHeaders+s.transferEncodingHeaders > 1 {
		return ErrAmbiguous
	}
	switch {
	case s.transferEncodingHeaders > 0:
		s.state = inChunkSize
	case s.contentLength > 0:
		s.state, s.remainingBytes = inBody, s.contentLength
	default:
		s.reset()
	}
	return nil
}

// processChunkSize handles the line with the size of a chunk, or the line end after the
// data of a chunk. It accepts any number of empty lines.
func (s *Scanner) processChunkSize(line string) error {
	if line == "" {
		return nil
	}
	size, _, _ := strings.Cut(line, ";")
	length, err := strconv.ParseUint(strings.TrimSpace(size), 16, 63)
	if err != nil {
		return ErrAmbiguous
	}
	if length == 0 {
		s.state = inTrailer
		return nil
	}
	s.state, s.remainingBytes = inChunk, int64(length)
	return nil
}

// badRequestResponse is the response to an ambiguous request.
const badRequestResponse = "HTTP/1.1 400 Bad Request\r\nContent-Type: text/plain\r\nContent-Length: 18\r\nConnection: close\r\n\r\nambiguous framing\n"

// Listener wraps a net.Listener. On each accepted connection, the first ambiguous request
// is answered with status 400, and reads return io.EOF from then on.
type Listener struct{ net.Listener }

// Accept implements net.Listener.
func (l Listener) Accept() (net.Conn, error) {
	connection, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &checkedConn{Conn: connection}, nil
}

// checkedConn is a connection whose reads return io.EOF from the first ambiguous
// request on.
type checkedConn struct {
	net.Conn
	scanner  Scanner
	rejected bool
}

// Read implements net.Conn. If the bytes that were read contain an ambiguous request,
// Read answers the caller with status 400, discards all of the bytes and returns io.EOF.
func (c *checkedConn) Read(p []byte) (int, error) {
	if c.rejected {
		return 0, io.EOF
	}
	n, err := c.Conn.Read(p)
	if scanErr := c.scanner.Scan(p[:n]); scanErr != nil {
		c.rejected = true
		// The write fails if the caller has disconnected. The error needs no handling
		// because the connection ends in either case.
		_, _ = c.Conn.Write([]byte(badRequestResponse))
		return 0, io.EOF
	}
	return n, err
}
