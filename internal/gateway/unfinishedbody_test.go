package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/greengagegate/greengagegate/internal/intake"
)

// Load pattern: bodies that stop one byte short of their end fill the memory for bodies. A request
// whose body is whole must still find room beside them, at once.
func TestWholeBodyFindsRoomBesideUnfinishedOnes(t *testing.T) {
	const (
		unfinished = 8
		bodyBytes  = 1 << 20
		wholeBytes = 200_000
	)
	g := newUploadGateway(t, bodyBytes, func(_ http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) })
	g.Bounds.MaxBufferedBytes = unfinished * bodyBytes
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: g}
	limits := intake.Limits{Connections: 100, HeadBytes: 1 << 20, BodyBytes: g.Bounds.MaxBufferedBytes / 2}
	go func() { _ = intake.New(intake.Options{Limits: limits}).Serve(server, listener) }()
	defer func() { _ = server.Close() }()
	send := func(length, sent int) net.Conn {
		connection, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = connection.Close() })
		head := fmt.Sprintf("POST /draft HTTP/1.1\r\nHost: example.com\r\nContent-Length: %d\r\n\r\n", length)
		if _, err := io.WriteString(connection, head+strings.Repeat("x", sent)); err != nil {
			t.Fatal(err)
		}
		return connection
	}
	for range unfinished {
		send(bodyBytes, bodyBytes-1)
	}
	for deadline := time.Now().Add(bodyTimeout / 2); g.Buffered() < unfinished/2*bodyBytes && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	// The connections that are closed need a moment to release their memory.
	time.Sleep(200 * time.Millisecond)
	response, err := http.ReadResponse(bufio.NewReader(send(wholeBytes, wholeBytes)), nil)
	if err != nil {
		t.Fatal(err)
	}
	if response.StatusCode != http.StatusOK {
		t.Errorf("status %d of a whole body beside unfinished ones, want 200", response.StatusCode)
	}
}
