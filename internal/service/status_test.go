package service_test

import (
	"errors"
	"fmt"
	"net/http"
	"testing"

	"github.com/greengagegate/greengagegate/internal/service"
)

// Guards against an answer with an impossible status that is given to the caller (MIXED): it is not
// known what such a service has done.
func TestAnswerWithImpossibleStatusIsNoAnswer(t *testing.T) {
	for _, status := range []string{"000", "001", "020", "099", "+20", "-20", "2x0", "99", "1000", "101"} {
		t.Run(status, func(t *testing.T) {
			answer, err := callRaw(t, "HTTP/1.1 "+status+" Status\r\nContent-Length: 4\r\n\r\nbody")
			if !errors.Is(err, service.ErrOutcomeUnknown) {
				t.Errorf("got status %d, %q, %v, want ErrOutcomeUnknown", answer.Status, answer.Body, err)
			}
		})
	}
	for _, status := range []int{http.StatusOK, http.StatusFound, http.StatusConflict, http.StatusInternalServerError, 600, 999} {
		answer, err := callRaw(t, fmt.Sprintf("HTTP/1.1 %d Status\r\nContent-Length: 4\r\n\r\nbody", status))
		if err != nil || answer.Status != status || string(answer.Body) != "body" {
			t.Errorf("got status %d, %q, %v, want status %d", answer.Status, answer.Body, err, status)
		}
	}
}
