package httpengine

import (
	"bytes"
	"encoding/json"
	"strconv"

	"github.com/greengagegate/greengagegate/internal/engine"
)

// AppendRunEvent appends the event to b as one line of JSON with its newline. It
// returns b unchanged when the event cannot be encoded.
func AppendRunEvent(b []byte, event engine.RunEvent) []byte {
	if event.Type != engine.EventTokens || !needsNoEscape(event.Text) || !needsNoEscape(event.RequestID) {
		line, err := json.Marshal(event)
		if err != nil {
			return b
		}
		return append(append(b, line...), '\n')
	}
	b = append(b, `{"type":"tokens","request_id":"`...)
	b = append(b, event.RequestID...)
	b = append(b, `","offset":`...)
	b = strconv.AppendInt(b, event.Offset, 10)
	b = append(b, `,"count":`...)
	b = strconv.AppendInt(b, event.Count, 10)
	b = append(b, `,"text":"`...)
	b = append(b, event.Text...)
	return append(b, "\"}\n"...)
}

// needsNoEscape reports whether text is printable ASCII that encoding/json writes
// without escapes.
func needsNoEscape(text string) bool {
	for i := range len(text) {
		if c := text[i]; c < ' ' || c == '"' || c == '\\' || c >= 0x7f || c == '<' || c == '>' || c == '&' {
			return false
		}
	}
	return true
}

// parseRunEvent decodes a line. It decodes token events in the layout of
// AppendRunEvent without reflection, and all other lines with encoding/json.
func parseRunEvent(line []byte, requestID string) (engine.RunEvent, error) {
	if event, ok := parseTokens(line, requestID); ok {
		return event, nil
	}
	var event engine.RunEvent
	err := json.Unmarshal(line, &event)
	return event, err
}

// parseTokens decodes a token event of the request. It returns false when the line
// has another layout than that of AppendRunEvent, or another request id.
func parseTokens(line []byte, requestID string) (engine.RunEvent, bool) {
	s := scanner{rest: line}
	s.expect(`{"type":"tokens","request_id":"`)
	s.expect(requestID)
	s.expect(`","offset":`)
	offset := s.readInteger()
	s.expect(`,"count":`)
	count := s.readInteger()
	s.expect(`,"text":"`)
	text := s.readPlainText()
	s.expect(`"}`)
	if s.failed || len(s.rest) != 0 {
		return engine.RunEvent{}, false
	}
	return engine.RunEvent{
		Type:      engine.EventTokens,
		RequestID: requestID,
		Offset:    int64(offset),
		Count:     int64(count),
		Text:      string(text),
	}, true
}

// parseCacheEvent decodes a line of the cache event stream. It decodes lines with
// fields in the order of engine.CacheEvent without reflection, and all other lines
// with encoding/json.
func parseCacheEvent(line []byte) (engine.CacheEvent, error) {
	if event, ok := scanCacheEvent(line); ok {
		return event, nil
	}
	var event engine.CacheEvent
	err := json.Unmarshal(line, &event)
	return event, err
}

// scanCacheEvent decodes a cache event. It returns false when the line has another
// layout.
func scanCacheEvent(line []byte) (engine.CacheEvent, bool) {
	var event engine.CacheEvent
	s := scanner{rest: line}
	s.expect(`{"seq":`)
	event.Sequence = s.readInteger()
	s.expect(`,"incarnation":`)
	event.Incarnation = s.readInteger()
	s.expect(`,"kind":"`)
	event.Kind = cacheEventKind(s.readPlainText())
	s.expect(`"`)
	if s.accept(`,"salt":`) {
		event.Salt = s.readInteger()
	}
	if s.accept(`,"hashes":[`) {
		event.Hashes = s.readIntegers()
		s.expect(`]`)
	}
	s.expect(`}`)
	return event, !s.failed && len(s.rest) == 0
}

// cacheEventKind converts text. The constants save an allocation for frequent kinds.
func cacheEventKind(text []byte) engine.CacheEventKind {
	switch string(text) {
	case string(engine.CacheStored):
		return engine.CacheStored
	case string(engine.CacheEvicted):
		return engine.CacheEvicted
	default:
		return engine.CacheEventKind(text)
	}
}

// scanner reads a line from left to right. After a mismatch failed stays true, and
// the results of further reads are meaningless.
type scanner struct {
	rest   []byte
	failed bool
}

// accept consumes text if it comes next, and reports whether it did.
func (s *scanner) accept(text string) bool {
	if s.failed || len(s.rest) < len(text) || string(s.rest[:len(text)]) != text {
		return false
	}
	s.rest = s.rest[len(text):]
	return true
}

// expect consumes text, and fails if something else comes next.
func (s *scanner) expect(text string) {
	if !s.accept(text) {
		s.failed = true
	}
}

// readInteger consumes decimal digits, and fails if there are none.
func (s *scanner) readInteger() uint64 {
	var value uint64
	i := 0
	for i < len(s.rest) && s.rest[i] >= '0' && s.rest[i] <= '9' {
		value = value*10 + uint64(s.rest[i]-'0')
		i++
	}
	if i == 0 {
		s.failed = true
	}
	s.rest = s.rest[i:]
	return value
}

// readIntegers consumes one or more integers with commas between them.
func (s *scanner) readIntegers() []uint64 {
	values := make([]uint64, 0, 1+bytes.Count(s.rest, []byte{','}))
	for !s.failed {
		values = append(values, s.readInteger())
		if !s.accept(",") {
			break
		}
	}
	return values
}

// readPlainText consumes and returns the text before the next quote. It fails if the
// text contains escapes.
func (s *scanner) readPlainText() []byte {
	end := bytes.IndexByte(s.rest, '"')
	if s.failed || end < 0 || bytes.IndexByte(s.rest[:end], '\\') >= 0 {
		s.failed = true
		return nil
	}
	text := s.rest[:end]
	s.rest = s.rest[end:]
	return text
}
