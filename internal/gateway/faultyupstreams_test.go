package gateway

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/greengagegate/greengagegate/internal/catalog"
)

// endlessAnswers are answers without an end, each in another way.
var endlessAnswers = []rawAnswer{
	{repeated: "x"},
	{start: "HTTP/1.1 200 OK\r\nA: ", repeated: "x"},
	{start: "HTTP/1.1 200 OK\r\n", repeated: "A: b\r\n"},
	{repeated: "HTTP/1.1 100 Continue\r\n\r\n"},
	{start: "HTTP/1.1 200 OK\r\n\r\n", repeated: "x"},
	{start: "HTTP/1.1 200 OK\r\nContent-Length: 1000000000000\r\n\r\n", repeated: "x"},
	{start: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", repeated: "1\r\nx\r\n"},
	{start: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", repeated: "x"},
	{start: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", repeated: "A: b\r\n"},
	{start: "HTTP/1.1 503 Service Unavailable\r\n\r\n", repeated: "x"},
	{start: "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\ndata: ", repeated: "x"},
	{start: "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n", repeated: ": x\n"},
}

// Load pattern: several upstreams answer without an end, each in another way, while callers upload
// large bodies. The memory of both together must stay bounded, and uploads are served meanwhile.
func TestMemoryWithEndlessAnswersBesideUploadsIsBounded(t *testing.T) {
	const (
		callers   = 240
		uploads   = 60
		bodyBytes = 512 << 10
		maxBytes  = 16 << 20
		// headBytes is the largest head of an answer. As much again is allowed for its parsed form.
		headBytes = 64 << 10
		// slack is for the buffers of connections at both ends.
		slack = 16 << 20
		bound = maxBytes + callers*2*headBytes + slack
	)
	route := resumableRoute()
	route.MaxRuns, route.Timeout = 1, 4*time.Second
	g := newTestGateway(t, route, len(endlessAnswers), func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		var form int
		if _, err := fmt.Sscan(r.Header.Get("Form"), &form); err == nil {
			endlessAnswers[form].send(t, w)
		}
	})
	config := &catalog.Config{Version: 2, Pools: g.Catalog.Config().Pools, Limits: catalog.Limits{MaxBodyBytes: bodyBytes}}
	config.SetRoutes([]*catalog.Route{route})
	g.Catalog.SetConfig(config)
	g.Bounds.MaxBufferedBytes = maxBytes
	body := strings.Repeat("x", bodyBytes)
	before := liveHeap()
	var wait sync.WaitGroup
	for i := range callers {
		wait.Go(func() { serveDiscarded(g, strings.NewReader("small"), fmt.Sprint(i%len(endlessAnswers))) })
	}
	statuses := make([]int, uploads)
	for i := range uploads {
		wait.Go(func() { statuses[i] = serveDiscarded(g, strings.NewReader(body), "") })
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		wait.Wait()
	}()
	var most int64
	for ended := false; !ended; {
		select {
		case <-done:
			ended = true
		case <-time.After(50 * time.Millisecond):
			most = max(most, liveHeap()-before)
		}
	}
	if most > bound {
		t.Errorf("the heap grew by %d bytes, want at most %d", most, bound)
	}
	if !slices.Contains(statuses, http.StatusOK) || slices.Contains(statuses, 0) {
		t.Errorf("statuses of the uploads: %v, want some 200 and an answer to each", statuses)
	}
	if got := g.Buffered(); got != 0 {
		t.Errorf("%d bytes count as buffered after the requests, want none", got)
	}
	t.Logf("the heap grew by at most %d bytes", most)
}

// serveDiscarded serves a request with a body of unknown length for a caller that reads the response
// and keeps nothing. It returns the status.
func serveDiscarded(g *Gateway, body io.Reader, form string) int {
	request := httptest.NewRequest(http.MethodPost, "/draft", io.MultiReader(body))
	request.ContentLength = -1
	request.Header.Set("Form", form)
	// A stream that breaks off after its header ends with this panic.
	defer func() {
		if cause := recover(); cause != nil && cause != http.ErrAbortHandler {
			panic(cause)
		}
	}()
	caller := &discardingCaller{header: make(http.Header)}
	g.ServeHTTP(caller, request)
	return caller.status
}

// discardingCaller implements http.ResponseWriter and http.Flusher.
type discardingCaller struct {
	header http.Header
	status int
}

func (c *discardingCaller) Header() http.Header         { return c.header }
func (c *discardingCaller) Write(p []byte) (int, error) { return len(p), nil }
func (c *discardingCaller) WriteHeader(status int)      { c.status = status }
func (c *discardingCaller) Flush()                      {}
