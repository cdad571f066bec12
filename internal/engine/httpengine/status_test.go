package httpengine

import (
	"errors"
	"testing"

	"github.com/greengagegate/greengagegate/internal/engine"
)

// Guards against a refusal, which states that nothing was run, that is read from an answer with an
// impossible or unsuitable status (MIXED).
func TestRefusalNeedsStatusOfAnError(t *testing.T) {
	for status, want := range map[string]error{
		"000": engine.ErrIncompleteAnswer, "099": engine.ErrIncompleteAnswer, "+20": engine.ErrIncompleteAnswer,
		"204": engine.ErrIncompleteAnswer, "302": engine.ErrIncompleteAnswer,
		"429": engine.ErrBusy, "503": engine.ErrBusy,
	} {
		driver := newRawDriver(t, "HTTP/1.1 "+status+" Status\r\nContent-Length: 15\r\n\r\n{\"code\":\"busy\"}")
		if err := runRaw(t, driver); !errors.Is(err, want) || want != engine.ErrBusy && errors.Is(err, engine.ErrBusy) {
			t.Errorf("status %s: got %v, want %v", status, err, want)
		}
	}
}
