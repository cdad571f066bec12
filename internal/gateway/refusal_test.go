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

// Each refusal must be logged with its reason and status, and reasons must be unique. The
// response must have a Retry-After header exactly if the request has certainly not run
// and may be retried. If a caller retried any other refusal, the request could run twice
// or be refused again.
func TestRefusalsAreLoggedAndSetRetryAfter(t *testing.T) {
	refusals := []*refusal{
		refusedNoConfig, refusedStale, refusedMalformed, refusedStopping, refusedNoRoute, refusedUnknownKey, refusedTooLarge,
		refusedMemory, refusedNoUpstream, refusedAfterAttempts, refusedCallerLeft, failedAnswerLost, failedTimeout, refusedTimeout,
		{http.StatusTooManyRequests, "customer-limit", transientRetryAfter},
		{http.StatusServiceUnavailable, "upstreams-busy", transientRetryAfter},
		{http.StatusServiceUnavailable, "quarantined", transientRetryAfter},
		{http.StatusServiceUnavailable, "on-trial", transientRetryAfter},
		limitRefusal(0),
	}
	seen := make(map[string]bool)
	for _, refused := range refusals {
		if seen[refused.reason] {
			t.Errorf("two refusals have the reason %q", refused.reason)
		}
		seen[refused.reason] = true
		var out bytes.Buffer
		g := New(Options{Catalog: catalog.New(), Log: zerolog.New(&out)})
		w := httptest.NewRecorder()
		j := &job{
			gateway: g, w: w, r: httptest.NewRequest(http.MethodPost, "/x", nil), arrivedAt: bootclock.Now(),
			call: &Call{ID: "r1"},
		}
		j.writeRefusal(refused)
		j.finish()
		var line struct {
			Request, Outcome string
			Status           int
		}
		if err := json.Unmarshal(out.Bytes(), &line); err != nil {
			t.Fatalf("%s: decode log line %q: %v", refused.reason, out.String(), err)
		}
		if line.Request != "r1" || line.Outcome != refused.reason || line.Status != refused.status || w.Code != refused.status {
			t.Errorf("%s: got status %d and log line %s", refused.reason, w.Code, out.String())
		}
		wantRetryAfter := refused.status == http.StatusServiceUnavailable || refused.status == http.StatusTooManyRequests
		retryAfter, err := strconv.ParseFloat(w.Header().Get("Retry-After"), 64)
		if wantRetryAfter != (err == nil && retryAfter > 0) {
			t.Errorf("%s: status %d with Retry-After %q", refused.reason, refused.status, w.Header().Get("Retry-After"))
		}
	}
}
