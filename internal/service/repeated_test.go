package service_test

import (
	"errors"
	"net/http"
	"testing"

	"github.com/greengagegate/greengagegate/internal/service"
	"github.com/greengagegate/greengagegate/internal/testhost"
)

// net/http repeats a request without a body or with an idempotency key when a kept connection is
// closed; a call must not be repeated, whatever headers its caller has set.
func TestCallIsNotRepeatedWhenItsConnectionIsClosed(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost, http.MethodDelete} {
		server := testhost.ServeScript(t, func(_, _ int, r *http.Request) []byte {
			if r.URL.Path == "/first" {
				return testhost.JSONAnswer(http.StatusOK, `{}`)
			}
			return nil
		})
		driver := service.NewHTTP(server.URL())
		call := service.Call{RequestID: "a", Method: method, Path: "/first", Header: http.Header{"Idempotency-Key": {"k"}}}
		if _, err := driver.Do(t.Context(), call); err != nil {
			t.Fatal(err)
		}
		call.Path = "/second"
		if _, err := driver.Do(t.Context(), call); !errors.Is(err, service.ErrOutcomeUnknown) {
			t.Errorf("%s: error %v, want ErrOutcomeUnknown", method, err)
		}
		if got := server.Requests(); got != 2 {
			t.Errorf("%s: the service has read %d requests, want 2", method, got)
		}
	}
}
