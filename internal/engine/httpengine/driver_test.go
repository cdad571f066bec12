package httpengine

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"

	"github.com/greengagegate/greengagegate/internal/engine"
)

// newScriptedDriver starts a server that answers each run with lines. It returns a
// driver for it and a function that returns the number of connections used so far.
func newScriptedDriver(t *testing.T, lines string) (*Driver, func() int) {
	t.Helper()
	var mu sync.Mutex
	connections := make(map[string]bool)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		connections[r.RemoteAddr] = true
		mu.Unlock()
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(w, lines)
	}))
	t.Cleanup(server.Close)
	driver := New(server.URL)
	t.Cleanup(driver.Close)
	return driver, func() int {
		mu.Lock()
		defer mu.Unlock()
		return len(connections)
	}
}

// collectEvents starts a run and returns its events, with the error that ended them
// or nil after the end event.
func collectEvents(t *testing.T, driver *Driver, requestID string) ([]engine.RunEvent, error) {
	t.Helper()
	run, err := driver.Run(context.Background(), engine.RunRequest{RequestID: requestID, Prompt: []byte("text")})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = run.Close() }()
	var events []engine.RunEvent
	for {
		event, err := run.Next()
		if err == io.EOF {
			return events, nil
		}
		if err != nil {
			return events, err
		}
		events = append(events, event)
	}
}

// The test guards against an incomplete stream or another request's event that passes for a
// complete run, and against lines after the end event that are taken for events.
func TestRunOutcomes(t *testing.T) {
	tokens := string(AppendRunEvent(nil, engine.RunEvent{Type: engine.EventTokens, RequestID: "a", Offset: 7, Count: 1, Text: "abcd"}))
	end := string(AppendRunEvent(nil, engine.RunEvent{Type: engine.EventEnd, RequestID: "a"}))
	otherRequest := string(AppendRunEvent(nil, engine.RunEvent{Type: engine.EventTokens, RequestID: "b", Count: 1, Text: "wxyz"}))
	cases := []struct {
		name   string
		lines  string
		events int
		want   error
	}{
		{"complete run", tokens + end, 2, nil},
		{"stream without end event is incomplete", tokens, 1, engine.ErrIncompleteAnswer},
		{"truncated line is incomplete", tokens + `{"type":"tok`, 1, engine.ErrIncompleteAnswer},
		{"event of another request is an error", tokens + otherRequest + end, 1, engine.ErrWrongRequest},
		{"lines after the end event are not read", tokens + end + otherRequest, 2, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			driver, _ := newScriptedDriver(t, c.lines)
			events, err := collectEvents(t, driver, "a")
			if len(events) != c.events || !errors.Is(err, c.want) {
				t.Fatalf("events %+v, error %v", events, err)
			}
			if events[0].Offset != 7 || events[0].Text != "abcd" {
				t.Fatalf("event 0 is %+v, want offset 7 and text abcd", events[0])
			}
		})
	}
}

// TestBufferedTokenEventsAreMerged guards against events that are merged across a gap in
// their offsets. The engine here sends the offsets 0 and 1, then 7 and 8.
func TestBufferedTokenEventsAreMerged(t *testing.T) {
	line := func(offset int64, text string) string {
		return string(AppendRunEvent(nil, engine.RunEvent{Type: engine.EventTokens, RequestID: "a", Offset: offset, Count: 1, Text: text}))
	}
	end := string(AppendRunEvent(nil, engine.RunEvent{Type: engine.EventEnd, RequestID: "a"}))
	driver, _ := newScriptedDriver(t, line(0, "aaaa")+line(1, "bbbb")+line(7, "cccc")+line(8, "dddd")+end)
	events, err := collectEvents(t, driver, "a")
	if err != nil {
		t.Fatal(err)
	}
	var text string
	offset := int64(0)
	for _, event := range events[:len(events)-1] {
		// 7 is the first offset after the gap.
		if event.Offset != offset && event.Offset != 7 {
			t.Fatalf("got event %+v, want offset %d or 7", event, offset)
		}
		if int64(len(event.Text)) != 4*event.Count {
			t.Fatalf("event %+v does not have 4 bytes per token", event)
		}
		offset = event.Offset + event.Count
		text += event.Text
	}
	if text != "aaaabbbbccccdddd" || offset != 9 || len(events) > 3 {
		t.Fatalf("got events %+v, want at most 3 with 9 tokens", events)
	}
}

// TestEachRunUsesItsOwnConnection guards against reuse of a canceled run's
// connection, on which the rest of its answer may still arrive.
func TestEachRunUsesItsOwnConnection(t *testing.T) {
	started := string(AppendRunEvent(nil, engine.RunEvent{Type: engine.EventStart, RequestID: "a"}))
	driver, connections := newScriptedDriver(t, started+started)
	for range 3 {
		run, err := driver.Run(context.Background(), engine.RunRequest{RequestID: "a"})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := run.Next(); err != nil {
			t.Fatal(err)
		}
		if err := run.Close(); err != nil {
			t.Fatal(err)
		}
	}
	if connections() != 3 {
		t.Fatalf("got %d connections for 3 canceled runs, want 3", connections())
	}
}

func TestEventLinesRoundTrip(t *testing.T) {
	for _, event := range []engine.RunEvent{
		{Type: engine.EventTokens, RequestID: "a", Offset: 12, Count: 3, Text: "plain text"},
		{Type: engine.EventTokens, RequestID: "a", Text: "quote \" and \\ and \n and é"},
		{Type: engine.EventEnd, RequestID: "a", PromptTokens: 9, FinishReason: "length"},
	} {
		line := AppendRunEvent(nil, event)
		got, err := parseRunEvent(line[:len(line)-1], "a")
		if err != nil || got != event {
			t.Fatalf("encoded %+v, decoded %+v: %v", event, got, err)
		}
	}
	for _, line := range []string{
		`{"seq":3,"incarnation":9,"kind":"stored","salt":5,"hashes":[1,18446744073709551615]}`,
		`{"kind":"stored","hashes":[1,18446744073709551615],"salt":5,"incarnation":9,"seq":3}`,
	} {
		event, err := parseCacheEvent([]byte(line))
		want := engine.CacheEvent{Sequence: 3, Incarnation: 9, Kind: engine.CacheStored, Salt: 5, Hashes: []uint64{1, 1<<64 - 1}}
		if err != nil || fmt.Sprint(event) != fmt.Sprint(want) {
			t.Fatalf("line %s decoded to %+v: %v", line, event, err)
		}
	}
}

func BenchmarkParseTokens(b *testing.B) {
	line := AppendRunEvent(nil, engine.RunEvent{Type: engine.EventTokens, RequestID: "0123456789abcdef", Offset: 12, Count: 1, Text: "abcd"})
	line = line[:len(line)-1]
	b.ReportAllocs()
	for b.Loop() {
		if _, err := parseRunEvent(line, "0123456789abcdef"); err != nil {
			b.Fatal(err)
		}
	}
}
