package httpengine

import (
	"bytes"
	"encoding/json"
	"strconv"

	"github.com/greengagegate/greengagegate/internal/engine"
)

// AppendRunEvent appends the event as one line, end of line included.
func AppendRunEvent(b []byte, event engine.RunEvent) []byte {
	if event.Type != engine.EventTokens || !plain(event.Text) || !plain(event.RequestID) {
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

// plain reports whether text needs no escape in JSON.
func plain(text string) bool {
	for i := range len(text) {
		if c := text[i]; c < ' ' || c == '"' || c == '\\' || c >= 0x7f || c == '<' || c == '>' || c == '&' {
			return false
		}
	}
	return true
}

// parseRunEvent decodes a line. Lines of tokens that are laid out as
// AppendRunEvent does are decoded without reflection.
func parseRunEvent(line []byte, requestID string) (engine.RunEvent, error) {
	if event, ok := parseTokens(line, requestID); ok {
		return event, nil
	}
	var event engine.RunEvent
	err := json.Unmarshal(line, &event)
	return event, err
}

func parseTokens(line []byte, requestID string) (engine.RunEvent, bool) {
	s := scanner{rest: line}
	s.literal(`{"type":"tokens","request_id":"`)
	s.literal(requestID)
	s.literal(`","offset":`)
	offset := s.integer()
	s.literal(`,"count":`)
	count := s.integer()
	s.literal(`,"text":"`)
	text := s.plainText()
	s.literal(`"}`)
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

// parseCacheEvent decodes a line of the event stream, without reflection when
// its fields come in the usual order.
func parseCacheEvent(line []byte) (engine.CacheEvent, error) {
	if event, ok := scanCacheEvent(line); ok {
		return event, nil
	}
	var event engine.CacheEvent
	err := json.Unmarshal(line, &event)
	return event, err
}

func scanCacheEvent(line []byte) (engine.CacheEvent, bool) {
	var event engine.CacheEvent
	s := scanner{rest: line}
	s.literal(`{"seq":`)
	event.Sequence = s.integer()
	s.literal(`,"incarnation":`)
	event.Incarnation = s.integer()
	s.literal(`,"kind":"`)
	event.Kind = cacheEventKind(s.plainText())
	s.literal(`"`)
	if s.skip(`,"salt":`) {
		event.Salt = s.integer()
	}
	if s.skip(`,"hashes":[`) {
		event.Hashes = s.integers()
		s.literal(`]`)
	}
	s.literal(`}`)
	return event, !s.failed && len(s.rest) == 0
}

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

// scanner walks along a line. After a mismatch it has failed and stays so.
type scanner struct {
	rest   []byte
	failed bool
}

func (s *scanner) skip(text string) bool {
	if s.failed || len(s.rest) < len(text) || string(s.rest[:len(text)]) != text {
		return false
	}
	s.rest = s.rest[len(text):]
	return true
}

func (s *scanner) literal(text string) {
	if !s.skip(text) {
		s.failed = true
	}
}

func (s *scanner) integer() uint64 {
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

func (s *scanner) integers() []uint64 {
	values := make([]uint64, 0, 1+bytes.Count(s.rest, []byte{','}))
	for !s.failed {
		values = append(values, s.integer())
		if !s.skip(",") {
			break
		}
	}
	return values
}

// plainText returns the text up to the next quote; text with escapes fails.
func (s *scanner) plainText() []byte {
	end := bytes.IndexByte(s.rest, '"')
	if s.failed || end < 0 || bytes.IndexByte(s.rest[:end], '\\') >= 0 {
		s.failed = true
		return nil
	}
	text := s.rest[:end]
	s.rest = s.rest[end:]
	return text
}
