package httpengine

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/greengagegate/greengagegate/internal/engine"
)

// runLines are the lines of a complete run.
func runLines() string {
	var lines []byte
	for _, event := range []engine.RunEvent{
		{Type: engine.EventStart, RequestID: "a", PromptTokens: 9},
		{Type: engine.EventTokens, RequestID: "a", Offset: 0, Count: 2, Text: "one two"},
		{Type: engine.EventEnd, RequestID: "a", PromptTokens: 9, CompletionTokens: 2, FinishReason: "length"},
	} {
		lines = AppendRunEvent(lines, event)
	}
	return string(lines)
}

// newRawDriver starts a server that sends bytes in place of each answer and closes the connection.
func newRawDriver(t *testing.T, answer string) *Driver {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		connection, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		_, _ = io.WriteString(connection, answer)
		_ = connection.Close()
	}))
	t.Cleanup(server.Close)
	driver := New(server.URL)
	t.Cleanup(driver.Close)
	return driver
}

// runRaw starts a run and returns the error of starting it or of reading its events, or nil after
// the end event.
func runRaw(t *testing.T, driver *Driver) error {
	run, err := driver.Run(t.Context(), engine.RunRequest{RequestID: "a", Prompt: []byte("text")})
	if err != nil {
		return err
	}
	defer func() { _ = run.Close() }()
	for {
		if _, err := run.Next(); err != nil {
			if errors.Is(err, io.EOF) && !errors.Is(err, engine.ErrIncompleteAnswer) {
				return nil
			}
			return err
		}
	}
}

// An engine stops at any byte of its answer, also within the head: the run must not count as
// complete before its end event.
func TestAnswerThatStopsIsIncomplete(t *testing.T) {
	lines := runLines()
	for name, answer := range map[string]string{
		"in chunks":      fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(lines), lines),
		"with a length":  fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(lines), lines),
		"without length": "HTTP/1.1 200 OK\r\n\r\n" + lines,
	} {
		t.Run(name, func(t *testing.T) {
			if err := runRaw(t, newRawDriver(t, answer)); err != nil {
				t.Fatalf("got %v of the whole answer, want no error", err)
			}
			endsAt := len(answer)
			if name == "in chunks" {
				endsAt -= len("\r\n0\r\n\r\n")
			}
			for length := range endsAt {
				if err := runRaw(t, newRawDriver(t, answer[:length])); !errors.Is(err, engine.ErrIncompleteAnswer) {
					t.Errorf("got %v after %d of %d bytes, want ErrIncompleteAnswer", err, length, len(answer))
				}
			}
		})
	}
}

// An engine that fails may report it as an event in its answer. That must not count as the end of
// the run, or the caller gets a part of a stream as a complete one.
func TestErrorEventIsNoEndOfRun(t *testing.T) {
	start := string(AppendRunEvent(nil, engine.RunEvent{Type: engine.EventStart, RequestID: "a", PromptTokens: 9}))
	for name, line := range map[string]string{
		"error":         `{"type":"error","request_id":"a","message":"out of memory"}`,
		"no type":       `{"request_id":"a","code":"busy"}`,
		"unknown type":  `{"type":"stop","request_id":"a"}`,
		"no request ID": `{"type":"end"}`,
		"refusal":       `{"code":"busy","message":"full"}`,
		"no JSON":       `engine failed`,
	} {
		for when, before := range map[string]string{"at first": "", "after the start": start} {
			t.Run(name+" "+when, func(t *testing.T) {
				driver, _ := newScriptedDriver(t, before+line+"\n")
				events, err := collectEvents(t, driver, "a")
				if err == nil {
					t.Errorf("got the events %+v as a complete run, want an error", events)
				}
				for _, event := range events {
					if event.Type != engine.EventStart {
						t.Errorf("got the event %+v, want none", event)
					}
				}
			})
		}
	}
}
