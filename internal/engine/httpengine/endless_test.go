package httpengine

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/greengagegate/greengagegate/internal/engine"
)

const (
	// endlessBytes is what a server sends of an answer that it never ends.
	endlessBytes = 64 << 20
	// maxEndlessBytes is what may be taken of it, with the buffers of the connection.
	maxEndlessBytes = 16 << 20
)

// newEndlessDriver returns a driver for an engine that starts each answer with head and then sends
// bytes without an end, and the number of bytes that it could send.
func newEndlessDriver(t *testing.T, head string) (*Driver, *atomic.Int64) {
	t.Helper()
	var sent atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		chunk := bytes.Repeat([]byte("x"), 64<<10)
		_, err := w.Write([]byte(head))
		for err == nil && sent.Load() < endlessBytes {
			var n int
			n, err = w.Write(chunk)
			sent.Add(int64(n))
		}
	}))
	t.Cleanup(server.Close)
	driver := New(server.URL)
	t.Cleanup(driver.Close)
	return driver, &sent
}

// An engine that sends a line, or an answer, without an end must not fill the agent's memory.
func TestEndlessAnswerOfEngineIsGivenUp(t *testing.T) {
	for name, call := range map[string]func(*Driver) error{
		"line of a run": func(d *Driver) error {
			run, err := d.Run(t.Context(), engine.RunRequest{RequestID: "r", Prompt: []byte("text")})
			if err != nil {
				return err
			}
			defer func() { _ = run.Close() }()
			_, err = run.Next()
			return err
		},
		"answer to a call": func(d *Driver) error {
			_, err := d.Load(t.Context())
			return err
		},
	} {
		t.Run(name, func(t *testing.T) {
			driver, sent := newEndlessDriver(t, `{"state":"`)
			if err := call(driver); err == nil {
				t.Error("an answer without an end was taken for one")
			}
			if got := sent.Load(); got > maxEndlessBytes {
				t.Errorf("%d bytes were taken, want at most %d", got, maxEndlessBytes)
			}
		})
	}
}
