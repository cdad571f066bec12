package gateway

import (
	"context"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/greengagegate/greengagegate/internal/balancer"
	"github.com/greengagegate/greengagegate/internal/catalog"
)

const (
	shortObjective = 2 * time.Second
	longObjective  = 6 * time.Second
	// busyTokens is a backlog for which no request is sent, but which leaves time to wait.
	busyTokens = 1300 * 130
)

// promptCodec describes each request as a small prompt.
type promptCodec struct{ idCodec }

func (c promptCodec) Describe(r *http.Request) (*Call, error) {
	call, err := c.idCodec.Describe(r)
	if call != nil {
		call.PromptTokens, call.Parts = 10, []balancer.Part{{ID: call.ID, Tokens: 10}}
	}
	return call, err
}

// newQueueGateway returns a gateway with a queue before one engine, and a function that ends
// the backlog of that engine. Requests to /long are less urgent than those to /short.
func newQueueGateway(t *testing.T, handler http.HandlerFunc) (g *Gateway, endBacklog func()) {
	t.Helper()
	short := &catalog.Route{Name: "short", Host: "example.com", Prefix: "/short", Kind: catalog.Idempotent, LatencyObjective: shortObjective, Open: true}
	g = newTestGateway(t, short, 1, handler)
	long := *short
	long.Name, long.Prefix, long.Priority, long.LatencyObjective = "long", "/long", 2, longObjective
	config := g.Catalog.Config()
	config.SetRoutes([]*catalog.Route{short, &long})
	config.Pools["pool"].Engine = &catalog.Engine{}
	g.Codec, g.Bounds.Queue = promptCodec{}, true
	busy := g.Balancer.Begin(balancer.Choice{Upstream: g.Catalog.Upstreams().ByPool["pool"][0], MissingTokens: busyTokens}, &balancer.Request{})
	return g, busy.Done
}

// waitFor fails the test if the condition does not hold soon.
func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s: did not happen", what)
		}
	}
}

func queued(g *Gateway) int {
	total := 0
	for _, status := range g.QueueStatuses() {
		total += status.Waiting
	}
	return total
}

// Requests that wait must not be served in the order of their arrival when some are more
// urgent, and one whose caller has disconnected must not take a place.
func TestWaitingRequestsAreServedInOrder(t *testing.T) {
	var mu sync.Mutex
	var served []string
	g, endBacklog := newQueueGateway(t, func(_ http.ResponseWriter, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		served = append(served, r.URL.Path)
	})
	// One request after the other, so that the upstream sees the order.
	g.Catalog.Config().Pools["pool"].MaxConnections = 1
	var wg sync.WaitGroup
	send := func(ctx context.Context, path string, want int) {
		before := queued(g)
		wg.Go(func() {
			caller := httptest.NewRecorder()
			j := newJob(g, caller, httptest.NewRequestWithContext(ctx, http.MethodPost, path, nil))
			j.serve()
			if j.outcome.status != want {
				t.Errorf("%s got status %d, want %d", path, j.outcome.status, want)
			}
		})
		waitFor(t, path+" waits", func() bool { return queued(g) == before+1 })
	}
	leaving, leave := context.WithCancel(t.Context())
	send(t.Context(), "/short/1", http.StatusOK)
	send(t.Context(), "/long/1", http.StatusOK)
	send(leaving, "/short/left", 0)
	send(t.Context(), "/short/2", http.StatusOK)
	leave()
	waitFor(t, "the request of the disconnected caller leaves", func() bool { return queued(g) == 3 })
	endBacklog()
	wg.Wait()
	if want := []string{"/short/1", "/short/2", "/long/1"}; !slices.Equal(served, want) {
		t.Errorf("served %v, want %v", served, want)
	}
}

// A gateway that stops must answer the requests that wait, and must not queue others.
func TestStoppingGatewayAnswersWaitingRequests(t *testing.T) {
	g, endBacklog := newQueueGateway(t, func(http.ResponseWriter, *http.Request) {})
	defer endBacklog()
	caller := httptest.NewRecorder()
	done := make(chan struct{})
	go func() {
		defer close(done)
		newJob(g, caller, httptest.NewRequest(http.MethodPost, "/short", nil)).serve()
	}()
	waitFor(t, "the request waits", func() bool { return queued(g) == 1 })
	g.Close()
	<-done
	if caller.Code != http.StatusServiceUnavailable || caller.Body.String() != "stopping\n" || caller.Header().Get("Retry-After") == "" {
		t.Errorf("got status %d, %q and headers %v, want a refusal with a retry time", caller.Code, caller.Body, caller.Header())
	}
}

// A request that cannot begin in time must be refused at once, with a retry time that leaves
// its caller time for the retry.
func TestLateRequestIsRefusedAtOnce(t *testing.T) {
	g, endBacklog := newQueueGateway(t, func(http.ResponseWriter, *http.Request) {})
	defer endBacklog()
	defer g.Balancer.Begin(balancer.Choice{Upstream: g.Catalog.Upstreams().ByPool["pool"][0], MissingTokens: 10 * busyTokens}, &balancer.Request{}).Done()
	caller := httptest.NewRecorder()
	j := newJob(g, caller, httptest.NewRequest(http.MethodPost, "/short", nil))
	j.serve()
	if caller.Code != http.StatusServiceUnavailable || j.outcome.wait == nil || j.outcome.wait.waited != 0 {
		t.Fatalf("got status %d and wait %+v, want a refusal without a wait", caller.Code, j.outcome.wait)
	}
	if got := j.outcome.wait.decision.RetryAfter; got <= 0 || got > j.timeLeft()/2 {
		t.Errorf("got a retry time of %v with %v left", got, j.timeLeft())
	}
}
