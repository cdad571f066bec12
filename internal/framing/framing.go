// Package framing finds requests on a caller's connection whose length is
// ambiguous. net/http settles such requests silently; a caller could hide a
// second request in the first one's body.
package framing

import (
	"bytes"
	"errors"
	"io"
	"net"
	"strconv"
	"strings"
)

// ErrAmbiguous reports a request that has both a length and a transfer coding,
// or more than one length.
var ErrAmbiguous = errors.New("ambiguous request framing")

type state uint8

const (
	inHead state = iota
	inBody
	inChunkSize
	inChunk
	inTrailer
)

// maxLine bounds a line of a head that is kept. Longer lines are cut; the server
// refuses them by its own limits.
const maxLine = 32 << 10

// Scanner follows the requests in the bytes of a connection.
type Scanner struct {
	state   state
	line    []byte
	started bool
	lengths int
	length  int64
	chunked int
	left    int64
}

// Scan takes the next bytes of the connection.
func (s *Scanner) Scan(data []byte) error {
	for len(data) > 0 {
		if s.state == inBody || s.state == inChunk {
			data = data[s.skip(data):]
			continue
		}
		end := bytes.IndexByte(data, '\n')
		if end < 0 {
			s.keep(data)
			return nil
		}
		s.keep(data[:end])
		data = data[end+1:]
		line := string(bytes.TrimSuffix(s.line, []byte("\r")))
		s.line = s.line[:0]
		if err := s.endLine(line); err != nil {
			return err
		}
	}
	return nil
}

func (s *Scanner) keep(part []byte) {
	if room := maxLine - len(s.line); len(part) > room {
		part = part[:room]
	}
	s.line = append(s.line, part...)
}

// skip passes over bytes of a body and returns their number.
func (s *Scanner) skip(data []byte) int {
	n := min(int64(len(data)), s.left)
	s.left -= n
	if s.left > 0 {
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

func (s *Scanner) endLine(line string) error {
	switch s.state {
	case inHead:
		return s.headLine(line)
	case inChunkSize:
		return s.chunkSize(line)
	default:
		if line == "" {
			s.reset()
		}
		return nil
	}
}

func (s *Scanner) headLine(line string) error {
	if line == "" {
		if !s.started {
			return nil
		}
		return s.endHead()
	}
	s.started = true
	name, value, found := strings.Cut(line, ":")
	if !found {
		return nil
	}
	switch strings.ToLower(strings.TrimSpace(name)) {
	case "content-length":
		s.lengths++
		length, err := strconv.ParseInt(strings.TrimSpace(value), 10, 64)
		if err != nil || length < 0 {
			return ErrAmbiguous
		}
		s.length = length
	case "transfer-encoding":
		s.chunked++
		if !strings.EqualFold(strings.TrimSpace(value), "chunked") {
			return ErrAmbiguous
		}
	}
	return nil
}

func (s *Scanner) endHead() error {
	if s.lengths+s.chunked > 1 {
		return ErrAmbiguous
	}
	switch {
	case s.chunked > 0:
		s.state = inChunkSize
	case s.length > 0:
		s.state, s.left = inBody, s.length
	default:
		s.reset()
	}
	return nil
}

// chunkSize reads the line before a chunk, or the empty line that ends a chunk.
func (s *Scanner) chunkSize(line string) error {
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
	s.state, s.left = inChunk, int64(length)
	return nil
}

// refusal is the answer to an ambiguous request.
const refusal = "HTTP/1.1 400 Bad Request\r\nContent-Type: text/plain\r\nContent-Length: 18\r\nConnection: close\r\n\r\nambiguous framing\n"

// Listener guards the connections that it accepts.
type Listener struct{ net.Listener }

// Accept implements net.Listener.
func (l Listener) Accept() (net.Conn, error) {
	connection, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &guarded{Conn: connection}, nil
}

// guarded is a connection whose reads end at the first ambiguous request.
type guarded struct {
	net.Conn
	scanner Scanner
	broken  bool
}

// Read implements net.Conn. The bytes of a read that holds an ambiguous request
// are not handed over; the caller is told, and the connection counts as ended.
func (g *guarded) Read(p []byte) (int, error) {
	if g.broken {
		return 0, io.EOF
	}
	n, err := g.Conn.Read(p)
	if scanErr := g.scanner.Scan(p[:n]); scanErr != nil {
		g.broken = true
		// The caller may have gone; there is nobody else to tell.
		_, _ = g.Conn.Write([]byte(refusal))
		return 0, io.EOF
	}
	return n, err
}
