package gateway

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/greengagegate/greengagegate/internal/catalog"
)

// resumableRoute returns a route of streams that may be resumed, whose stall timeout is
// minStallTimeout.
func resumableRoute() *catalog.Route {
	return &catalog.Route{
		Name: "draft", Host: "example.com", Prefix: "/", Kind: catalog.Stream, Timeout: 6 * time.Second,
		LatencyObjective: 500 * time.Millisecond, MaxPause: 50 * time.Millisecond, MaxRuns: 3, Resumable: true, Open: true,
	}
}

func writeEvent(w http.ResponseWriter, id int) {
	fmt.Fprintf(w, "id: %d\ndata: x\n\n", id)
	w.(http.Flusher).Flush()
}

// A stream whose pauses are far longer than their target, but below the stall timeout, is
// sound and must neither be cut nor run again.
func TestSlowStreamIsNotCut(t *testing.T) {
	const events = 4
	handler := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		for id := 1; id <= events; id++ {
			writeEvent(w, id)
			time.Sleep(minStallTimeout * 6 / 10)
		}
	}
	g := newTestGateway(t, resumableRoute(), 2, handler)
	caller := httptest.NewRecorder()
	j := newJob(g, caller, httptest.NewRequest(http.MethodPost, "/draft", nil))
	j.serve()
	if got := strings.Count(caller.Body.String(), "data:"); got != events || len(j.attempts) != 1 {
		t.Errorf("caller got %d events in %s, want %d in one attempt", got, formatAttempts(j.attempts), events)
	}
}

// A stream that sends single bytes of an event but never completes it has stalled. It must
// be resumed at another upstream after the last complete event.
func TestStreamThatOnlySendsBytesIsResumed(t *testing.T) {
	handler := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		if r.Header.Get("Last-Event-Id") == "1" {
			writeEvent(w, 2)
			return
		}
		writeEvent(w, 1)
		for r.Context().Err() == nil {
			fmt.Fprint(w, ":")
			w.(http.Flusher).Flush()
			time.Sleep(50 * time.Millisecond)
		}
	}
	g := newTestGateway(t, resumableRoute(), 2, handler)
	caller := httptest.NewRecorder()
	startedAt := time.Now()
	j := newJob(g, caller, httptest.NewRequest(http.MethodPost, "/draft", nil))
	j.serve()
	if got := caller.Body.String(); got != "id: 1\ndata: x\n\nid: 2\ndata: x\n\n" {
		t.Errorf("caller got %q, want both events", got)
	}
	if took := time.Since(startedAt); took > 2*minStallTimeout {
		t.Errorf("the stalled stream was resumed after %v, want about %v", took, minStallTimeout)
	}
}

// A stream that must not run again and sends single bytes ends with its deadline, and the
// caller sees that it is incomplete.
func TestStalledStreamEndsWithItsDeadline(t *testing.T) {
	route := resumableRoute()
	route.Resumable, route.MaxRuns, route.Timeout = false, 1, time.Second
	handler := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		writeEvent(w, 1)
		for r.Context().Err() == nil {
			fmt.Fprint(w, ":")
			w.(http.Flusher).Flush()
			time.Sleep(50 * time.Millisecond)
		}
	}
	g := newTestGateway(t, route, 1, handler)
	server := httptest.NewServer(g)
	t.Cleanup(server.Close)
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL+"/draft", nil)
	if err != nil {
		t.Fatal(err)
	}
	request.Host = "example.com"
	startedAt := time.Now()
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if _, err := io.ReadAll(response.Body); err == nil {
		t.Error("the stalled stream reached the caller as complete")
	}
	if took := time.Since(startedAt); took > 2*route.Timeout {
		t.Errorf("the stalled stream ended after %v, want about %v", took, route.Timeout)
	}
}
