package httpengine

import (
	"errors"
	"net/http"
	"testing"

	"github.com/greengagegate/greengagegate/internal/engine"
	"github.com/greengagegate/greengagegate/internal/testhost"
)

// A copy of an earlier answer must not be taken for the answer to an order, or for that to a call
// that asks something else.
func TestCopyOfAnswerIsNotTheAnswerToAnotherCall(t *testing.T) {
	server := testhost.ServeScript(t, testhost.CopyBeforeNext(func(r *http.Request) []byte {
		switch r.URL.Path {
		case PathOrder:
			return testhost.JSONAnswer(http.StatusConflict, `{"code":"stale_fence"}`)
		case PathLoad:
			return testhost.JSONAnswer(http.StatusOK, `{"incarnation":7}`)
		default:
			return testhost.JSONAnswer(http.StatusOK, `{"blocks":5}`)
		}
	}))
	driver := New(server.URL())
	defer driver.Close()
	for range 5 {
		load, err := driver.Load(t.Context())
		if err != nil || load.Incarnation != 7 {
			t.Errorf("load report %+v (error %v), want incarnation 7", load, err)
		}
		if err := driver.Order(t.Context(), engine.Order{}); !errors.Is(err, engine.ErrStaleFence) {
			t.Errorf("refused order returned error %v, want ErrStaleFence", err)
		}
		if blocks, err := driver.Stored(t.Context(), 1, []uint64{2}); err != nil || blocks != 5 {
			t.Errorf("%d stored blocks (error %v), want 5", blocks, err)
		}
	}
}

// A copy of the answer to an earlier order must not be taken for that to the next one.
func TestCopyOfAnswerIsNotTheAnswerToTheNextOrder(t *testing.T) {
	accepted := true
	server := testhost.ServeScript(t, testhost.CopyBeforeNext(func(*http.Request) []byte {
		if accepted {
			return testhost.JSONAnswer(http.StatusOK, `{}`)
		}
		return testhost.JSONAnswer(http.StatusServiceUnavailable, `{"code":"busy"}`)
	}))
	driver := New(server.URL())
	defer driver.Close()
	if err := driver.Order(t.Context(), engine.Order{}); err != nil {
		t.Fatal(err)
	}
	accepted = false
	if err := driver.Order(t.Context(), engine.Order{}); !errors.Is(err, engine.ErrBusy) {
		t.Errorf("refused order returned error %v, want ErrBusy", err)
	}
}
