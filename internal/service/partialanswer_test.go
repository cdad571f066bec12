package service_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/greengagegate/greengagegate/internal/service"
)

// serveRaw serves each connection with answer until the test ends, and returns the base URL.
func serveRaw(t *testing.T, answer func(connection *net.TCPConn)) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
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
			go answer(connection.(*net.TCPConn))
		}
	}()
	return "http://" + listener.Addr().String()
}

// Guards against a part of an answer that is given to the caller as a whole one (MIXED): a service
// answers a long upload at once, without a length, sends a part of its body and resets the
// connection while the upload is still being written. The write may get the error of the reset, and
// the read of the body sees a regular end.
func TestPartOfAnswerToUploadIsNoAnswer(t *testing.T) {
	const (
		calls      = 40
		uploadSize = 8 << 20
		readSize   = 64 << 10
	)
	for _, readsOn := range []bool{false, true} {
		for _, resetAfter := range []time.Duration{0, 5 * time.Millisecond, 50 * time.Millisecond, 300 * time.Millisecond} {
			t.Run(fmt.Sprintf("reads on %v, reset after %v", readsOn, resetAfter), func(t *testing.T) {
				t.Parallel()
				url := serveRaw(t, func(connection *net.TCPConn) {
					_, _ = io.CopyN(io.Discard, connection, readSize)
					_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\n\r\na part of the answer")
					resetAt := time.Now().Add(resetAfter)
					if readsOn {
						// Less than the whole upload is read by then.
						for time.Now().Before(resetAt) {
							_, _ = io.CopyN(io.Discard, connection, 1<<10)
							time.Sleep(time.Millisecond)
						}
					}
					time.Sleep(time.Until(resetAt))
					_ = connection.SetLinger(0)
					_ = connection.Close()
				})
				whole := 0
				for range calls {
					_, err := service.NewHTTP(url).Do(t.Context(), service.Call{RequestID: "a", Method: http.MethodPost, Path: "/x", Body: make([]byte, uploadSize)})
					if !errors.Is(err, service.ErrOutcomeUnknown) {
						whole++
					}
				}
				if whole > 0 {
					t.Errorf("%d of %d parts were taken for whole answers, want none", whole, calls)
				}
			})
		}
	}
}

// An answer without a length that ends with its connection is whole if the call was written
// completely.
func TestAnswerWithoutLengthIsWhole(t *testing.T) {
	for _, size := range []int{0, 5000, 1 << 20} {
		url := serveRaw(t, func(connection *net.TCPConn) {
			defer connection.Close()
			request, err := http.ReadRequest(bufio.NewReader(connection))
			if err != nil {
				t.Error(err)
				return
			}
			_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\n\r\nthe ")
			_, _ = io.Copy(io.Discard, request.Body)
			_, _ = io.WriteString(connection, "answer")
		})
		answer, err := service.NewHTTP(url).Do(t.Context(), service.Call{RequestID: "a", Method: http.MethodPost, Path: "/x", Body: make([]byte, size)})
		if err != nil || string(answer.Body) != "the answer" {
			t.Errorf("got %q, %v to a call of %d bytes", answer.Body, err, size)
		}
	}
}
