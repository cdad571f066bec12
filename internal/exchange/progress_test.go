package exchange

import (
	"bufio"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/greengagegate/greengagegate/internal/testhost"
	"github.com/rs/zerolog"
)

// resetAfter serves one connection: it answers the first request, then reads up to limit bytes of the
// next one, resets the connection after a pause and returns how many bytes it read.
func resetAfter(t *testing.T, listener net.Listener, limit int, pause time.Duration) (received <-chan int) {
	t.Helper()
	result := make(chan int, 1)
	go func() {
		connection, err := listener.Accept()
		if err != nil {
			result <- 0
			return
		}
		reader := bufio.NewReaderSize(connection, 16)
		if request, err := http.ReadRequest(reader); err == nil {
			_, _ = io.Copy(io.Discard, request.Body)
			_, _ = io.WriteString(connection, validResponse)
		}
		_ = connection.SetReadDeadline(time.Now().Add(pause))
		n, _ := io.ReadFull(reader, make([]byte, limit))
		_ = connection.(*net.TCPConn).SetLinger(0)
		_ = connection.Close()
		result <- n
	}()
	return result
}

// NotSent lets a request that may run once be sent again, so no byte may have arrived then, however
// the connection and the caller end.
func TestNothingHasArrivedOfRequestThatWasNotSent(t *testing.T) {
	random := rand.New(rand.NewPCG(54, 1))
	results := make(map[Progress]int)
	for i := range 400 {
		listener, err := net.Listen("tcp", testhost.AnyPort())
		if err != nil {
			t.Fatal(err)
		}
		limit := []int{0, 1, 100, 70_000}[i%4]
		pause := time.Duration(random.IntN(2000)) * time.Microsecond
		received := resetAfter(t, listener, limit, pause)
		pool := NewPool(zerolog.Nop())
		address := listener.Addr().String()
		if _, err := doExchange(t.Context(), pool, address, ""); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Duration(random.IntN(2000)) * time.Microsecond)
		// Without another listener, the request cannot run on a new connection.
		_ = listener.Close()
		ctx, cancel := context.WithTimeout(t.Context(), time.Duration(200+random.IntN(4000))*time.Microsecond)
		body := strings.Repeat("x", []int{0, 3000, 5000, 100_000, 4 << 20}[i%5])
		_, err = doExchange(ctx, pool, address, body)
		cancel()
		var failure *Error
		if !errors.As(err, &failure) {
			t.Fatalf("got error %v, want one of the exchange", err)
		}
		results[failure.Progress]++
		if n := <-received; failure.Progress == NotSent && n > 0 {
			t.Errorf("%d bytes of a request that was not sent arrived: %v", n, err)
		}
		pool.CloseIdle(address)
	}
	if results[NotSent] < 20 || results[MaybeSent] < 20 {
		t.Errorf("%d requests were not sent and %d may have been, want at least 20 each", results[NotSent], results[MaybeSent])
	}
}
