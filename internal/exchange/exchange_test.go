package exchange

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/greengagegate/greengagegate/internal/testhost"
)

// upstream serves connections by a script: it is called with the number of the
// connection and each request on it, and returns the bytes to answer; nil closes, none reset.
type upstream struct {
	listener net.Listener
	accepted chan net.Conn
}

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
			go answer(connection, n, script)
		}
	}()
	return u
}

func answer(connection net.Conn, n int, script func(connection, request int, r *http.Request) []byte) {
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
		out := script(n, i, request)
		if out == nil {
			return
		}
		if len(out) == 0 {
			_ = connection.(*net.TCPConn).SetLinger(0)
			return
		}
		if _, err := connection.Write(out); err != nil {
			return
		}
	}
}

func (u *upstream) address() string { return u.listener.Addr().String() }

const sound = "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 2\r\n\r\nok"

func request(body string) *Request {
	return &Request{
		Method: http.MethodPost, Target: "/x?y=1", Host: "h", Header: http.Header{"A": {"b"}}, Body: []byte(body),
		Matches: func(h http.Header) bool { return h.Get("Id") == "a" },
	}
}

// exchange makes one whole exchange.
func exchange(ctx context.Context, p *Pool, address, body string) (string, error) {
	response, err := p.Do(ctx, address, request(body))
	if err != nil {
		return "", err
	}
	defer response.Close()
	got, err := io.ReadAll(response.Body)
	if err == nil {
		response.Finished()
	}
	return string(got), err
}

func TestConnectionsAreUsedAgain(t *testing.T) {
	u := serve(t, func(int, int, *http.Request) []byte { return []byte(sound) })
	pool := NewPool()
	for range 5 {
		if got, err := exchange(t.Context(), pool, u.address(), strings.Repeat("x", 20_000)); err != nil || got != "ok" {
			t.Fatalf("got %q, %v", got, err)
		}
	}
	if got := len(u.accepted); got != 1 {
		t.Errorf("%d connections, want 1", got)
	}
}

// What must not be used again after an exchange: the next one gets a connection of its own.
func TestSpoiltConnectionsAreNotUsedAgain(t *testing.T) {
	cases := map[string]string{
		"extra bytes":    sound + "HTTP/1.1 200 OK\r\nId: b\r\nContent-Length: 0\r\n\r\n",
		"asked to close": "HTTP/1.1 200 OK\r\nId: a\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok",
		"stray answer":   "HTTP/1.1 200 OK\r\nId: late\r\nContent-Length: 1\r\n\r\nx" + sound,
	}
	for name, first := range cases {
		u := serve(t, func(connection, _ int, _ *http.Request) []byte {
			if connection == 0 {
				return []byte(first)
			}
			return []byte(sound)
		})
		pool := NewPool()
		for range 3 {
			if got, err := exchange(t.Context(), pool, u.address(), "body"); err != nil || got != "ok" {
				t.Errorf("%s: got %q, %v", name, got, err)
			}
		}
		if got := len(u.accepted); got != 2 {
			t.Errorf("%s: %d connections, want 2", name, got)
		}
	}
}

func TestUnfinishedAnswersCloseTheirConnection(t *testing.T) {
	u := serve(t, func(int, int, *http.Request) []byte { return []byte(sound) })
	pool := NewPool()
	response, err := pool.Do(t.Context(), u.address(), request(""))
	if err != nil {
		t.Fatal(err)
	}
	response.Close()
	response.Close()
	if open, _ := pool.Connections(); open != 0 {
		t.Errorf("%d connections are open", open)
	}
}

func TestErrorsTellHowFarARequestGot(t *testing.T) {
	closed := testhost.Free(t)
	pool := NewPool()
	_, err := exchange(t.Context(), pool, closed, "")
	var failure *Error
	if !errors.As(err, &failure) || failure.Progress != NotSent {
		t.Errorf("refused connection: %v", err)
	}
	for name, out := range map[string]string{
		"closed":    "",
		"no answer": "garbage\r\n\r\n",
		"half head": "HTTP/1.1 200 OK\r\nId:",
	} {
		u := serve(t, func(_, i int, _ *http.Request) []byte {
			if out == "" || i > 0 {
				return nil
			}
			return []byte(out + "\x00")
		})
		ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
		_, err := exchange(ctx, pool, u.address(), "")
		cancel()
		if !errors.As(err, &failure) || failure.Progress != MaybeSent {
			t.Errorf("%s: %v", name, err)
		}
	}
}

func TestLeavingEndsTheExchange(t *testing.T) {
	gone := make(chan struct{})
	u := serve(t, func(int, int, *http.Request) []byte {
		return []byte("HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 9\r\n\r\npart")
	})
	ctx, cancel := context.WithCancel(t.Context())
	response, err := NewPool().Do(ctx, u.address(), request(""))
	if err != nil {
		t.Fatal(err)
	}
	defer response.Close()
	go func() {
		defer close(gone)
		connection := <-u.accepted
		_, _ = connection.Read(make([]byte, 1))
	}()
	cancel()
	if _, err := io.ReadAll(response.Body); err == nil {
		t.Error("the body was read to its end")
	}
	<-gone
}

// An answer that comes before a long body was read does not let the rest of the
// body meet another request.
func TestEarlyAnswerEndsTheConnection(t *testing.T) {
	listener, err := net.Listen("tcp", testhost.AnyPort())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	second := make(chan []byte, 1)
	go func() {
		connection, err := listener.Accept()
		if err != nil {
			return
		}
		reader := bufio.NewReader(connection)
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		_, _ = connection.Write([]byte(sound))
		rest, _ := io.ReadAll(reader)
		second <- rest
	}()
	body := strings.Repeat("x", 8<<20)
	if got, err := exchange(t.Context(), NewPool(), listener.Addr().String(), body); err != nil || got != "ok" {
		t.Fatalf("got %q, %v", got, err)
	}
	if rest := <-second; len(rest) >= len(body) || strings.Trim(string(rest), "x") != "" {
		t.Errorf("%d bytes followed, want a part of the body alone", len(rest))
	}
}

func TestBodiesWithoutLengthEndWithTheirConnection(t *testing.T) {
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
	if got, err := exchange(t.Context(), NewPool(), u.address(), ""); err != nil || got != "ok" {
		t.Errorf("got %q, %v", got, err)
	}
}

// rest makes the idle connections to an address look as if they had rested.
func rest(pool *Pool, address string, rested time.Duration) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	for _, c := range pool.idle[address] {
		c.since = c.since.Add(-rested)
		c.expires = time.Now().Add(time.Hour)
	}
}

// Upstreams forget connections that rest, without notice: what comes next on one is
// reset. A request that may not be repeated gets a new connection, since nobody
// could tell whether it ran; others may use one that rested, until two upstreams
// are found to forget theirs.
func TestRequestsThatRunOnceAvoidRestedConnections(t *testing.T) {
	script := func(_, request int, _ *http.Request) []byte {
		if request > 0 {
			return []byte{}
		}
		return []byte(sound)
	}
	u, v := serve(t, script), serve(t, script)
	pool := NewPool()
	send := func(u *upstream, atMostOnce bool) error {
		r := request("body")
		r.AtMostOnce = atMostOnce
		response, err := pool.Do(t.Context(), u.address(), r)
		if err != nil {
			return err
		}
		defer response.Close()
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return err
		}
		response.Finished()
		return nil
	}
	if err := send(u, true); err != nil {
		t.Fatal(err)
	}
	rest(pool, u.address(), 2*maxRestOnce)
	if err := send(u, true); err != nil {
		t.Errorf("a request that runs once met a connection that was forgotten: %v", err)
	}
	rest(pool, u.address(), 2*maxRestOnce)
	var failure *Error
	if err := send(u, false); !errors.As(err, &failure) || !failure.Reused {
		t.Errorf("a repeatable request got %v, want a failure on a connection that was used before", err)
	}
	if err := send(v, false); err != nil {
		t.Fatal(err)
	}
	rest(pool, v.address(), 2*maxRestOnce)
	if err := send(v, false); !errors.As(err, &failure) || !failure.Reused {
		t.Errorf("after one upstream forgot a connection, one to another is not used: %v", err)
	}
	for range 3 {
		if err := send(u, false); err != nil {
			t.Errorf("a connection that rested was used again after one was found forgotten: %v", err)
		}
		rest(pool, u.address(), 2*maxRestOnce)
	}
}
