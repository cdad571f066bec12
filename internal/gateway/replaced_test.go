package gateway

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/greengagegate/greengagegate/internal/catalog"
)

// Upstreams restart at the same addresses under new IDs, while the catalog still lists
// the replaced incarnations. Here upstream d answers at all four addresses, so a, b and c
// are replaced. Each replaced incarnation may cost one attempt. If the gateway did not
// remember that an incarnation is replaced, later requests would waste attempts on it.
func TestReplacedUpstreamsAreTriedOnce(t *testing.T) {
	var misdirectedAttempts atomic.Int64
	handler := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Life", "d")
		if r.Header.Get("Upstream") != "d" {
			misdirectedAttempts.Add(1)
			w.WriteHeader(http.StatusMisdirectedRequest)
		}
	}
	route := &catalog.Route{Name: "read", Host: "example.com", Prefix: "/", Kind: catalog.Idempotent, Timeout: 2 * time.Second, MaxRuns: 2, Open: true}
	g := newTestGateway(t, route, 4, handler)
	for range 20 {
		g.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/x", nil))
	}
	time.Sleep(2 * misdirectedPause)
	for range 5 {
		caller := httptest.NewRecorder()
		g.ServeHTTP(caller, httptest.NewRequest(http.MethodGet, "/x", nil))
		if caller.Code != http.StatusOK {
			t.Errorf("caller got status %d, want 200", caller.Code)
		}
	}
	if got := misdirectedAttempts.Load(); got > 3 {
		t.Errorf("three replaced incarnations got %d attempts, want at most 3", got)
	}
}
