package exchange

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/greengagegate/greengagegate/internal/testhost"
	"github.com/rs/zerolog"
)

// An upstream that answers too often must be seen in the log, with the ID of the request and
// that of the response.
func TestExtraResponsesAreReported(t *testing.T) {
	const extra = "HTTP/1.1 503 Service Unavailable\r\nId: late\r\nContent-Length: 0\r\n\r\n"
	cases := map[string]struct {
		response string
		want     []string
	}{
		"before the response": {extra + validResponse, []string{`"awaited":"request-`, `"received":"late"`, `"status":503`}},
		"after the response":  {validResponse + extra, []string{`"former":"request-`, `"received":"late"`, `"status":503`}},
		"head incomplete":     {validResponse + "HTTP/1.1 503", []string{`"former":"request-`, `"error":"unexpected EOF"`}},
		"before and after":    {extra + validResponse + extra, []string{`"awaited":"request-`}},
		"none":                {validResponse, nil},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			u := serve(t, func(int, int, *http.Request) []byte { return []byte(c.response) })
			var out bytes.Buffer
			pool := NewPool(zerolog.New(&out))
			if got, err := doExchange(t.Context(), pool, u.address(), ""); err != nil || got != "ok" {
				t.Fatalf("got %q, %v", got, err)
			}
			// What arrives later is found when the connection is given up.
			time.Sleep(10 * time.Millisecond)
			pool.CloseIdle(u.address())
			for _, want := range c.want {
				if !strings.Contains(out.String(), want) {
					t.Errorf("log %q lacks %s", out.String(), want)
				}
			}
			if c.want == nil && out.Len() > 0 {
				t.Errorf("log %q, want none", out.String())
			}
		})
	}
}

const busyResponse = "HTTP/1.1 503 Service Unavailable\r\nId: late\r\nContent-Length: 0\r\n\r\n"

// speakFirst starts an upstream that writes a response on each connection unasked.
func speakFirst(t *testing.T) string {
	listener, err := net.Listen("tcp", testhost.AnyPort())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = connection.Close() })
			_, _ = io.WriteString(connection, busyResponse)
		}
	}()
	return listener.Addr().String()
}

// A response on a connection that has carried no request yet must not end the process.
func TestResponseOnProbedConnectionIsReported(t *testing.T) {
	for name, use := range map[string]func(*Pool, string){
		"sweep":      func(p *Pool, _ string) { time.Sleep(defaultIdleTimeout + 50*time.Millisecond); p.Sweep() },
		"close idle": func(p *Pool, address string) { p.CloseIdle(address) },
		"next request": func(p *Pool, address string) {
			ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
			defer cancel()
			_, _ = p.Do(ctx, address, newRequest(""))
		},
	} {
		t.Run(name, func(t *testing.T) {
			defer func() {
				if reason := recover(); reason != nil {
					t.Errorf("panic: %v", reason)
				}
			}()
			address := speakFirst(t)
			var out bytes.Buffer
			pool := NewPool(zerolog.New(&out))
			if err := pool.Probe(t.Context(), address); err != nil {
				t.Fatal(err)
			}
			time.Sleep(20 * time.Millisecond)
			use(pool, address)
			if !strings.Contains(out.String(), `"status":503`) {
				t.Errorf("log %q lacks the response", out.String())
			}
		})
	}
}

// The counter of uses must not be written once another exchange may have the connection. It
// shows under the race detector only.
func TestProbeDoesNotRaceWithExchange(t *testing.T) {
	u := serve(t, func(_, _ int, r *http.Request) []byte { return echo(r, http.StatusOK) })
	go func() {
		for range u.accepted {
		}
	}()
	pool := NewPool(zerolog.Nop())
	done := make(chan struct{})
	var group sync.WaitGroup
	group.Go(func() {
		defer close(done)
		for range 500 {
			_ = pool.Probe(t.Context(), u.address())
		}
	})
	group.Go(func() {
		for {
			select {
			case <-done:
				return
			default:
			}
			if c := pool.popIdle(u.address(), noIdleLimit); c != nil {
				// What a request on the connection does at its end.
				c.release(0)
			}
		}
	})
	group.Wait()
	pool.CloseIdle(u.address())
}

// Extra bytes on a connection that is closed for another reason must be seen as well.
func TestExtraResponseOnClosedConnectionIsReported(t *testing.T) {
	for name, response := range map[string]string{
		"connection close": "HTTP/1.1 200 OK\r\nId: a\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok" + busyResponse,
		"before and after": busyResponse + validResponse + strings.Replace(busyResponse, "late", "later", 1),
	} {
		t.Run(name, func(t *testing.T) {
			u := serve(t, func(int, int, *http.Request) []byte { return []byte(response) })
			var out bytes.Buffer
			pool := NewPool(zerolog.New(&out))
			if got, err := doExchange(t.Context(), pool, u.address(), ""); err != nil || got != "ok" {
				t.Fatalf("got %q, %v", got, err)
			}
			want := `"received":"late"`
			if name == "before and after" {
				want = `"received":"later"`
			}
			if !strings.Contains(out.String(), want) {
				t.Errorf("log %q lacks %s", out.String(), want)
			}
		})
	}
}

// The last of maxCarried responses is followed by an extra one.
func TestExtraResponseOnFullConnectionIsReported(t *testing.T) {
	u := serve(t, func(_, n int, r *http.Request) []byte {
		if n == maxCarried-1 {
			return append(echo(r, http.StatusOK), busyResponse...)
		}
		return echo(r, http.StatusOK)
	})
	var out bytes.Buffer
	pool := NewPool(zerolog.New(&out))
	for i := range maxCarried {
		sendWithID(t, pool, u, fmt.Sprint(i))
	}
	if !strings.Contains(out.String(), `"received":"late"`) {
		t.Errorf("log %q lacks the ID of the response", out.String())
	}
}

// A connection on which something arrived before its first request must not keep Sweep from
// closing the others that have expired.
func TestSweepClosesAllExpiredConnections(t *testing.T) {
	address := speakFirst(t)
	pool := NewPool(zerolog.New(io.Discard))
	for range 3 {
		if err := pool.Probe(t.Context(), address); err != nil {
			t.Fatal(err)
		}
	}
	time.Sleep(defaultIdleTimeout + 50*time.Millisecond)
	for range 3 {
		func() {
			defer func() { _ = recover() }()
			pool.Sweep()
		}()
	}
	if open, idle := pool.Connections(); open > 0 {
		t.Errorf("%d connections open and %d idle after three sweeps, want none", open, idle)
	}
}

// The length of a line must not be up to the upstream.
func TestLineAboutExtraResponseIsBounded(t *testing.T) {
	long := strings.Repeat("i", 50<<10)
	u := serve(t, func(int, int, *http.Request) []byte {
		return []byte("HTTP/1.1 503 S\r\nId: " + long + "\r\nContent-Length: 0\r\n\r\n" + validResponse)
	})
	var out bytes.Buffer
	if _, err := doExchange(t.Context(), NewPool(zerolog.New(&out)), u.address(), ""); err != nil {
		t.Fatal(err)
	}
	if out.Len() > 8<<10 {
		t.Errorf("a line of %d bytes", out.Len())
	}
}
