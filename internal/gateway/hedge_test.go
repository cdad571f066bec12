package gateway

import (
	"context"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/greengagegate/greengagegate/internal/bootclock"
	"github.com/greengagegate/greengagegate/internal/retry"
)

// silentThen returns a handler whose first run sends one event and is silent for the given
// time or until its caller leaves, and whose resumed runs are served by next.
func silentThen(silence time.Duration, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		if r.Header.Get("Last-Event-Id") != "" {
			next(w, r)
			return
		}
		writeEvent(w, 1)
		select {
		case <-time.After(silence):
			writeEvent(w, 2)
		case <-r.Context().Done():
		}
	}
}

func running(g *Gateway) int {
	return g.Balancer.RunningRequests("a") + g.Balancer.RunningRequests("b")
}

// The send of a stream that has moved must end at the move, not with the stream.
func TestMovedStreamEndsItsFirstSend(t *testing.T) {
	t.Parallel()
	var g *Gateway
	var runningAfterMove atomic.Int64
	g = newTestGateway(t, resumableRoute(), 2, silentThen(time.Minute, func(w http.ResponseWriter, _ *http.Request) {
		writeEvent(w, 2)
		time.Sleep(200 * time.Millisecond)
		runningAfterMove.Store(int64(running(g)))
	}))
	newJob(g, httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/draft", nil)).serve()
	if got := runningAfterMove.Load(); got != 1 {
		t.Errorf("%d sends are running after the move, want 1", got)
	}
}

// A caller that leaves while a hedge is under way must end all sends, spend no further retry
// and count against no upstream that has not failed.
func TestCallerThatLeavesDuringHedge(t *testing.T) {
	t.Parallel()
	ctx, leave := context.WithCancel(t.Context())
	g := newTestGateway(t, resumableRoute(), 2, silentThen(time.Minute, func(w http.ResponseWriter, r *http.Request) {
		w.(http.Flusher).Flush()
		time.AfterFunc(50*time.Millisecond, leave)
		<-r.Context().Done()
	}))
	g.SharedBudget = retry.NewSharedBudget(0, 100)
	j := newJob(g, httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/draft", nil).WithContext(ctx))
	j.serve()
	if got := g.SharedBudget.Balances()["pool"]; got != 99 || running(g) != 0 {
		t.Errorf("%v retries are left and %d sends running, want 99 and none", got, running(g))
	}
	if got := formatAttempts(j.attempts); strings.Contains(got, "broken-off") || strings.Contains(got, "not-resumed") {
		t.Errorf("got attempts %s, want no failure", got)
	}
}

// Each send must end if the caller leaves at any moment around a move.
func TestCallerThatLeavesAtMoveLeavesNoSendRunning(t *testing.T) {
	t.Parallel()
	for delay := time.Duration(0); delay < 2*time.Millisecond; delay += 100 * time.Microsecond {
		t.Run(delay.String(), func(t *testing.T) {
			t.Parallel()
			ctx, leave := context.WithCancel(t.Context())
			g := newTestGateway(t, resumableRoute(), 2, silentThen(time.Minute, func(w http.ResponseWriter, r *http.Request) {
				time.AfterFunc(delay, leave)
				writeEvent(w, 2)
				<-r.Context().Done()
			}))
			newJob(g, httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/draft", nil).WithContext(ctx)).serve()
			if got := running(g); got != 0 {
				t.Errorf("%d sends are still running", got)
			}
		})
	}
}

// A silent stream must move also when another upstream becomes usable only later.
func TestSilentStreamMovesWhenAnUpstreamBecomesUsable(t *testing.T) {
	t.Parallel()
	g := newTestGateway(t, resumableRoute(), 2, silentThen(time.Minute, func(w http.ResponseWriter, _ *http.Request) { writeEvent(w, 2) }))
	g.Balancer.HoldUntil("b", bootclock.Now().Add(minStallTimeout*3/2))
	caller := httptest.NewRecorder()
	newJob(g, caller, httptest.NewRequest(http.MethodPost, "/draft", nil)).serve()
	if got := caller.Body.String(); strings.Count(got, "data:") != 2 {
		t.Errorf("caller got %q, want both events", got)
	}
}

// A resumed stream that ends without an event must not replace a silent one that may still
// have events.
func TestEmptyResumeDoesNotEndSilentStream(t *testing.T) {
	t.Parallel()
	empty := func(w http.ResponseWriter, _ *http.Request) { w.(http.Flusher).Flush() }
	g := newTestGateway(t, resumableRoute(), 2, silentThen(minStallTimeout*3/2, empty))
	caller := httptest.NewRecorder()
	newJob(g, caller, httptest.NewRequest(http.MethodPost, "/draft", nil)).serve()
	if got := caller.Body.String(); strings.Count(got, "data:") != 2 {
		t.Errorf("caller got %q, want both events", got)
	}
}

// Two upstreams must not work on one stream for longer than 400 ms once the second one has
// accepted it, however long that takes to its first event.
func TestSilentSendEndsSoonAfterAnotherUpstreamAccepts(t *testing.T) {
	t.Parallel()
	var silentEndedAt atomic.Int64
	var acceptedAt atomic.Int64
	next := func(w http.ResponseWriter, _ *http.Request) {
		acceptedAt.Store(time.Now().UnixMilli())
		w.(http.Flusher).Flush()
		time.Sleep(900 * time.Millisecond)
		writeEvent(w, 2)
	}
	silent := silentThen(time.Minute, next)
	handler := func(w http.ResponseWriter, r *http.Request) {
		silent(w, r)
		if r.Header.Get("Last-Event-Id") == "" {
			silentEndedAt.Store(time.Now().UnixMilli())
		}
	}
	caller := httptest.NewRecorder()
	newJob(newTestGateway(t, resumableRoute(), 2, handler), caller, httptest.NewRequest(http.MethodPost, "/draft", nil)).serve()
	if overlap := silentEndedAt.Load() - acceptedAt.Load(); overlap > 400 || strings.Count(caller.Body.String(), "data:") != 2 {
		t.Errorf("the first run ended %d ms after the second was accepted, and the caller got %q; want at most 400 ms and both events", overlap, caller.Body)
	}
}

// An event of the silent upstream that arrives while another one has accepted the stream must not be
// lost if that one fails.
func TestSilentStreamGoesOnIfTheUpstreamThatAcceptedItFails(t *testing.T) {
	t.Parallel()
	g := newTestGateway(t, resumableRoute(), 2, silentThen(minStallTimeout+100*time.Millisecond, func(w http.ResponseWriter, _ *http.Request) {
		w.(http.Flusher).Flush()
		time.Sleep(200 * time.Millisecond)
		panic(http.ErrAbortHandler)
	}))
	caller := httptest.NewRecorder()
	j := newJob(g, caller, httptest.NewRequest(http.MethodPost, "/draft", nil))
	j.serve()
	if got := caller.Body.String(); strings.Count(got, "data:") != 2 || running(g) != 0 {
		t.Errorf("caller got %q and %d sends are running, want both events and none", got, running(g))
	}
	results := make([]string, len(j.attempts))
	for i, attempt := range j.attempts {
		results[i] = attempt.result
	}
	if want := []string{"silent", "broken-off", "answered"}; !slices.Equal(results, want) {
		t.Errorf("got attempts %q, want %q", results, want)
	}
}

// A stream whose caller leaves while it is resumed after a failure was not broken off.
func TestCallerThatLeavesDuringResumeIsLogged(t *testing.T) {
	t.Parallel()
	ctx, leave := context.WithCancel(t.Context())
	g := newTestGateway(t, resumableRoute(), 2, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		if r.Header.Get("Last-Event-Id") == "" {
			writeEvent(w, 1)
			panic(http.ErrAbortHandler)
		}
		leave()
		<-r.Context().Done()
	})
	j := newJob(g, httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/draft", nil).WithContext(ctx))
	defer func() {
		_ = recover()
		if j.outcome.reason != "caller-left" {
			t.Errorf("got outcome %q, want caller-left", j.outcome.reason)
		}
	}()
	j.serve()
}
