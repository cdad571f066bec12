package gateway

import (
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/greengagegate/greengagegate/internal/catalog"
	"github.com/greengagegate/greengagegate/internal/origin"
)

// uncertainOrigins says of all streams that it is not certain where they began.
type uncertainOrigins struct{ unknownOrigins }

func (uncertainOrigins) IsUncertain(origin.Key) bool { return true }

// A stream whose version has become uncertain must not go on at another upstream: its caller's
// connection is cut, so that the response does not look complete.
func TestStreamOfUncertainVersionDoesNotMove(t *testing.T) {
	var runs atomic.Int64
	handler := func(w http.ResponseWriter, _ *http.Request) {
		runs.Add(1)
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, "id: 1\ndata: a\n\n")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	route := &catalog.Route{
		Name: "draft", Host: "example.com", Prefix: "/", Kind: catalog.Stream, Timeout: 2 * time.Second,
		LatencyObjective: 200 * time.Millisecond, MaxRuns: 3, Resumable: true,
	}
	g := newTestGateway(t, route, 3, handler)
	g.Origins = uncertainOrigins{}
	front := httptest.NewServer(g)
	defer front.Close()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, front.URL+"/x", nil)
	if err != nil {
		t.Fatal(err)
	}
	request.Host = "example.com"
	request.Header.Set("Id", "1")
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err == nil || string(body) != "id: 1\ndata: a\n\n" || runs.Load() != 1 {
		t.Errorf("body %q, error %v, %d runs; want the first event, a cut and one run", body, err, runs.Load())
	}
}
