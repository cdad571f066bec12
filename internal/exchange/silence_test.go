package exchange

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/greengagegate/greengagegate/internal/testhost"
	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"
)

// A sound upstream that reads nothing for more than a second must get the whole of a body
// that its buffers do not hold.
func TestLargeBodyReachesUpstreamThatPauses(t *testing.T) {
	listener, err := net.Listen("tcp", testhost.AnyPort())
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	go func() {
		connection, err := listener.Accept()
		if err != nil {
			return
		}
		time.Sleep(unackedTimeout * 3 / 2)
		request, err := http.ReadRequest(bufio.NewReader(connection))
		if err != nil {
			return
		}
		n, _ := io.Copy(io.Discard, request.Body)
		fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 7\r\n\r\n%7d", n)
	}()
	const size = 1 << 20
	got, err := doExchange(t.Context(), NewPool(zerolog.Nop()), listener.Addr().String(), strings.Repeat("x", size))
	if err != nil || strings.TrimSpace(got) != fmt.Sprint(size) {
		t.Errorf("the upstream read %q bytes, error %v, want %d", got, err, size)
	}
}

// A response that tolerates silence must not end when the upstream's host is silent for as
// long as unackedTimeout, and the next request on the connection must.
func TestSilenceIsToleratedForOneResponse(t *testing.T) {
	u := serve(t, func(int, int, *http.Request) []byte { return []byte(validResponse) })
	pool := NewPool(zerolog.Nop())
	for range 2 {
		response, err := pool.Do(t.Context(), u.address(), newRequest(""))
		if err != nil {
			t.Fatal(err)
		}
		if got := userTimeout(t, response.conn); got != unackedTimeout {
			t.Errorf("timeout %v before the response, want %v", got, unackedTimeout)
		}
		response.TolerateSilence()
		if got := userTimeout(t, response.conn); got != silenceTimeout {
			t.Errorf("timeout %v of a response that tolerates silence, want %v", got, silenceTimeout)
		}
		_, _ = io.Copy(io.Discard, response.Body)
		response.MarkBodyRead()
		response.Close()
	}
	if got := len(u.accepted); got != 1 {
		t.Errorf("%d connections, want 1", got)
	}
}

// userTimeout returns the kernel's timeout for unacknowledged data of a connection.
func userTimeout(t *testing.T, c *conn) time.Duration {
	raw, err := c.netConn.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var ms int
	if err := raw.Control(func(fd uintptr) {
		ms, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
	}); err != nil {
		t.Fatal(err)
	}
	return time.Duration(ms) * time.Millisecond
}
