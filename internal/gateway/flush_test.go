package gateway

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// A complete event must reach the caller although the first bytes of the next event have
// arrived with it.
func TestEventIsNotHeldBackByIncompleteNextEvent(t *testing.T) {
	const event = "id: 1\ndata: x\n\n"
	handler := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		fmt.Fprint(w, event+"id: 2\nda")
		w.(http.Flusher).Flush()
		<-r.Context().Done()
	}
	route := resumableRoute()
	route.Resumable, route.MaxRuns, route.Timeout = false, 1, 2*time.Second
	server := httptest.NewServer(newTestGateway(t, route, 1, handler))
	t.Cleanup(server.Close)
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL+"/draft", nil)
	if err != nil {
		t.Fatal(err)
	}
	request.Host = "example.com"
	sentAt := time.Now()
	response, err := server.Client().Do(request)
	if err != nil {
		t.Fatalf("got no response after %v: %v", time.Since(sentAt), err)
	}
	defer response.Body.Close()
	body := make([]byte, len(event))
	_, err = io.ReadFull(response.Body, body)
	if took := time.Since(sentAt); err != nil || string(body) != event || took > route.Timeout/2 {
		t.Errorf("got %q and error %v after %v, want the first event at once", body, err, took)
	}
}
