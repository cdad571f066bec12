package gateway

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/greengagegate/greengagegate/internal/bootclock"
	"github.com/greengagegate/greengagegate/internal/catalog"
)

// chargeRoute returns a route whose requests run at most once.
func chargeRoute() *catalog.Route {
	return &catalog.Route{
		Name: "charge", Host: "example.com", Prefix: "/", Kind: catalog.NonIdempotent, Timeout: 20 * time.Second,
		LatencyObjective: 10 * time.Second, MaxRuns: 1, Open: true,
	}
}

// A request that has not been passed on when the gateway stops accepting work must not be passed on
// after that, wherever it is: its run would be cut at the end of the stop.
func TestRequestIsNotPassedOnAfterStop(t *testing.T) {
	for name, begin := range map[string]func(g *Gateway) (request *http.Request, release func()){
		"while its body is read": func(*Gateway) (*http.Request, func()) {
			body := &pausedBody{rest: 100, release: make(chan struct{})}
			request := httptest.NewRequest(http.MethodPost, "/charge", body)
			request.ContentLength = -1
			return request, func() { close(body.release) }
		},
		"while it waits for an upstream": func(g *Gateway) (*http.Request, func()) {
			g.Balancer.HoldUntil("a", bootclock.Now().Add(time.Hour))
			return httptest.NewRequest(http.MethodPost, "/charge", nil), func() { g.Balancer.HoldUntil("a", 0) }
		},
	} {
		t.Run(name, func(t *testing.T) {
			var runs atomic.Int64
			g := newTestGateway(t, chargeRoute(), 1, func(http.ResponseWriter, *http.Request) { runs.Add(1) })
			request, release := begin(g)
			caller, done := httptest.NewRecorder(), make(chan struct{})
			go func() {
				defer close(done)
				g.ServeHTTP(caller, request)
			}()
			time.Sleep(100 * time.Millisecond)
			g.Close()
			release()
			<-done
			if caller.Code != http.StatusServiceUnavailable || caller.Header().Get("Retry-After") == "" || runs.Load() != 0 {
				t.Errorf("status %d, %d runs, want a refusal with a retry time and no run", caller.Code, runs.Load())
			}
		})
	}
}

// A request that an upstream refused without running it is not sent to another one after the stop.
func TestRefusedRequestIsNotSentAgainAfterStop(t *testing.T) {
	var g *Gateway
	var sends atomic.Int64
	g = newTestGateway(t, chargeRoute(), 2, func(w http.ResponseWriter, _ *http.Request) {
		if sends.Add(1) == 1 {
			g.Close()
			w.WriteHeader(http.StatusMisdirectedRequest)
		}
	})
	caller := httptest.NewRecorder()
	g.ServeHTTP(caller, httptest.NewRequest(http.MethodPost, "/charge", nil))
	if caller.Code != http.StatusServiceUnavailable || sends.Load() != 1 {
		t.Errorf("status %d after %d sends, want a refusal after one", caller.Code, sends.Load())
	}
}

// A request that runs at the end of the stop gets an answer that says that its outcome is unknown, not
// a closed connection.
func TestRequestInFlightIsAnsweredAtEndOfStop(t *testing.T) {
	for name, route := range map[string]*catalog.Route{"charge": chargeRoute(), "stream before its first event": onceRoute()} {
		t.Run(name, func(t *testing.T) {
			route.Timeout = 20 * time.Second
			g := newTestGateway(t, route, 1, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
			caller, done := httptest.NewRecorder(), make(chan struct{})
			go func() {
				defer close(done)
				g.ServeHTTP(caller, httptest.NewRequest(http.MethodPost, "/charge", nil))
			}()
			time.Sleep(100 * time.Millisecond)
			end := bootclock.Now().Add(200 * time.Millisecond)
			g.Drain(end)
			select {
			case <-done:
			case <-time.After(3 * time.Second):
				t.Fatal("no answer 2.8 s after the end of the stop")
			}
			if late := bootclock.Since(end); caller.Code != http.StatusGatewayTimeout || late > 200*time.Millisecond {
				t.Errorf("status %d, %v after the end of the stop, want 504 at the end", caller.Code, late)
			}
		})
	}
}
