package exchange

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/greengagegate/greengagegate/internal/testhost"
	"github.com/rs/zerolog"
)

// endlessTimeout is the deadline of an exchange with an endless upstream. An exchange that
// is bounded ends long before it.
const endlessTimeout = 2 * time.Second

// serveEndless starts an upstream that answers a request with start and then with repeated,
// again and again until the connection is closed.
func serveEndless(t *testing.T, start, repeated string) (address string) {
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
		defer func() { _ = connection.Close() }()
		if _, err := http.ReadRequest(bufio.NewReader(connection)); err != nil {
			return
		}
		block := []byte(strings.Repeat(repeated, 1+4096/len(repeated)))
		for _, err = connection.Write([]byte(start)); err == nil; {
			_, err = connection.Write(block)
		}
	}()
	return listener.Addr().String()
}

// requireBounded checks that the exchange with an endless upstream fails before its
// deadline, that the request counts as sent and that the connection is closed.
func requireBounded(t *testing.T, start, repeated string) error {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), endlessTimeout)
	defer cancel()
	pool := NewPool(zerolog.Nop())
	_, err := pool.Do(ctx, serveEndless(t, start, repeated), newRequest(""))
	var failure *Error
	if !errors.As(err, &failure) || failure.Progress != MaybeSent || ctx.Err() != nil {
		t.Errorf("got error %.200v at %v, want a failure before the deadline", err, ctx.Err())
	}
	if open, _ := pool.Connections(); open != 0 {
		t.Errorf("%d connections remain open, want none", open)
	}
	return err
}

// A head without end must not be read until the deadline: it would fill the memory.
func TestEndlessHeadFails(t *testing.T) {
	for _, c := range []struct{ name, start, repeated string }{
		{"status line", "HTTP/1.1 200 ", "x"},
		{"header line", "HTTP/1.1 200 OK\r\nId: ", "a"},
		{"many header lines", "HTTP/1.1 200 OK\r\n", "Id: a\r\n"},
		{"informational responses", "", "HTTP/1.1 100 Continue\r\n\r\n"},
		{"no HTTP", "", "\x00\xff"},
	} {
		t.Run(c.name, func(t *testing.T) {
			if err := requireBounded(t, c.start, c.repeated); !errors.Is(err, ErrHeadTooLarge) {
				t.Errorf("got error %.200v, want ErrHeadTooLarge", err)
			}
		})
	}
}

// The bound is for each head alone: neither long heads on one connection nor bodies reach
// it together.
func TestLongHeadsAndBodiesAreRead(t *testing.T) {
	body := strings.Repeat("x", 2*maxHeadBytes)
	head := "HTTP/1.1 200 OK\r\nId: a\r\nLong: " + strings.Repeat("x", maxHeadBytes*9/10) + "\r\n"
	u := serve(t, func(int, int, *http.Request) []byte {
		return fmt.Appendf(nil, "%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
	})
	pool := NewPool(zerolog.Nop())
	for range 3 {
		if got, err := doExchange(t.Context(), pool, u.address(), ""); err != nil || got != body {
			t.Fatalf("got %d bytes and error %v, want the body", len(got), err)
		}
	}
	if got := len(u.accepted); got != 1 {
		t.Errorf("%d connections, want 1", got)
	}
}

// A response to another request is skipped. One whose body does not end must not hold the
// request until its deadline.
func TestEndlessResponseToAnotherRequestFails(t *testing.T) {
	for name, c := range map[string]struct{ start, repeated string }{
		"chunks":    {"HTTP/1.1 200 OK\r\nId: late\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nxxxx\r\n"},
		"length":    {"HTTP/1.1 200 OK\r\nId: late\r\nContent-Length: 99999999999\r\n\r\n", "x"},
		"no length": {"HTTP/1.1 200 OK\r\nId: late\r\n\r\n", "x"},
		"responses": {"", "HTTP/1.1 200 OK\r\nId: late\r\nContent-Length: 1\r\n\r\nx"},
	} {
		t.Run(name, func(t *testing.T) { requireBounded(t, c.start, c.repeated) })
	}
}
