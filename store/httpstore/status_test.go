package httpstore

import (
	"errors"
	"io"
	"net/http"
	"testing"

	"github.com/greengagegate/greengagegate/internal/testhost"
	"github.com/greengagegate/greengagegate/store"
)

// Guards against a refusal, which states that nothing was changed, that is read from an answer with
// an impossible or unsuitable status (MIXED).
func TestRefusalNeedsStatusOfAnError(t *testing.T) {
	for status, want := range map[string]error{
		"000": store.ErrUnknownOutcome, "099": store.ErrUnknownOutcome, "+20": store.ErrUnknownOutcome,
		"302": store.ErrUnknownOutcome, "409": store.ErrConflict,
	} {
		server := testhost.ServeScript(t, func(_, _ int, r *http.Request) []byte {
			_, _ = io.Copy(io.Discard, r.Body)
			return []byte("HTTP/1.1 " + status + " Status\r\nContent-Length: 19\r\n\r\n{\"code\":\"conflict\"}")
		})
		if _, err := New(server.URL()).Put(t.Context(), "things/a", nil, 7); !errors.Is(err, want) || want != store.ErrConflict && errors.Is(err, store.ErrConflict) {
			t.Errorf("status %s: got %v, want %v", status, err, want)
		}
	}
}
