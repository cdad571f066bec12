package runner

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/greengagegate/greengagegate/internal/agent/cacheindex"
	"github.com/greengagegate/greengagegate/internal/agent/fairqueue"
	"github.com/greengagegate/greengagegate/internal/engine"
	"github.com/greengagegate/greengagegate/internal/quarantine"
	"github.com/greengagegate/greengagegate/internal/refusal"
	"github.com/greengagegate/greengagegate/internal/wire"
	"github.com/greengagegate/greengagegate/internal/wire/wirepb"
	"github.com/rs/zerolog"
)

// lostRunEngine loses each run after some tokens. load and loadErr decide
// whether it then looks crashed.
type lostRunEngine struct {
	engine.Driver
	startErr error
	tokens   int64
	load     engine.Load
	loadErr  error
}

func (e *lostRunEngine) Run(context.Context, engine.RunRequest) (engine.Run, error) {
	if e.startErr != nil {
		return nil, e.startErr
	}
	return &lostRun{total: e.tokens}, nil
}

func (e *lostRunEngine) Load(context.Context) (engine.Load, error) { return e.load, e.loadErr }

type lostRun struct {
	total, offset int64
	started       bool
}

func (r *lostRun) Next() (engine.RunEvent, error) {
	if !r.started {
		r.started = true
		return engine.RunEvent{Type: engine.EventStart, Incarnation: 1}, nil
	}
	if r.offset == r.total {
		return engine.RunEvent{}, engine.ErrIncompleteAnswer
	}
	r.offset++
	return engine.RunEvent{Type: engine.EventTokens, Offset: r.offset - 1, Count: 1, Text: "x"}, nil
}

func (r *lostRun) Buffered() bool { return r.started && r.offset < r.total }

func (r *lostRun) Close() error { return nil }

// fakeSuspects counts the reports of the runner and returns recentState for every content.
type fakeSuspects struct {
	suspected, convicted int
	recentState          quarantine.State
}

func (s *fakeSuspects) LookupRecent(uint64) quarantine.Permit {
	return quarantine.Permit{State: s.recentState, Remaining: time.Minute}
}

func (s *fakeSuspects) Suspect(uint64, int64) { s.suspected++ }

func (s *fakeSuspects) Convict(uint64) time.Duration {
	s.convicted++
	return time.Minute
}

// TestRefusalAfterLostRun checks the refusal and the crash report for each way
// in which a run can be lost. A loss without a crash must not make the
// request suspect, and a suspect must be convicted only when nothing else explains
// the second crash.
func TestRefusalAfterLostRun(t *testing.T) {
	const (
		notRun  = wirepb.RunState_RUN_NOT_RUN
		unknown = wirepb.RunState_RUN_UNKNOWN
	)
	down := errors.New("connection refused")
	cases := []struct {
		name      string
		engine    lostRunEngine
		suspect   bool
		code      refusal.Code
		run       wirepb.RunState
		crash     bool
		suspected int
		convicted int
	}{
		{name: "not loaded", engine: lostRunEngine{startErr: engine.ErrNotLoaded}, code: refusal.UpstreamUnreachable, run: notRun},
		{name: "busy", engine: lostRunEngine{startErr: engine.ErrBusy}, code: refusal.QueueFull, run: notRun},
		{name: "lost without a crash", engine: lostRunEngine{tokens: 3, load: engine.Load{Incarnation: 1}}, code: refusal.UpstreamLost, run: unknown},
		{name: "engine is down", engine: lostRunEngine{loadErr: down}, code: refusal.UpstreamLost, run: unknown, crash: true, suspected: 1},
		{name: "engine restarted", engine: lostRunEngine{load: engine.Load{Incarnation: 2}}, code: refusal.UpstreamLost, run: unknown, crash: true, suspected: 1},
		{name: "engine is down, after tokens", engine: lostRunEngine{tokens: 3, loadErr: down}, code: refusal.UpstreamLost, run: unknown, crash: true, suspected: 1},
		{name: "connection ended before the run started", engine: lostRunEngine{startErr: engine.ErrIncompleteAnswer, loadErr: down}, code: refusal.UpstreamLost, run: unknown, crash: true, suspected: 1},
		{name: "suspect crashes again, no token", engine: lostRunEngine{loadErr: down}, suspect: true, code: refusal.Poisonous, run: unknown, crash: true, convicted: 1},
		{name: "suspect crashes again, after as many tokens", engine: lostRunEngine{tokens: 3, loadErr: down}, suspect: true, code: refusal.Poisonous, run: unknown, crash: true, convicted: 1},
		{name: "suspect crashes again, at another offset", engine: lostRunEngine{tokens: crashToleranceTokens + 1, loadErr: down}, suspect: true, code: refusal.UpstreamLost, run: unknown, crash: true, suspected: 1},
		{name: "suspect lost without a crash", engine: lostRunEngine{load: engine.Load{Incarnation: 1}}, suspect: true, code: refusal.UpstreamLost, run: unknown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			suspects := new(fakeSuspects)
			refused, count := runUntilRefused(t, &c.engine, suspects, c.suspect)
			if refused.GetCode() != string(c.code) || refused.GetRun() != c.run || count != c.engine.tokens {
				t.Errorf("got refusal %v after %d tokens", refused, count)
			}
			if suspects.suspected != c.suspected || suspects.convicted != c.convicted {
				t.Errorf("reports to the crash recorder: %+v", suspects)
			}
			if refused.GetSuspect() != c.crash {
				t.Errorf("refusal marks the request as suspect: %v", refused.GetSuspect())
			}
		})
	}
}

// runUntilRefused sends one request to a runner on the engine and returns the refusal
// and the number of tokens that came before it.
func runUntilRefused(t *testing.T, e *lostRunEngine, suspects *fakeSuspects, suspect bool) (*wirepb.Refusal, int64) {
	t.Helper()
	index := cacheindex.New()
	index.SetIncarnation(1)
	r := New(Options{Driver: e, Queue: fairqueue.New(fairqueue.DefaultOptions(8)), Index: index, Suspects: suspects, Log: zerolog.Nop()})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := wire.NewServer(&wirepb.Hello{}, zerolog.Nop())
	server.Handle(wirepb.Kind_KIND_RUN, r.Handle)
	go func() { _ = server.Serve(listener) }()
	pool := wire.NewPool(&wirepb.Hello{}, wire.NewDialer(""))
	defer func() {
		pool.Close()
		_ = listener.Close()
		_ = server.Shutdown(context.Background())
	}()
	stream, err := pool.Open(t.Context(), listener.Addr().String(), wirepb.Kind_KIND_RUN, "r")
	if err != nil {
		t.Fatal(err)
	}
	if err := stream.Send(&wirepb.RunRequest{RequestId: "r", MaxTokens: 10, Suspect: suspect}); err != nil {
		t.Fatal(err)
	}
	var count int64
	for _, event := range readEvents(stream) {
		count += event.GetTokens().GetCount()
		if refused := event.GetRefusal(); refused != nil {
			return refused, count
		}
	}
	t.Fatal("the stream ended without a refusal")
	return nil, 0
}

// TestSuspectOrConvictedContentIsNotRun guards against a second crash of the engine by
// a request that its router sent before it learned of the first crash.
func TestSuspectOrConvictedContentIsNotRun(t *testing.T) {
	const notRun = wirepb.RunState_RUN_NOT_RUN
	refused, _ := runUntilRefused(t, &lostRunEngine{tokens: 3}, &fakeSuspects{recentState: quarantine.StateSuspect}, false)
	if refused.GetCode() != string(refusal.QueueFull) || refused.GetRun() != notRun || !refused.GetSuspect() {
		t.Errorf("a suspect not marked by its router got %v", refused)
	}
	refused, _ = runUntilRefused(t, &lostRunEngine{tokens: 3}, &fakeSuspects{recentState: quarantine.StateConvicted}, true)
	if refused.GetCode() != string(refusal.Quarantined) || refused.GetRun() != notRun || refused.GetRetryAfterMs() <= 0 {
		t.Errorf("a convicted content got %v", refused)
	}
}
