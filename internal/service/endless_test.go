package service_test

import (
	"bufio"
	"bytes"
	"errors"
	"net"
	"sync/atomic"
	"testing"

	"github.com/greengagegate/greengagegate/internal/service"
)

// A service that sends a header without an end must not fill the agent's memory.
func TestEndlessHeadIsGivenUp(t *testing.T) {
	const endlessBytes, maxTakenBytes = 64 << 20, 4 << 20
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	var sent atomic.Int64
	done := make(chan struct{})
	go func() {
		defer close(done)
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		_, _ = bufio.NewReader(conn).ReadString('\n')
		chunk := bytes.Repeat([]byte("x"), 64<<10)
		_, err = conn.Write([]byte("HTTP/1.1 200 OK\r\nX-Long: "))
		for err == nil && sent.Load() < endlessBytes {
			var n int
			n, err = conn.Write(chunk)
			sent.Add(int64(n))
		}
	}()
	_, err = service.NewHTTP("http://"+listener.Addr().String()).Do(t.Context(), service.Call{RequestID: "r", Method: "GET", Path: "/"})
	if !errors.Is(err, service.ErrOutcomeUnknown) {
		t.Errorf("error %v, want ErrOutcomeUnknown", err)
	}
	<-done
	if got := sent.Load(); got > maxTakenBytes {
		t.Errorf("%d bytes were taken, want at most %d", got, maxTakenBytes)
	}
}
