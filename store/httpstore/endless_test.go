package httpstore

import (
	"bytes"
	"errors"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/greengagegate/greengagegate/store"
)

const (
	// endlessBytes is what the service sends of an answer that it never ends.
	endlessBytes = 256 << 20
	// maxEndlessBytes is what may be taken of it, with the buffers of the connection.
	maxEndlessBytes = 96 << 20
)

// A service that sends an answer without an end must not fill the memory of its clients. The outcome
// of a change is unknown then.
func TestEndlessAnswerOfStoreIsGivenUp(t *testing.T) {
	var sent atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		chunk := bytes.Repeat([]byte("x"), 64<<10)
		_, err := w.Write([]byte(`{"key":"`))
		for err == nil && sent.Load() < endlessBytes {
			var n int
			n, err = w.Write(chunk)
			sent.Add(int64(n))
		}
	}))
	defer server.Close()
	client := New(server.URL)
	defer client.Close()
	for name, call := range map[string]struct {
		run  func() error
		want error
	}{
		"get":  {func() error { _, err := client.Get(t.Context(), "a/b"); return err }, store.ErrUnavailable},
		"list": {func() error { _, _, err := client.List(t.Context(), "a/"); return err }, store.ErrUnavailable},
		"put":  {func() error { _, err := client.Put(t.Context(), "a/b", nil, 1); return err }, store.ErrUnknownOutcome},
	} {
		sent.Store(0)
		if err := call.run(); !errors.Is(err, call.want) {
			t.Errorf("%s: error %v, want %v", name, err, call.want)
		}
		if got := sent.Load(); got > maxEndlessBytes {
			t.Errorf("%s: %d bytes were taken, want at most %d", name, got, maxEndlessBytes)
		}
	}
}
