package exchange

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/greengagegate/greengagegate/internal/testhost"
	"github.com/rs/zerolog"
)

// upstream is a scripted server. For each request the script receives the index of the
// connection, the index of the request on it and the request, and returns the bytes of the
// response. nil closes the connection; an empty slice resets it.
type upstream struct {
	listener net.Listener
	accepted chan net.Conn
}

// serve starts an upstream that the test's cleanup closes.
func serve(t *testing.T, script func(connection, request int, r *http.Request) []byte) *upstream {
	listener, err := net.Listen("tcp", testhost.AnyPort())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	u := &upstream{listener: listener, accepted: make(chan net.Conn, 16)}
	go func() {
		for n := 0; ; n++ {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			u.accepted <- connection
			go serveConnection(connection, n, script)
		}
	}()
	return u
}

func serveConnection(connection net.Conn, n int, script func(connection, request int, r *http.Request) []byte) {
	defer func() { _ = connection.Close() }()
	reader := bufio.NewReader(connection)
	for i := 0; ; i++ {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		response := script(n, i, request)
		if response == nil {
			return
		}
		if len(response) == 0 {
			_ = connection.(*net.TCPConn).SetLinger(0)
			return
		}
		if _, err := connection.Write(response); err != nil {
			return
		}
	}
}

func (u *upstream) address() string { return u.listener.Addr().String() }

const validResponse = "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 2\r\n\r\nok"

// requestCount numbers the requests of newRequest.
var requestCount atomic.Int64

// newRequest returns a request with an ID of its own. Upstreams call each request "a" in their
// responses.
func newRequest(body string) *Request {
	id := fmt.Sprint("request-", requestCount.Add(1))
	return &Request{
		Method: http.MethodPost, Target: "/x?y=1", Host: "h", Header: http.Header{"A": {"b"}}, Body: [][]byte{[]byte(body)},
		ID: id, ResponseID: func(h http.Header) string {
			if received := h.Get("Id"); received != "a" {
				return received
			}
			return id
		},
	}
}

// doExchange sends a request and returns the whole body of its response.
func doExchange(ctx context.Context, p *Pool, address, body string) (string, error) {
	response, err := p.Do(ctx, address, newRequest(body))
	if err != nil {
		return "", err
	}
	defer response.Close()
	got, err := io.ReadAll(response.Body)
	if err == nil {
		response.MarkBodyRead()
	}
	return string(got), err
}

func TestConnectionsAreReused(t *testing.T) {
	u := serve(t, func(int, int, *http.Request) []byte { return []byte(validResponse) })
	pool := NewPool(zerolog.Nop())
	for range 5 {
		if got, err := doExchange(t.Context(), pool, u.address(), strings.Repeat("x", 20_000)); err != nil || got != "ok" {
			t.Fatalf("got %q, %v", got, err)
		}
	}
	if got := len(u.accepted); got != 1 {
		t.Errorf("%d connections, want 1", got)
	}
}

// A connection must not be reused after extra bytes, a request to close it or a response
// to another request: the next request would read the wrong response or fail. It must get
// a new connection.
func TestUnusableConnectionsAreNotReused(t *testing.T) {
	cases := map[string]string{
		"extra bytes":                 validResponse + "HTTP/1.1 200 OK\r\nId: b\r\nContent-Length: 0\r\n\r\n",
		"Connection: close":           "HTTP/1.1 200 OK\r\nId: a\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok",
		"response to another request": "HTTP/1.1 200 OK\r\nId: late\r\nContent-Length: 1\r\n\r\nx" + validResponse,
	}
	for name, firstResponse := range cases {
		u := serve(t, func(connection, _ int, _ *http.Request) []byte {
			if connection == 0 {
				return []byte(firstResponse)
			}
			return []byte(validResponse)
		})
		pool := NewPool(zerolog.Nop())
		for range 3 {
			if got, err := doExchange(t.Context(), pool, u.address(), "body"); err != nil || got != "ok" {
				t.Errorf("%s: got %q, %v", name, got, err)
			}
		}
		if got := len(u.accepted); got != 2 {
			t.Errorf("%s: %d connections, want 2", name, got)
		}
	}
}

// The test guards against a connection that stays open after its response was closed
// unread, and against a second Close that decrements the number of open connections
// again.
func TestUnreadResponseClosesConnection(t *testing.T) {
	u := serve(t, func(int, int, *http.Request) []byte { return []byte(validResponse) })
	pool := NewPool(zerolog.Nop())
	response, err := pool.Do(t.Context(), u.address(), newRequest(""))
	if err != nil {
		t.Fatal(err)
	}
	response.Close()
	response.Close()
	if open, _ := pool.Connections(); open != 0 {
		t.Errorf("%d open connections after Close, want 0", open)
	}
}

// A retry is safe only if nothing was sent. A refused connection must report NotSent, and a
// request without a valid response must report MaybeSent.
func TestErrorReportsProgress(t *testing.T) {
	freeAddress := testhost.Free(t)
	pool := NewPool(zerolog.Nop())
	_, err := doExchange(t.Context(), pool, freeAddress, "")
	var failure *Error
	if !errors.As(err, &failure) || failure.Progress != NotSent {
		t.Errorf("refused connection: %v", err)
	}
	for name, response := range map[string]string{
		"closed":             "",
		"malformed response": "garbage\r\n\r\n",
		"incomplete head":    "HTTP/1.1 200 OK\r\nId:",
	} {
		u := serve(t, func(_, i int, _ *http.Request) []byte {
			if response == "" || i > 0 {
				return nil
			}
			return []byte(response + "\x00")
		})
		ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
		_, err := doExchange(ctx, pool, u.address(), "")
		cancel()
		if !errors.As(err, &failure) || failure.Progress != MaybeSent {
			t.Errorf("%s: %v", name, err)
		}
	}
}

func TestCanceledContextClosesConnection(t *testing.T) {
	connectionEnded := make(chan struct{})
	u := serve(t, func(int, int, *http.Request) []byte {
		return []byte("HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 9\r\n\r\npart")
	})
	ctx, cancel := context.WithCancel(t.Context())
	response, err := NewPool(zerolog.Nop()).Do(ctx, u.address(), newRequest(""))
	if err != nil {
		t.Fatal(err)
	}
	defer response.Close()
	go func() {
		defer close(connectionEnded)
		connection := <-u.accepted
		_, _ = connection.Read(make([]byte, 1))
	}()
	cancel()
	if _, err := io.ReadAll(response.Body); err == nil {
		t.Error("reading the body succeeded although the context was canceled")
	}
	<-connectionEnded
}

// serveEarlyResponse serves one request: it responds when it has read the head, reads the
// body only once readBody is closed, and returns what it read.
func serveEarlyResponse(t *testing.T, readBody <-chan struct{}) (address string, received <-chan []byte) {
	listener, err := net.Listen("tcp", testhost.AnyPort())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	result := make(chan []byte, 1)
	go func() {
		connection, err := listener.Accept()
		if err != nil {
			return
		}
		reader := bufio.NewReader(connection)
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		_, _ = connection.Write([]byte(validResponse))
		<-readBody
		remaining, _ := io.ReadAll(reader)
		result <- remaining
	}()
	return listener.Addr().String(), result
}

// An upstream may respond before it has read the whole body. The rest of the body must not
// be written then, and the connection must not be used again, because the upstream would
// take the next request for the rest of the body.
func TestEarlyResponseClosesConnection(t *testing.T) {
	exchanged := make(chan struct{})
	address, received := serveEarlyResponse(t, exchanged)
	body := strings.Repeat("x", 8<<20)
	pool := NewPool(zerolog.Nop())
	got, err := doExchange(t.Context(), pool, address, body)
	close(exchanged)
	if err != nil || got != "ok" {
		t.Fatalf("got %q, %v", got, err)
	}
	if open, _ := pool.Connections(); open != 0 {
		t.Errorf("%d connections remain open, want none", open)
	}
	if remaining := <-received; len(remaining) >= len(body) || strings.Trim(string(remaining), "x") != "" {
		t.Errorf("%d bytes followed the response, want only a part of the body", len(remaining))
	}
}

// An upstream that responds early and reads on may get the whole body before the response
// is handled. In either case it gets nothing but bytes of the body.
func TestEarlyResponseIsFollowedByBodyOnly(t *testing.T) {
	readNow := make(chan struct{})
	close(readNow)
	address, received := serveEarlyResponse(t, readNow)
	body := strings.Repeat("x", 8<<20)
	pool := NewPool(zerolog.Nop())
	if got, err := doExchange(t.Context(), pool, address, body); err != nil || got != "ok" {
		t.Fatalf("got %q, %v", got, err)
	}
	pool.CloseIdle(address)
	if remaining := <-received; len(remaining) > len(body) || strings.Trim(string(remaining), "x") != "" {
		t.Errorf("%d bytes followed the response, want at most the body", len(remaining))
	}
}

func TestUndelimitedBodyEndsWithConnection(t *testing.T) {
	u := serve(t, func(connection, i int, _ *http.Request) []byte {
		if i > 0 {
			return nil
		}
		return []byte("HTTP/1.1 200 OK\r\nId: a\r\nConnection: close\r\n\r\nok")
	})
	go func() {
		connection := <-u.accepted
		time.Sleep(50 * time.Millisecond)
		_ = connection.(*net.TCPConn).CloseWrite()
	}()
	if got, err := doExchange(t.Context(), NewPool(zerolog.Nop()), u.address(), ""); err != nil || got != "ok" {
		t.Errorf("got %q, %v", got, err)
	}
}

// backdateIdle makes the idle connections to an address appear idle for idleTime longer.
func backdateIdle(pool *Pool, address string, idleTime time.Duration) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	for _, c := range pool.idle[address] {
		c.idleSince = c.idleSince.Add(-idleTime)
		c.expires = time.Now().Add(time.Hour)
	}
}

// An upstream may drop an idle connection without closing it and reset it on the next
// request. A request that must not be repeated gets a new connection, since it would be
// unknown whether it ran. Other requests may use an idle connection until two upstreams
// were found to drop theirs.
func TestAtMostOnceRequestsAvoidIdleConnections(t *testing.T) {
	script := func(_, request int, _ *http.Request) []byte {
		if request > 0 {
			return []byte{}
		}
		return []byte(validResponse)
	}
	u, v := serve(t, script), serve(t, script)
	pool := NewPool(zerolog.Nop())
	send := func(u *upstream, atMostOnce bool) error {
		r := newRequest("body")
		r.AtMostOnce = atMostOnce
		response, err := pool.Do(t.Context(), u.address(), r)
		if err != nil {
			return err
		}
		defer response.Close()
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return err
		}
		response.MarkBodyRead()
		return nil
	}
	if err := send(u, true); err != nil {
		t.Fatal(err)
	}
	backdateIdle(pool, u.address(), 2*atMostOnceIdleLimit)
	if err := send(u, true); err != nil {
		t.Errorf("an at-most-once request was sent on a dropped connection: %v", err)
	}
	backdateIdle(pool, u.address(), 2*atMostOnceIdleLimit)
	var failure *Error
	if err := send(u, false); !errors.As(err, &failure) || !failure.Reused {
		t.Errorf("a repeatable request got %v, want a failure on a reused connection", err)
	}
	if err := send(v, false); err != nil {
		t.Fatal(err)
	}
	backdateIdle(pool, v.address(), 2*atMostOnceIdleLimit)
	if err := send(v, false); !errors.As(err, &failure) || !failure.Reused {
		t.Errorf("after one upstream dropped a connection, a request to another got %v, want a failure on a reused connection", err)
	}
	for range 3 {
		if err := send(u, false); err != nil {
			t.Errorf("an idle connection was reused after two upstreams had dropped theirs: %v", err)
		}
		backdateIdle(pool, u.address(), 2*atMostOnceIdleLimit)
	}
}
