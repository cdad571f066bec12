package gateway

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/greengagegate/greengagegate/internal/catalog"
)

// Upstreams crash and come back at once at the same addresses under other names,
// while the list still holds their former lives. Each of those is found out once,
// and costs later requests no attempt.
func TestEndedLivesAreAskedOnce(t *testing.T) {
	var misdirected atomic.Int64
	handler := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Life", "d")
		if r.Header.Get("Upstream") != "d" {
			misdirected.Add(1)
			w.WriteHeader(http.StatusMisdirectedRequest)
		}
	}
	route := &catalog.Route{Name: "read", Host: "example.com", Prefix: "/", Kind: catalog.Idempotent, Timeout: 2 * time.Second, Attempts: 2, Open: true}
	g := newTestGateway(t, route, 4, handler)
	for range 20 {
		g.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/x", nil))
	}
	time.Sleep(2 * misdirectedPause)
	for range 5 {
		caller := httptest.NewRecorder()
		g.ServeHTTP(caller, httptest.NewRequest(http.MethodGet, "/x", nil))
		if caller.Code != http.StatusOK {
			t.Errorf("status %d", caller.Code)
		}
	}
	if got := misdirected.Load(); got > 3 {
		t.Errorf("three ended lives were asked %d times", got)
	}
}
