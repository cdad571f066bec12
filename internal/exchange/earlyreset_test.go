package exchange

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/greengagegate/greengagegate/internal/testhost"
	"github.com/rs/zerolog"
)

// An upstream may answer before it has read a large body, without a length, and then reset
// the connection. The goroutine that writes the body may take the error of the reset, so that
// a read sees the regular end of the connection. The response must not look complete.
func TestEarlyResponseThatIsResetIsIncomplete(t *testing.T) {
	const largeBody = 8 << 20
	for range 20 {
		listener, err := net.Listen("tcp", testhost.AnyPort())
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = io.ReadFull(connection, make([]byte, 1000))
			fmt.Fprint(connection, "HTTP/1.1 200 OK\r\nId: a\r\n\r\npart")
			time.Sleep(20 * time.Millisecond)
			_ = connection.(*net.TCPConn).SetLinger(0)
			_ = connection.Close()
		}()
		response, err := NewPool(zerolog.Nop()).Do(t.Context(), listener.Addr().String(), newRequest(strings.Repeat("x", largeBody)))
		_ = listener.Close()
		if err != nil {
			continue
		}
		if got, err := io.ReadAll(response.Body); err == nil {
			t.Errorf("got %q without an error", got)
		}
		response.Close()
	}
}
