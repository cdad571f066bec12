package service_test

import (
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/greengagegate/greengagegate/internal/service"
)

// A service stops at any byte of its answer, also within the head, and closes the connection: the
// call must not count as answered, and its outcome is unknown.
func TestAnswerThatStopsIsNoAnswer(t *testing.T) {
	for name, answer := range map[string]string{
		"with a length": "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 4\r\n\r\nbody",
		"in chunks":     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			for length := range len(answer) + 1 {
				got, err := callRaw(t, answer[:length])
				switch {
				case length == len(answer) && (err != nil || string(got.Body) != "body"):
					t.Errorf("got %q, %v of the whole answer", got.Body, err)
				case length < len(answer) && !errors.Is(err, service.ErrOutcomeUnknown):
					t.Errorf("got status %d, %q, %v after %d of %d bytes, want ErrOutcomeUnknown", got.Status, got.Body, err, length, len(answer))
				}
			}
		})
	}
}

// callRaw calls a service that sends bytes in place of an answer and closes the connection.
func callRaw(t *testing.T, answer string) (service.Answer, error) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		connection, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		_, _ = io.WriteString(connection, answer)
		_ = connection.(*net.TCPConn).Close()
	}))
	defer server.Close()
	return service.NewHTTP(server.URL).Do(t.Context(), service.Call{RequestID: "a", Method: http.MethodPost, Path: "/x", Body: []byte("text")})
}
