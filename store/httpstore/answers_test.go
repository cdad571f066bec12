package httpstore

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/greengagegate/greengagegate/internal/testhost"
	"github.com/greengagegate/greengagegate/store"
)

// A copy of a refusal must not be taken for the answer to the next write.
func TestCopyOfRefusalIsNotTheAnswerToTheNextWrite(t *testing.T) {
	for _, code := range []string{CodeUnavailable, CodeConflict, CodeNotFound} {
		var writes atomic.Int64
		server := testhost.ServeScript(t, testhost.CopyBeforeNext(func(*http.Request) []byte {
			if writes.Add(1) == 1 {
				return testhost.JSONAnswer(http.StatusServiceUnavailable, fmt.Sprintf(`{"code":%q}`, code))
			}
			return testhost.JSONAnswer(http.StatusOK, `{"version":9}`)
		}))
		client := New(server.URL())
		if _, err := client.Put(t.Context(), "things/a", nil, 7); err == nil {
			t.Fatalf("%s: the first write was not refused", code)
		}
		version, err := client.Put(t.Context(), "things/a", nil, 7)
		if (err != nil || version != 9) && !errors.Is(err, store.ErrUnknownOutcome) {
			t.Errorf("%s: the write that the store has carried out returned version %d, error %v", code, version, err)
		}
	}
}

// A copy of an earlier answer must not be taken for another object or list.
func TestCopyOfAnswerIsNotTheAnswerToAnotherRead(t *testing.T) {
	server := testhost.ServeScript(t, testhost.CopyBeforeNext(func(r *http.Request) []byte {
		if r.URL.Path == PathList {
			return testhost.JSONAnswer(http.StatusOK, fmt.Sprintf(`{"objects":[{"key":%q}],"version":3}`, r.URL.Query().Get(ParamPrefix)+"x"))
		}
		return testhost.JSONAnswer(http.StatusOK, fmt.Sprintf(`{"key":%q,"version":2}`, strings.TrimPrefix(r.URL.Path, PathObjects)))
	}))
	client := New(server.URL())
	for range 5 {
		for _, kind := range []string{"things/", "others/"} {
			object, err := client.Get(t.Context(), kind+"a")
			if err != nil || object.Key != kind+"a" {
				t.Fatalf("got object %q (error %v), want %q", object.Key, err, kind+"a")
			}
			objects, _, err := client.List(t.Context(), kind)
			if err != nil || len(objects) != 1 || objects[0].Key != kind+"x" {
				t.Fatalf("list of %s: %+v (error %v)", kind, objects, err)
			}
		}
	}
}
