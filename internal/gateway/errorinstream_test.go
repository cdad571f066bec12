package gateway

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"
)

const (
	secondEvent = "id: 2\ndata: x\n\n"
	errorText   = "engine failed: out of memory"
	wholeHead   = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nX-Seal: 5.a\r\nContent-Length: 5\r\n\r\n"
)

// answerWith is an HTTP answer with a length.
func answerWith(status int, contentType, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Type: %s\r\nContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), contentType, len(body), body)
}

// errorAnswers are what an upstream answers in place of the rest of a stream.
var errorAnswers = map[string]string{
	"500":                    answerWith(500, "text/plain", errorText),
	"500 as events":          answerWith(500, "text/event-stream", "data: "+errorText+"\n\n"),
	"500 without length":     "HTTP/1.1 500 Error\r\n\r\n" + errorText,
	"500 in chunks":          "HTTP/1.1 500 Error\r\nTransfer-Encoding: chunked\r\n\r\n1c\r\n" + errorText + "\r\n0\r\n\r\n",
	"404":                    answerWith(404, "application/json", `{"error":"`+errorText+`"}`),
	"204":                    "HTTP/1.1 204 No Content\r\n\r\n",
	"206 as events":          answerWith(206, "text/event-stream", secondEvent),
	"200 as text":            answerWith(200, "text/plain", errorText),
	"200 without type":       "HTTP/1.1 200 OK\r\n\r\n" + errorText,
	"events that break off":  streamHead + "Content-Length: 99\r\n\r\ndata: " + errorText,
	"event without its end":  streamHead + "\r\ndata: " + errorText + "\n",
	"head cut in its middle": "HTTP/1.1 200 OK\r\nContent-Type: text/event-st",
	"status line cut":        "HTTP/1.1 2",
	"two heads":              "HTTP/1.1 200 OK\r\nHTTP/1.1 500 Error\r\n\r\n" + errorText,
	"no HTTP":                errorText + "\r\n\r\n",
	"nothing":                "",
}

// writeRaw sends bytes in place of an answer and ends the connection: all at once, or one at a time.
func writeRaw(t *testing.T, w http.ResponseWriter, answer string, bytewise bool) {
	connection, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		t.Error(err)
		return
	}
	defer func() { _ = connection.Close() }()
	size := max(1, len(answer))
	if bytewise {
		size = 1
	}
	for rest := answer; len(rest) > 0; {
		n := min(size, len(rest))
		if _, err := connection.Write([]byte(rest[:n])); err != nil {
			return
		}
		rest = rest[n:]
		if bytewise {
			time.Sleep(200 * time.Microsecond)
		}
	}
}

// A stream has begun and breaks off, and the next upstream answers with an error: no byte of that
// may reach the caller, and the stream must not end as if it were complete.
func TestErrorOfNextUpstreamIsNoPartOfStream(t *testing.T) {
	chunked := fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", streamHead, len(firstEvent), firstEvent)
	breaks := map[string]string{
		"closed":          streamHead + "Content-Length: 99\r\n\r\n" + firstEvent,
		"event cut":       streamHead + "\r\n" + firstEvent + "id: 2\nda",
		"chunk cut":       chunked + "ff\r\nid: 2",
		"malformed chunk": chunked + "zz\r\n",
	}
	for breakName, begun := range breaks {
		for answerName, answer := range errorAnswers {
			for _, bytewise := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, then %s, bytewise %v", breakName, answerName, bytewise), func(t *testing.T) {
					t.Parallel()
					g := newTestGateway(t, resumableRoute(), 3, func(w http.ResponseWriter, r *http.Request) {
						if r.Header.Get("Last-Event-Id") == "" {
							writeRaw(t, w, begun, bytewise)
							return
						}
						writeRaw(t, w, answer, bytewise)
					})
					caller, aborted := serveRecorded(g)
					if got := caller.Body.String(); caller.Code != http.StatusOK || got != firstEvent || !aborted {
						t.Errorf("caller got status %d, %q, aborted %v, want 200, the first event and an aborted connection", caller.Code, got, aborted)
					}
				})
			}
		}
	}
}

// A stream is silent, and the upstream that is asked to continue it answers with an error: the
// stream goes on at the silent one as if nobody had been asked.
func TestErrorOfHedgeIsNoPartOfStream(t *testing.T) {
	for name, answer := range errorAnswers {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := newTestGateway(t, resumableRoute(), 3, func(w http.ResponseWriter, r *http.Request) {
				if r.Header.Get("Last-Event-Id") != "" {
					writeRaw(t, w, answer, false)
					return
				}
				w.Header().Set("Content-Type", "text/event-stream")
				writeEvent(w, 1)
				time.Sleep(minStallTimeout + 500*time.Millisecond)
				writeEvent(w, 2)
			})
			caller, aborted := serveRecorded(g)
			if got := caller.Body.String(); got != firstEvent+secondEvent || aborted {
				t.Errorf("caller got %q, aborted %v, want both events of the silent upstream", got, aborted)
			}
		})
	}
}

// An upstream stops at any byte of its answer's head and closes the connection: the caller must not
// get a success, and no short or empty body that is framed as whole.
func TestAnswerThatStopsInItsHeadIsNoSuccess(t *testing.T) {
	heads := map[string]string{
		"with a length": wholeHead,
		"in chunks":     "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nTransfer-Encoding: chunked\r\n\r\n",
		"as events":     "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
	}
	for name, head := range heads {
		for length := range len(head) + 1 {
			t.Run(fmt.Sprintf("%s, after %d bytes", name, length), func(t *testing.T) {
				t.Parallel()
				route := resumableRoute()
				route.Resumable, route.MaxRuns = strings.Contains(head, "event-stream"), 2
				g := newTestGateway(t, route, 2, func(w http.ResponseWriter, _ *http.Request) { writeRaw(t, w, head[:length], false) })
				caller, aborted := serveRecorded(g)
				if caller.Code < 300 || aborted {
					t.Errorf("caller got status %d, %q, aborted %v, want a failure", caller.Code, caller.Body, aborted)
				}
			})
		}
	}
}
