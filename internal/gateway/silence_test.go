package gateway

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/greengagegate/greengagegate/internal/retry"
)

// silentStream sends one event, is silent for longer than the stall timeout and then sends
// a second event.
func silentStream(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "text/event-stream")
	writeEvent(w, 1)
	time.Sleep(minStallTimeout * 3 / 2)
	writeEvent(w, 2)
}

// A stream that cannot go on at another upstream must not be ended for a silence: its own
// upstream may complete it.
func TestSilentStreamIsNotCutIfItCannotMove(t *testing.T) {
	silent := func(w http.ResponseWriter, _ *http.Request) { silentStream(w) }
	refusedElsewhere := func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Last-Event-Id") != "" {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		silentStream(w)
	}
	failedElsewhere := func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Last-Event-Id") != "" {
			panic(http.ErrAbortHandler)
		}
		silentStream(w)
	}
	silentElsewhere := func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Last-Event-Id") != "" {
			<-r.Context().Done()
			return
		}
		silentStream(w)
	}
	cases := []struct {
		name      string
		upstreams int
		maxRuns   int
		budget    float64
		handler   http.HandlerFunc
	}{
		{"no other upstream", 1, 3, 100, silent},
		{"runs used up", 2, 1, 100, silent},
		{"retry budget spent", 2, 3, 0, silent},
		{"refused by the other upstream", 2, 3, 100, refusedElsewhere},
		{"failed by the other upstream", 2, 3, 100, failedElsewhere},
		{"other upstream silent too", 2, 3, 100, silentElsewhere},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			route := resumableRoute()
			route.MaxRuns = c.maxRuns
			g := newTestGateway(t, route, c.upstreams, c.handler)
			g.SharedBudget = retry.NewSharedBudget(0, c.budget)
			body, err := postToServer(t, g)
			if err != nil || strings.Count(body, "data:") != 2 {
				t.Errorf("caller got %q and error %v, want both events", body, err)
			}
		})
	}
}

// A stream that went on at another upstream after a silence must not be cut for the next
// silence when no run is left.
func TestSecondSilenceAfterMoveDoesNotCutStream(t *testing.T) {
	handler := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		if r.Header.Get("Last-Event-Id") == "" {
			writeEvent(w, 1)
			<-r.Context().Done()
			return
		}
		writeEvent(w, 2)
		time.Sleep(minStallTimeout * 3 / 2)
		writeEvent(w, 3)
	}
	route := resumableRoute()
	route.MaxRuns = 2
	body, err := postToServer(t, newTestGateway(t, route, 2, handler))
	if err != nil || strings.Count(body, "data:") != 3 {
		t.Errorf("caller got %q and error %v, want three events", body, err)
	}
}

// postToServer sends a request to a server with the gateway as its handler and returns the
// body that the caller gets, and the error with which it ended.
func postToServer(t *testing.T, g *Gateway) (string, error) {
	t.Helper()
	server := httptest.NewServer(g)
	t.Cleanup(server.Close)
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL+"/draft", nil)
	if err != nil {
		t.Fatal(err)
	}
	request.Host = "example.com"
	response, err := server.Client().Do(request)
	if err != nil {
		return "", fmt.Errorf("no response: %w", err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return string(body), err
}
