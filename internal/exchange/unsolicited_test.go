package exchange

import (
	"bytes"
	"net"
	"net/http"
	"strings"
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

// A server may answer a connection that has carried no request, for example that it idled too long.
func TestResponseOnConnectionWithoutRequestIsReported(t *testing.T) {
	listener, err := net.Listen("tcp", testhost.AnyPort())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		connection, err := listener.Accept()
		if err != nil {
			return
		}
		_, _ = connection.Write([]byte("HTTP/1.1 408 Request Timeout\r\nId: none\r\nContent-Length: 0\r\n\r\n"))
	}()
	var out bytes.Buffer
	pool := NewPool(zerolog.New(&out))
	address := listener.Addr().String()
	if err := pool.Probe(t.Context(), address); err != nil {
		t.Fatal(err)
	}
	time.Sleep(10 * time.Millisecond)
	pool.CloseIdle(address)
	if open, _ := pool.Connections(); open != 0 || !strings.Contains(out.String(), `"status":408`) {
		t.Errorf("%d open connections and log %q, want none and a line with status 408", open, out.String())
	}
}
