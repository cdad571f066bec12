package gateway

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/greengagegate/greengagegate/internal/bootclock"
	"github.com/greengagegate/greengagegate/internal/catalog"
	"github.com/greengagegate/greengagegate/internal/eventstream"
)

const takeBackModel = "m"

// newTakeBackGateway returns a gateway with two engines: a has version 1 of the weights and
// never begins a request, and b has version 2, which has just become the target version,
// and gets no requests for the first 400 ms.
func newTakeBackGateway(t *testing.T, route *catalog.Route, aborted chan<- bootclock.Instant) *Gateway {
	handler := func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Upstream") == "a" {
			<-r.Context().Done()
			aborted <- bootclock.Now()
			return
		}
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = w.Write([]byte("id: 1\ndata: x\n\n"))
	}
	g := newTestGateway(t, route, 2, handler)
	g.Catalog.Config().Pools["pool"].Engine = &catalog.Engine{Models: []string{takeBackModel}}
	g.Codec = modelCodec{}
	g.Bounds.StalenessLimit = 1500 * time.Millisecond
	g.Catalog.SetTargetVersions(map[string]int64{takeBackModel: 1}, bootclock.Now())
	g.Catalog.SetTargetVersions(map[string]int64{takeBackModel: 2}, bootclock.Now())
	g.Balancer.RecordVersion("a", takeBackModel, 1)
	g.Balancer.RecordVersion("b", takeBackModel, 2)
	g.Balancer.HoldUntil("b", bootclock.Now().Add(400*time.Millisecond))
	return g
}

// modelCodec is an idCodec whose calls name a model.
type modelCodec struct{ idCodec }

func (modelCodec) Describe(r *http.Request) (*Call, error) {
	return &Call{ID: r.Header.Get("Id"), Model: takeBackModel}, nil
}

// Load pattern: the queue of an engine with older weights grows after a request was sent
// to it, so that the request would begin when the weights are too old. It is taken back and
// sent to an engine with newer weights.
func TestWaitingRequestIsTakenBackFromOldWeights(t *testing.T) {
	route := &catalog.Route{
		Name: "draft", Host: "example.com", Prefix: "/", Kind: catalog.Stream, Timeout: 5 * time.Second,
		LatencyObjective: 500 * time.Millisecond, MaxRuns: 3, Resumable: true, Open: true,
	}
	aborted := make(chan bootclock.Instant, 1)
	g := newTakeBackGateway(t, route, aborted)
	limit := bootclock.Now().Add(g.Bounds.StalenessLimit)
	caller := httptest.NewRecorder()
	j := newJob(g, caller, httptest.NewRequest(http.MethodPost, "/draft", nil))
	j.serve()
	if caller.Code != http.StatusOK || caller.Body.String() != "id: 1\ndata: x\n\n" {
		t.Errorf("caller got status %d and %q, want the stream of b", caller.Code, caller.Body)
	}
	if len(j.attempts) != 2 || j.attempts[0].result != "taken-back" || j.attempts[1].result != "answered" {
		t.Fatalf("got attempts %s, want one that is taken back and one that is answered", formatAttempts(j.attempts))
	}
	if at := <-aborted; !at.Before(limit) {
		t.Errorf("the request was taken back %v after the weights had become too old", at.Sub(limit))
	}
	if g.Balancer.IsUnreachable("a") {
		t.Error("the upstream counts as unreachable, although the request was taken back")
	}
}

// onceRoute returns a route of streams that may not run again.
func onceRoute() *catalog.Route {
	return &catalog.Route{
		Name: "check", Host: "example.com", Prefix: "/", Kind: catalog.Stream, Timeout: 3 * time.Second,
		LatencyObjective: 500 * time.Millisecond, MaxRuns: 1, Open: true,
	}
}

// A request that may not run again and waits at an engine must not begin there once the weights are
// too old: it ends before, its outcome is unknown, and it is not sent again.
func TestWaitingRequestThatMayNotRunAgainEndsBeforeWeightsAreTooOld(t *testing.T) {
	aborted := make(chan bootclock.Instant, 1)
	g := newTakeBackGateway(t, onceRoute(), aborted)
	limit := bootclock.Now().Add(g.Bounds.StalenessLimit)
	caller := httptest.NewRecorder()
	j := newJob(g, caller, httptest.NewRequest(http.MethodPost, "/check", nil))
	j.serve()
	if caller.Code != http.StatusBadGateway || j.outcome.reason != "answer-lost" {
		t.Errorf("caller got status %d, reason %q, want 502 and answer-lost", caller.Code, j.outcome.reason)
	}
	if len(j.attempts) != 1 || j.attempts[0].result != "taken-back" {
		t.Errorf("got attempts %s, want one that is taken back", formatAttempts(j.attempts))
	}
	if at := <-aborted; !at.Before(limit) {
		t.Errorf("the request left the engine %v after the weights had become too old", at.Sub(limit))
	}
}

// A request that was sent before the next version became known, or before its age did, waits at the
// engine past the bound as well.
func TestVersionThatBecomesKnownLaterEndsWait(t *testing.T) {
	for name, learn := range map[string]func(c *catalog.Catalog, now bootclock.Instant){
		"published": func(c *catalog.Catalog, now bootclock.Instant) {
			c.SetTargetVersions(map[string]int64{takeBackModel: 3}, now)
		},
		"learned of late": func(c *catalog.Catalog, now bootclock.Instant) {
			c.MergeVersionAge(takeBackModel, catalog.DatedVersion{Version: 3, KnownSince: now.Add(-10 * time.Second)})
		},
	} {
		t.Run(name, func(t *testing.T) {
			aborted := make(chan bootclock.Instant, 1)
			g := newTakeBackGateway(t, onceRoute(), aborted)
			engine := g.Catalog.Upstreams().ByID["a"]
			g.Catalog = catalog.New()
			config := &catalog.Config{Version: 1, Pools: map[string]*catalog.Pool{"pool": {Name: "pool", Engine: &catalog.Engine{Models: []string{takeBackModel}}}}}
			route := onceRoute()
			route.Pools = []catalog.WeightedPool{{Pool: "pool", Weight: 1}}
			config.SetRoutes([]*catalog.Route{route})
			g.Catalog.SetConfig(config)
			g.Catalog.SetUpstreams([]*catalog.Upstream{engine})
			g.Catalog.SetTargetVersions(map[string]int64{takeBackModel: 1}, bootclock.Now())
			j := newJob(g, httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/check", nil))
			known := make(chan bootclock.Instant, 1)
			time.AfterFunc(200*time.Millisecond, func() {
				now := bootclock.Now()
				known <- now
				learn(g.Catalog, now)
			})
			j.serve()
			limit := (<-known).Add(g.Bounds.StalenessLimit)
			if at := <-aborted; !at.Before(limit) || len(j.attempts) != 1 || j.attempts[0].result != "taken-back" {
				t.Errorf("attempts %s, left the engine %v after the weights had become too old", formatAttempts(j.attempts), at.Sub(limit))
			}
		})
	}
}

// takenBackBody is the body of a response whose send is taken back while its first event
// arrives.
type takenBackBody struct {
	io.Reader
	send *send
}

func (b *takenBackBody) Read(p []byte) (int, error) {
	b.send.cancel(errTakenBack)
	return b.Reader.Read(p)
}

// The first event of a send that has been taken back must not reach the caller: with it the
// caller would depend on a response that has been ended.
func TestFirstEventOfSendThatWasTakenBackIsNotForwarded(t *testing.T) {
	g := newTestGateway(t, resumableRoute(), 1, func(http.ResponseWriter, *http.Request) {})
	caller := httptest.NewRecorder()
	j := newJob(g, caller, httptest.NewRequest(http.MethodPost, "/draft", nil))
	if refused := j.admit(); refused != nil {
		t.Fatal(refused.reason)
	}
	j.prepareRequest()
	choice, _ := j.pickUpstream(t.Context())
	s, err := j.send(t.Context(), &choice, "")
	if err != nil {
		t.Fatal(err)
	}
	defer s.end()
	s.events = eventstream.NewReader(&takenBackBody{Reader: strings.NewReader("id: 1\ndata: x\n\n"), send: s})
	forwarding := &streamForwarding{controller: http.NewResponseController(j.w)}
	if _, err := j.forwardEvents(t.Context(), forwarding, s); err == nil || forwarding.headerSent {
		t.Errorf("got error %v and the header sent: %v, want an error before the header", err, forwarding.headerSent)
	}
}
