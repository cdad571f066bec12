package gateway

import (
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/greengagegate/greengagegate/internal/balancer"
	"github.com/greengagegate/greengagegate/internal/catalog"
	"github.com/greengagegate/greengagegate/internal/poison"
)

// losingRoute returns a route whose requests run once.
func losingRoute() *catalog.Route {
	return &catalog.Route{Name: "check", Host: "example.com", Prefix: "/", Kind: catalog.NonIdempotent, Timeout: time.Second, MaxRuns: 1, Open: true}
}

// A response that is lost while its upstream goes on must not make its contents suspect.
func TestLostResponseOfLivingUpstreamIsNoCrash(t *testing.T) {
	g := newTestGateway(t, losingRoute(), 1, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	for range 5 {
		g.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/x", strings.NewReader("body")))
	}
	time.Sleep(50 * time.Millisecond)
	if got := g.Poison.Suspects(); got != 0 {
		t.Errorf("%d contents are suspect, want none", got)
	}
}

// A response that is lost with its upstream's process makes its contents suspect.
func TestLostResponseOfCrashedUpstreamIsRecorded(t *testing.T) {
	var server *httptest.Server
	server = httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		_ = server.Listener.Close()
		panic(http.ErrAbortHandler)
	}))
	defer server.Close()
	g := newTestGateway(t, losingRoute(), 0, nil)
	g.Catalog.SetUpstreams([]*catalog.Upstream{{ID: "a", Pool: "pool", Address: server.Listener.Addr().String()}})
	g.Balancer.SyncUpstreams(g.Catalog.Upstreams())
	g.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/x", strings.NewReader("body")))
	deadline := time.Now().Add(5 * time.Second)
	for g.Poison.Suspects() == 0 && time.Now().Before(deadline) {
		time.Sleep(5 * time.Millisecond)
	}
	if got := g.Poison.Suspects(); got != 1 || !g.Balancer.IsUnreachable("a") {
		t.Errorf("%d contents are suspect, and the upstream is unreachable: %v; want one and true", got, g.Balancer.IsUnreachable("a"))
	}
}

// Requests with equal bodies and other last parts share all keys but the last one.
func TestKeysOfRepeatedBodies(t *testing.T) {
	keys := func(body, lastPart string) []poison.Key {
		j := &job{r: httptest.NewRequest(http.MethodPost, "/x", nil), body: &bufferedBody{chunks: [][]byte{[]byte(body)}, length: len(body)}}
		j.call = &Call{Parts: []balancer.Part{{ID: "first"}, {ID: lastPart}}}
		return j.poisonKeys()
	}
	a, b, other := keys("body", "a"), keys("body", "b"), keys("other", "a")
	if !slices.Equal(a[:2], b[:2]) || a[1] != "part:first" || a[2] == b[2] || len(a) != 3 {
		t.Errorf("got keys %v and %v, want the same part and body and different requests", a, b)
	}
	if other[1] != a[1] || other[0] == a[0] || other[2] == a[2] {
		t.Errorf("got keys %v and %v, want only the same part", a, other)
	}
}
