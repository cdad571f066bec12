package eventstream

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"
)

func readAllEvents(source io.Reader) (events []string, ids []string, err error) {
	reader := NewReader(source)
	for {
		event, err := reader.Next()
		if err != nil {
			return events, ids, err
		}
		events = append(events, string(event.Raw))
		ids = append(ids, event.ID)
	}
}

func TestNextReturnsCompleteEvents(t *testing.T) {
	text := "id: 1\ndata: a\n\nid:2\r\ndata: b\r\n\r\ndata: c\n\n"
	for name, source := range map[string]io.Reader{
		"at once":      strings.NewReader(text),
		"byte by byte": iotest.OneByteReader(strings.NewReader(text)),
	} {
		events, ids, err := readAllEvents(source)
		if !errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			t.Errorf("%s: got error %v at the end, want io.EOF", name, err)
		}
		if got := strings.Join(events, ""); got != text {
			t.Errorf("%s: got %q, want %q", name, got, text)
		}
		if got := strings.Join(ids, ","); got != "1,2," {
			t.Errorf("%s: got ids %q, want \"1,2,\"", name, got)
		}
	}
}

// An upstream can fail in the middle of an event. The truncated event must not be
// returned, because a caller would take it for a complete one.
func TestNextDropsTruncatedEvent(t *testing.T) {
	for _, tail := range []string{"id: 2", "id: 2\ndata: ha", "id: 2\ndata: half\n"} {
		events, _, err := readAllEvents(strings.NewReader("id: 1\ndata: a\n\n" + tail))
		if !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Errorf("stream ending in %q: got error %v, want io.ErrUnexpectedEOF", tail, err)
		}
		if len(events) != 1 {
			t.Errorf("stream ending in %q: got %d events, want 1", tail, len(events))
		}
	}
}

func TestNextRejectsOversizedEvent(t *testing.T) {
	for name, line := range map[string]string{
		"one long line":    strings.Repeat("x", MaxEventBytes+10),
		"many short lines": strings.Repeat("data: x\n", MaxEventBytes/8+10),
	} {
		source := io.MultiReader(strings.NewReader("data: "), strings.NewReader(line), strings.NewReader("\n\n"))
		if _, _, err := readAllEvents(source); !errors.Is(err, ErrTooLarge) {
			t.Errorf("%s: got %v, want ErrTooLarge", name, err)
		}
	}
}
