package exchange

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/rs/zerolog"
)

// sendWithID sends a request with an ID and reads its whole response.
func sendWithID(t *testing.T, p *Pool, u *upstream, id string) *Response {
	t.Helper()
	request := newRequest("")
	request.ID, request.Header = id, http.Header{"Id": {id}}
	request.ResponseID = func(h http.Header) string { return h.Get("Id") }
	response, err := p.Do(t.Context(), u.address(), request)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		t.Fatal(err)
	}
	response.MarkBodyRead()
	response.Close()
	return response
}

// echo returns a response to a request.
func echo(r *http.Request, status int) []byte {
	return fmt.Appendf(nil, "HTTP/1.1 %d S\r\nId: %s\r\nContent-Length: 0\r\n\r\n", status, r.Header.Get("Id"))
}

// A copy of an earlier answer must not be taken for the answer to a request with the same ID.
func TestCopyOfAnswerIsNotTheAnswerToTheSecondSending(t *testing.T) {
	var refusal []byte
	u := serve(t, func(connection, request int, r *http.Request) []byte {
		switch {
		case connection == 0 && request == 0:
			refusal = echo(r, http.StatusServiceUnavailable)
			return refusal
		case connection == 0 && r.Header.Get("Id") == "x":
			return append(refusal, echo(r, http.StatusOK)...)
		default:
			return echo(r, http.StatusOK)
		}
	})
	pool := NewPool(zerolog.Nop())
	if response := sendWithID(t, pool, u, "x"); response.Status != http.StatusServiceUnavailable {
		t.Fatalf("status %d of the first sending", response.Status)
	}
	sendWithID(t, pool, u, "y")
	if got := len(u.accepted); got != 1 {
		t.Errorf("%d connections for two requests, want 1", got)
	}
	if response := sendWithID(t, pool, u, "x"); response.Status != http.StatusOK {
		t.Errorf("status %d of the second sending, want that of its own answer", response.Status)
	}
	if got := len(u.accepted); got != 2 {
		t.Errorf("%d connections, want 2", got)
	}
}

// A caller that uses one ID for all its requests must not make the pool keep a connection for
// each of them.
func TestRepeatedIDDoesNotPileUpIdleConnections(t *testing.T) {
	u := serve(t, func(_, _ int, r *http.Request) []byte {
		return fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nId: %s\r\nKeep-Alive: timeout=30\r\nContent-Length: 0\r\n\r\n", r.Header.Get("Id"))
	})
	var out bytes.Buffer
	pool := NewPool(zerolog.New(&out))
	for _, id := range []string{"x", "x", "x", "y"} {
		sendWithID(t, pool, u, id)
	}
	if got := len(u.accepted); got != 3 {
		t.Errorf("%d connections, want one for each sending of the same request", got)
	}
	if open, idle := pool.Connections(); open != 1 || idle != 1 {
		t.Errorf("%d connections open, %d idle, want 1", open, idle)
	}
	if got := strings.Count(out.String(), `"request":"x"`); got != 2 {
		t.Errorf("%d lines on connections that were not reused, want 2: %s", got, out.String())
	}
}

// The IDs that a connection remembers must not grow without bound.
func TestConnectionIsClosedAfterMaxCarried(t *testing.T) {
	u := serve(t, func(_, _ int, r *http.Request) []byte { return echo(r, http.StatusOK) })
	pool := NewPool(zerolog.Nop())
	for i := range maxCarried + 1 {
		sendWithID(t, pool, u, fmt.Sprint(i))
	}
	if got := len(u.accepted); got != 2 {
		t.Errorf("%d connections, want 2", got)
	}
}
