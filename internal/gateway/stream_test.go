package gateway

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"github.com/greengagegate/greengagegate/internal/balancer"
	"github.com/greengagegate/greengagegate/internal/bootclock"
	"github.com/greengagegate/greengagegate/internal/catalog"
	"github.com/greengagegate/greengagegate/internal/exchange"
	"github.com/greengagegate/greengagegate/internal/origin"
	"github.com/greengagegate/greengagegate/internal/permit"
	"github.com/greengagegate/greengagegate/internal/poison"
	"github.com/greengagegate/greengagegate/internal/ratelimit"
	"github.com/greengagegate/greengagegate/internal/retry"
	"github.com/greengagegate/greengagegate/internal/rollout"
	"github.com/greengagegate/greengagegate/internal/share"
	"github.com/rs/zerolog"
)

// idCodec is a Codec for tests. It reads only the ID of a call, sends the addressed
// upstream and the last event, and reads the incarnation from the header Life.
type idCodec struct{}

func (idCodec) Describe(r *http.Request) (*Call, error) {
	return &Call{ID: r.Header.Get("Id")}, nil
}

func (idCodec) Headers(in http.Header, _ *Call, metadata *ForwardMetadata) http.Header {
	out := in.Clone()
	out.Set("Upstream", metadata.Upstream)
	if metadata.LastEventID != "" {
		out.Set("Last-Event-Id", metadata.LastEventID)
	}
	return out
}

func (idCodec) Classify(status int, header http.Header) ResponseStatus {
	misdirected := status == http.StatusMisdirectedRequest
	return ResponseStatus{IsComplete: true, NotRun: misdirected, Misdirected: misdirected, InstanceID: header.Get("Life")}
}

func (idCodec) ResponseID(header http.Header) string { return header.Get("Id") }
func (idCodec) EventVersion([]byte) int64            { return 0 }

// newTestGateway returns a gateway with one route and a number of upstreams, which are
// named a, b and so on and are all served by handler.
func newTestGateway(t *testing.T, route *catalog.Route, upstreams int, handler http.HandlerFunc) *Gateway {
	t.Helper()
	testCatalog := catalog.New()
	config := &catalog.Config{
		Version: 1,
		Pools:   map[string]*catalog.Pool{"pool": {Name: "pool"}},
		Limits:  catalog.Limits{MaxBodyBytes: 1 << 10},
	}
	route.Pools = []catalog.WeightedPool{{Pool: "pool", Weight: 1}}
	config.SetRoutes([]*catalog.Route{route})
	testCatalog.SetConfig(config)
	var listed []*catalog.Upstream
	for i := range upstreams {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header()["Id"] = r.Header["Id"]
			handler(w, r)
		}))
		t.Cleanup(server.Close)
		listed = append(listed, &catalog.Upstream{ID: string(rune('a' + i)), Pool: "pool", Address: server.Listener.Addr().String()})
	}
	testCatalog.SetUpstreams(listed)
	testBalancer := balancer.New("zone", nil)
	testBalancer.SyncUpstreams(testCatalog.Upstreams())
	return New(Options{
		Catalog: testCatalog, Codec: idCodec{}, Pool: exchange.NewPool(zerolog.Nop()), Balancer: testBalancer,
		Notices: &Notices{Balancer: testBalancer, Limits: ratelimit.New(ratelimit.Options{}), Log: zerolog.Nop()},
		Shares:  share.New("own", 0, nil), SharedBudget: retry.NewSharedBudget(1, 100),
		Poison:  poison.New(poison.Options{Log: zerolog.Nop()}),
		Permits: allPermits{}, Origins: unknownOrigins{}, Rollouts: rollout.New(rollout.Options{}), Announce: func() {},
		Bounds: Bounds{MaxBufferedBytes: 1 << 20}, Log: zerolog.Nop(),
	})
}

// allPermits grants all requests.
type allPermits struct{}

func (allPermits) Acquire(context.Context, permit.Request) (permit.Decision, error) {
	return permit.Decision{Granted: true}, nil
}

// unknownOrigins knows of no stream where it began.
type unknownOrigins struct{}

func (unknownOrigins) Began(origin.Key, *catalog.Upstream)     {}
func (unknownOrigins) IsUncertain(origin.Key) bool             { return false }
func (unknownOrigins) MarkUncertain(string, bootclock.Instant) {}
func (unknownOrigins) IsSingle(string) bool                    { return true }

func (unknownOrigins) Resolve(context.Context, origin.Key, string) origin.Origin {
	return origin.Origin{Finding: origin.FindingUnknown}
}

// stalledCaller accepts the header and as many writes as writesLeft. Further writes fail
// with a timeout while the request's context remains valid, as with a caller that is connected
// but does not read.
type stalledCaller struct {
	*httptest.ResponseRecorder
	writesLeft int
}

func (c *stalledCaller) SetWriteDeadline(time.Time) error { return nil }

func (c *stalledCaller) Write(data []byte) (int, error) {
	if c.writesLeft--; c.writesLeft < 0 {
		return 0, os.ErrDeadlineExceeded
	}
	return c.ResponseRecorder.Write(data)
}

// The error of a write to a caller that does not read looks like an error of the
// upstream's stream. If the gateway confused them, it would run the request again at
// another upstream and count a failure against an upstream that works.
func TestFailedWriteToCallerIsNotRetried(t *testing.T) {
	var runs atomic.Int64
	handler := func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		w.Header().Set("Content-Type", "text/event-stream")
		for _, event := range []string{"id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n", "id: 3\ndata: c\n\n"} {
			if _, err := w.Write([]byte(event)); err != nil {
				return
			}
		}
	}
	route := &catalog.Route{
		Name: "draft", Host: "example.com", Prefix: "/", Kind: catalog.Stream, Timeout: 2 * time.Second,
		MaxRuns: 3, Resumable: true, Open: true,
	}
	g := newTestGateway(t, route, 2, handler)
	caller := &stalledCaller{ResponseRecorder: httptest.NewRecorder(), writesLeft: 1}
	j := newJob(g, caller, httptest.NewRequest(http.MethodPost, "/draft", nil))
	j.serve()
	if got := runs.Load(); got != 1 {
		t.Errorf("upstreams got %d requests, want 1", got)
	}
	if j.outcome.reason != "caller-left" || !errors.Is(j.outcome.err, os.ErrDeadlineExceeded) {
		t.Errorf("got reason %q and error %v, want caller-left and a write timeout", j.outcome.reason, j.outcome.err)
	}
	if len(j.attempts) != 1 || j.attempts[0].result != "caller-left" {
		t.Errorf("got attempts %s, want one with the result caller-left", formatAttempts(j.attempts))
	}
}
