package gateway

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"github.com/greengagegate/greengagegate/internal/balancer"
	"github.com/greengagegate/greengagegate/internal/catalog"
	"github.com/greengagegate/greengagegate/internal/exchange"
	"github.com/greengagegate/greengagegate/internal/retry"
	"github.com/greengagegate/greengagegate/internal/share"
	"github.com/rs/zerolog"
)

// plainCodec describes requests by nothing but an id.
type plainCodec struct{}

func (plainCodec) Describe(r *http.Request) (*Call, error) {
	return &Call{ID: r.Header.Get("Id")}, nil
}

func (plainCodec) Headers(in http.Header, _ *Call, metadata *ForwardMetadata) http.Header {
	out := in.Clone()
	out.Set("Upstream", metadata.Upstream)
	if metadata.LastEvent != "" {
		out.Set("Last-Event-Id", metadata.LastEvent)
	}
	return out
}

func (plainCodec) Classify(status int, header http.Header) AnswerStatus {
	misdirected := status == http.StatusMisdirectedRequest
	return AnswerStatus{Sound: true, NotRun: misdirected, Misdirected: misdirected, Life: header.Get("Life")}
}

func (plainCodec) IsAnswerTo(*Call, http.Header) bool { return true }
func (plainCodec) Version([]byte) int64               { return 0 }

// newTestGateway returns a gateway with one route and upstreams that are served by a handler.
func newTestGateway(t *testing.T, route *catalog.Route, upstreams int, handler http.HandlerFunc) *Gateway {
	t.Helper()
	known := catalog.New()
	config := &catalog.Config{
		Version: 1,
		Pools:   map[string]*catalog.Pool{"pool": {Name: "pool"}},
		Limits:  catalog.Limits{MaxBodyBytes: 1 << 10},
	}
	route.Pools = []catalog.WeightedPool{{Pool: "pool", Weight: 1}}
	config.SetRoutes([]*catalog.Route{route})
	known.SetConfig(config)
	var list []*catalog.Upstream
	for i := range upstreams {
		server := httptest.NewServer(handler)
		t.Cleanup(server.Close)
		list = append(list, &catalog.Upstream{ID: string(rune('a' + i)), Pool: "pool", Address: server.Listener.Addr().String()})
	}
	known.SetUpstreams(list)
	return New(Options{
		Catalog: known, Codec: plainCodec{}, Pool: exchange.NewPool(), Balancer: balancer.New("zone", nil),
		Shares: share.New("own", 0, nil), SharedBudget: retry.NewSharedBudget(1, 100),
		Bounds: Bounds{MaxBuffered: 1 << 20}, Log: zerolog.Nop(),
	})
}

// stuckCaller takes the head and some writes, then nothing more, without being
// known to have left.
type stuckCaller struct {
	*httptest.ResponseRecorder
	takes int
}

func (c *stuckCaller) SetWriteDeadline(time.Time) error { return nil }

func (c *stuckCaller) Write(data []byte) (int, error) {
	if c.takes--; c.takes < 0 {
		return 0, os.ErrDeadlineExceeded
	}
	return c.ResponseRecorder.Write(data)
}

// A caller that takes no more events is no failure of the upstream: nothing is
// run again for it, and the upstream keeps its standing.
func TestFailedWriteToCallerIsNotRunAgain(t *testing.T) {
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
		Attempts: 3, Resumable: true, Open: true,
	}
	g := newTestGateway(t, route, 2, handler)
	caller := &stuckCaller{ResponseRecorder: httptest.NewRecorder(), takes: 1}
	j := newJob(g, caller, httptest.NewRequest(http.MethodPost, "/draft", nil))
	j.serve()
	if got := runs.Load(); got != 1 {
		t.Errorf("ran %d times, want 1", got)
	}
	if j.outcome.reason != "caller-left" || !errors.Is(j.outcome.err, os.ErrDeadlineExceeded) {
		t.Errorf("outcome %q, %v", j.outcome.reason, j.outcome.err)
	}
	if len(j.sends) != 1 || j.sends[0].result != "caller-left" {
		t.Errorf("sends %s", describe(j.sends))
	}
}
