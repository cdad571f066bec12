package gateway

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"

	"github.com/greengagegate/greengagegate/internal/bootclock"
	"github.com/greengagegate/greengagegate/internal/catalog"
	"github.com/rs/zerolog"
)

// Each of the gateway's own answers has its line, and a time to come back exactly
// where the request has certainly not run and may be tried again.
func TestEachRefusalHasItsLine(t *testing.T) {
	all := []*refusal{
		refusedNoConfig, refusedStale, refusedMalformed, refusedStopping, refusedNoRoute, refusedKey, refusedTooLarge,
		refusedMemory, refusedNoUpstream, refusedFull, refusedNotRun, failedUnknown, failedTimeout, failedLate,
		{http.StatusTooManyRequests, "customer-limit", shortRetry},
		{http.StatusServiceUnavailable, "upstreams-busy", shortRetry},
	}
	seen := make(map[string]bool)
	for _, refused := range all {
		if seen[refused.reason] {
			t.Errorf("two refusals have the reason %q", refused.reason)
		}
		seen[refused.reason] = true
		var out bytes.Buffer
		g := New(Options{Catalog: catalog.New(), Log: zerolog.New(&out)})
		w := httptest.NewRecorder()
		j := &job{
			gateway: g, w: w, r: httptest.NewRequest(http.MethodPost, "/x", nil), arrived: bootclock.Now(),
			call: &Call{ID: "r1"},
		}
		j.refuse(refused)
		j.finish()
		var line struct {
			Request, Outcome string
			Status           int
		}
		if err := json.Unmarshal(out.Bytes(), &line); err != nil {
			t.Fatalf("%s: line %q: %v", refused.reason, out.String(), err)
		}
		if line.Request != "r1" || line.Outcome != refused.reason || line.Status != refused.status || w.Code != refused.status {
			t.Errorf("%s: answered %d with the line %s", refused.reason, w.Code, out.String())
		}
		promises := refused.status == http.StatusServiceUnavailable || refused.status == http.StatusTooManyRequests
		wait, err := strconv.ParseFloat(w.Header().Get("Retry-After"), 64)
		if promises != (err == nil && wait > 0) {
			t.Errorf("%s: status %d with Retry-After %q", refused.reason, refused.status, w.Header().Get("Retry-After"))
		}
	}
}
