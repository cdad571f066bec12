package calls

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/greengagegate/greengagegate/internal/refusal"
	"github.com/greengagegate/greengagegate/internal/service"
	"github.com/greengagegate/greengagegate/internal/wire/wirepb"
	"github.com/greengagegate/greengagegate/once"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"
)

// fakeService counts calls. Each call takes delay and returns err, or status 200 if
// err is nil.
type fakeService struct {
	err   error
	calls int
	delay time.Duration
}

func (f *fakeService) Do(context.Context, service.Call) (service.Answer, error) {
	f.calls++
	time.Sleep(f.delay)
	return service.Answer{Status: http.StatusOK}, f.err
}

func newTestManager(f *fakeService) *Manager {
	return New(Options{Driver: f, Upstream: "billing-1", Log: zerolog.Nop()})
}

// TestRefusalsOfCalls guards against wrong run states. A router retries a call that is
// reported as not run; if the service may have run it, a retry could run it twice.
func TestRefusalsOfCalls(t *testing.T) {
	const (
		notRun  = wirepb.RunState_RUN_NOT_RUN
		unknown = wirepb.RunState_RUN_UNKNOWN
	)
	canceledCtx, cancel := context.WithCancel(t.Context())
	cancel()
	cases := []struct {
		name      string
		prepare   func(m *Manager)
		err       error
		ctx       context.Context
		request   *wirepb.CallRequest
		wantCode  refusal.Code
		wantRun   wirepb.RunState
		wantCalls int
	}{
		{name: "draining", prepare: func(m *Manager) { m.draining.Store(true) }, wantCode: refusal.Draining, wantRun: notRun},
		{name: "not sent", err: service.ErrNotSent, wantCode: refusal.UpstreamUnreachable, wantRun: notRun, wantCalls: 1},
		{name: "lost", err: service.ErrOutcomeUnknown, wantCode: refusal.UpstreamLost, wantRun: unknown, wantCalls: 1},
		{
			name: "suspect lost", err: service.ErrOutcomeUnknown, wantCode: refusal.Poisonous, wantRun: unknown, wantCalls: 1,
			request: &wirepb.CallRequest{Suspect: true},
		},
		{name: "circuit open", prepare: openCircuit, wantCode: refusal.CircuitOpen, wantRun: notRun},
		{
			name: "deadline passed", ctx: canceledCtx, wantCode: refusal.DeadlineExceeded, wantRun: notRun,
			request: &wirepb.CallRequest{Idempotent: true},
		},
		{
			name: "key before the upstream is configured", wantCode: refusal.ShardUnavailable, wantRun: unknown,
			request: &wirepb.CallRequest{IdempotencyKey: "k"},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := &fakeService{err: c.err}
			m := newTestManager(f)
			if c.prepare != nil {
				c.prepare(m)
			}
			if c.ctx == nil {
				c.ctx = t.Context()
			}
			if c.request == nil {
				c.request = new(wirepb.CallRequest)
			}
			got := m.call(c.ctx, c.request).GetRefusal()
			if got.GetCode() != string(c.wantCode) || got.GetRun() != c.wantRun || f.calls != c.wantCalls {
				t.Fatalf("refusal is %v after %d calls to the service", got, f.calls)
			}
		})
	}
}

func openCircuit(m *Manager) {
	for ok := true; ok; ok, _ = m.breaker.Allow() {
		m.breaker.Failure()
	}
}

// TestRefusalsOfKeys guards against a reason of package once that maps to a wrong
// refusal code or run state, or drops the owner's address or the retry delay.
func TestRefusalsOfKeys(t *testing.T) {
	const (
		notRun  = wirepb.RunState_RUN_NOT_RUN
		unknown = wirepb.RunState_RUN_UNKNOWN
		ran     = wirepb.RunState_RUN_RAN
	)
	cases := []struct {
		reason   once.Reason
		wantCode refusal.Code
		wantRun  wirepb.RunState
	}{
		{once.ReasonNotOwner, refusal.NotOwner, unknown},
		{once.ReasonUnavailable, refusal.ShardUnavailable, unknown},
		{once.ReasonConflict, refusal.KeyConflict, notRun},
		{once.ReasonRunning, refusal.KeyRunning, unknown},
		{once.ReasonOutcomeUnknown, refusal.KeyOutcomeUnknown, unknown},
		{once.ReasonAnswerLost, refusal.KeyAnswerLost, ran},
		{once.ReasonInDoubt, refusal.ShardInDoubt, unknown},
		{once.ReasonFull, refusal.ShardFull, unknown},
		{once.ReasonNotRun, refusal.DeadlineExceeded, notRun},
	}
	m := newTestManager(new(fakeService))
	for _, c := range cases {
		onceErr := &once.Error{Reason: c.reason, Owner: once.Peer{Address: "10.0.0.1:7000"}, RetryAfter: time.Second}
		got := m.onceErrorReply(onceErr).Refusal
		if got.Code != string(c.wantCode) || got.Run != c.wantRun || got.RetryAfterMs != 1000 {
			t.Errorf("reason %d: got %v", c.reason, got)
		}
		if c.reason == once.ReasonNotOwner && got.Peer != "10.0.0.1:7000" {
			t.Errorf("refusal does not hold the owner's address: %v", got)
		}
	}
}

// TestOnceErrorCauseIsReturned checks that the refusal of the execution itself
// replaces the general refusal of the key.
func TestOnceErrorCauseIsReturned(t *testing.T) {
	m := newTestManager(new(fakeService))
	cause, err := proto.Marshal(refusalReply(refusal.CircuitOpen, wirepb.RunState_RUN_NOT_RUN, "", "billing-1"))
	if err != nil {
		t.Fatal(err)
	}
	got := m.onceErrorReply(&once.Error{Reason: once.ReasonNotRun, Cause: cause}).Refusal
	if got.Code != string(refusal.CircuitOpen) || got.Run != wirepb.RunState_RUN_NOT_RUN {
		t.Fatalf("got %v", got)
	}
}

// TestSuspectCallIsMadeAlone guards against other calls that run concurrently with a
// suspect and are lost when it crashes the service. A suspect that waits longer than
// exclusiveTimeout is refused as not run.
func TestSuspectCallIsMadeAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeService{delay: exclusiveTimeout / 2}
		m := newTestManager(f)
		go m.call(t.Context(), new(wirepb.CallRequest))
		synctest.Wait()
		start := time.Now()
		if reply := m.call(t.Context(), &wirepb.CallRequest{Suspect: true}); reply.Refusal != nil {
			t.Fatalf("got %v", reply.Refusal)
		}
		if elapsed := time.Since(start); elapsed != exclusiveTimeout {
			t.Fatalf("suspect call took %v, want the durations of the first call and its own", elapsed)
		}
		f.delay = 2 * exclusiveTimeout
		go m.call(t.Context(), new(wirepb.CallRequest))
		synctest.Wait()
		reply := m.call(t.Context(), &wirepb.CallRequest{Suspect: true})
		if reply.GetRefusal().GetCode() != string(refusal.QueueFull) || reply.Refusal.Run != wirepb.RunState_RUN_NOT_RUN {
			t.Fatalf("got %v during a long call, want a QueueFull refusal that is not run", reply)
		}
		time.Sleep(2 * exclusiveTimeout)
	})
}
