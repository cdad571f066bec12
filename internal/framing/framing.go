// Package framing finds the ends of HTTP/1.1 requests in the bytes of a connection, and rejects
// requests whose body length is ambiguous. net/http resolves such requests silently, so a caller
// could smuggle a second request in the body of the first.
package framing

import (
	"bytes"
	"errors"
	"math"
	"strconv"
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

const (
	// maxLineBytes is the length to which buffered lines are truncated. Lines that matter and are
	// longer are ambiguous, since their values are cut off.
	maxLineBytes = 1 << 10
	// maxChunkSizeDigits is the number of digits of the longest chunk size. The HTTP server
	// accepts no longer ones.
	maxChunkSizeDigits = 16
)

var (
	contentLengthName    = []byte("content-length")
	transferEncodingName = []byte("transfer-encoding")
	chunkedCoding        = []byte("chunked")
)

// Scanner parses the framing of consecutive requests in the bytes of a connection.
// The zero value expects the start of a request. It is not safe for concurrent use.
type Scanner struct {
	state state
	line  []byte
	// truncated is true if line lacks its end.
	truncated bool
	// headerLines is the number of lines of the current request's head.
	headerLines int
	// event is what the last step has found.
	event Event
	// contentLengthHeaders and transferEncodingHeaders are numbers of headers.
	contentLengthHeaders    int
	contentLength           int64
	transferEncodingHeaders int
	// remainingBytes is the unread rest of the current body or chunk.
	remainingBytes int64
}

// Event is where Advance has stopped.
type Event uint8

const (
	// NoEvent: all bytes were parsed and end within a head or a body.
	NoEvent Event = iota
	// HeadEnded: a body follows.
	HeadEnded
	// RequestEnded: the head of the next request follows.
	RequestEnded
)

// Scan parses the next bytes of the connection, which may end anywhere in a request.
// It returns ErrAmbiguous at the first ambiguous request; the Scanner must not be used
// after that.
func (s *Scanner) Scan(data []byte) error {
	for len(data) > 0 {
		n, _, err := s.Advance(data)
		if err != nil {
			return err
		}
		data = data[n:]
	}
	return nil
}

// Advance parses the next bytes of the connection up to the next event, and returns the number of
// bytes that it has parsed. Otherwise it is like Scan.
func (s *Scanner) Advance(data []byte) (int, Event, error) {
	if s.event == RequestEnded {
		s.headerLines = 0
	}
	s.event = NoEvent
	parsed := 0
	for parsed < len(data) && s.event == NoEvent {
		n, err := s.step(data[parsed:])
		parsed += n
		if err != nil {
			return parsed, NoEvent, err
		}
	}
	return parsed, s.event, nil
}

// InHead reports whether a head, or the start of a request, is expected next.
func (s *Scanner) InHead() bool { return s.state == inHeader }

// HeaderLines returns the number of lines in the head of the current request so far, and after
// RequestEnded in that of the request that has ended.
func (s *Scanner) HeaderLines() int { return s.headerLines }

// step parses a line or a part of it, or a part of a body, and returns its length.
func (s *Scanner) step(data []byte) (int, error) {
	if s.state == inBody || s.state == inChunk {
		return s.skipBody(data), nil
	}
	end := bytes.IndexByte(data, '\n')
	if end < 0 {
		s.appendLine(data)
		return len(data), nil
	}
	line := data[:end]
	if len(s.line) > 0 {
		s.appendLine(line)
		line = s.line
	}
	err := s.processLine(bytes.TrimSuffix(line, []byte("\r")))
	s.line, s.truncated = s.line[:0], false
	return end + 1, err
}

// appendLine appends piece to the buffered line, up to maxLineBytes.
func (s *Scanner) appendLine(piece []byte) {
	if room := maxLineBytes - len(s.line); len(piece) > room {
		piece, s.truncated = piece[:room], true
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

// reset expects the start of the next request.
func (s *Scanner) reset() {
	*s = Scanner{line: s.line, headerLines: s.headerLines, event: RequestEnded}
}

func (s *Scanner) processLine(line []byte) error {
	switch s.state {
	case inHeader:
		return s.processHeaderLine(line)
	case inChunkSize:
		return s.processChunkSize(line)
	default:
		// inTrailer
		if len(line) == 0 {
			s.reset()
		}
		return nil
	}
}

func (s *Scanner) processHeaderLine(line []byte) error {
	if len(line) == 0 {
		if s.headerLines == 0 {
			return nil
		}
		return s.finishHeader()
	}
	if s.headerLines > 0 && (line[0] == ' ' || line[0] == '\t') {
		return ErrAmbiguous
	}
	s.headerLines++
	name, value, found := bytes.Cut(line, []byte(":"))
	if !found {
		return nil
	}
	name, value = bytes.TrimSpace(name), bytes.TrimSpace(value)
	switch {
	case bytes.EqualFold(name, contentLengthName):
		s.contentLengthHeaders++
		length, err := strconv.ParseInt(string(value), 10, 64)
		if err != nil || length < 0 || s.truncated {
			return ErrAmbiguous
		}
		s.contentLength = length
	case bytes.EqualFold(name, transferEncodingName):
		s.transferEncodingHeaders++
		if !bytes.EqualFold(value, chunkedCoding) || s.truncated {
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
		return nil
	}
	s.event = HeadEnded
	return nil
}

// processChunkSize handles the line with the size of a chunk, or the line end after the
// data of a chunk. It accepts any number of empty lines.
func (s *Scanner) processChunkSize(line []byte) error {
	if len(line) == 0 {
		return nil
	}
	size, _, hasExtension := bytes.Cut(line, []byte(";"))
	length, ok := parseHex(bytes.TrimSpace(size))
	if !ok || s.truncated && !hasExtension {
		return ErrAmbiguous
	}
	if length == 0 {
		s.state = inTrailer
		return nil
	}
	s.state, s.remainingBytes = inChunk, length
	return nil
}

// parseHex returns the value of a chunk size. ok is false for one that is invalid or too large.
func parseHex(digits []byte) (value int64, ok bool) {
	if len(digits) == 0 || len(digits) > maxChunkSizeDigits {
		return 0, false
	}
	for _, digit := range digits {
		switch {
		case '0' <= digit && digit <= '9':
			digit -= '0'
		case 'a' <= digit && digit <= 'f':
			digit -= 'a' - 10
		case 'A' <= digit && digit <= 'F':
			digit -= 'A' - 10
		default:
			return 0, false
		}
		if value > math.MaxInt64>>4 {
			return 0, false
		}
		value = value<<4 | int64(digit)
	}
	return value, true
}
