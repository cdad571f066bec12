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

// breakingEngine breaks runs off after some tokens, and lives on or not.
type breakingEngine struct {
	engine.Driver
	startErr error
	tokens   int64
	load     engine.Load
	loadErr  error
}

func (b *breakingEngine) Run(context.Context, engine.RunRequest) (engine.Run, error) {
	if b.startErr != nil {
		return nil, b.startErr
	}
	return &breakingRun{left: b.tokens}, nil
}

func (b *breakingEngine) Load(context.Context) (engine.Load, error) { return b.load, b.loadErr }

type breakingRun struct {
	left, offset int64
	started      bool
}

func (r *breakingRun) Next() (engine.RunEvent, error) {
	if !r.started {
		r.started = true
		return engine.RunEvent{Type: engine.EventStart, Incarnation: 1}, nil
	}
	if r.offset == r.left {
		return engine.RunEvent{}, engine.ErrLost
	}
	r.offset++
	return engine.RunEvent{Type: engine.EventTokens, Offset: r.offset - 1, Count: 1, Text: "x"}, nil
}

func (r *breakingRun) Buffered() bool { return r.started && r.offset < r.left }

func (r *breakingRun) Close() error { return nil }

// verdicts counts what the runner reports.
type verdicts struct {
	suspected, convicted int
	recent               quarantine.State
}

func (v *verdicts) Recent(uint64) quarantine.Permit {
	return quarantine.Permit{State: v.recent, Remaining: time.Minute}
}

func (v *verdicts) Suspect(uint64, int64) { v.suspected++ }

func (v *verdicts) Convict(uint64) time.Duration {
	v.convicted++
	return time.Minute
}

func TestLostRuns(t *testing.T) {
	const (
		notRun  = wirepb.RunState_RUN_NOT_RUN
		unknown = wirepb.RunState_RUN_UNKNOWN
	)
	down := errors.New("connection refused")
	cases := []struct {
		name      string
		engine    breakingEngine
		suspect   bool
		code      refusal.Code
		run       wirepb.RunState
		crash     bool
		suspected int
		convicted int
	}{
		{name: "not loaded", engine: breakingEngine{startErr: engine.ErrNotLoaded}, code: refusal.UpstreamUnreachable, run: notRun},
		{name: "busy", engine: breakingEngine{startErr: engine.ErrBusy}, code: refusal.QueueFull, run: notRun},
		{name: "cut without a crash", engine: breakingEngine{tokens: 3, load: engine.Load{Incarnation: 1}}, code: refusal.UpstreamLost, run: unknown},
		{name: "engine is down", engine: breakingEngine{loadErr: down}, code: refusal.UpstreamLost, run: unknown, crash: true, suspected: 1},
		{name: "engine is back", engine: breakingEngine{load: engine.Load{Incarnation: 2}}, code: refusal.UpstreamLost, run: unknown, crash: true, suspected: 1},
		{name: "engine is down, after tokens", engine: breakingEngine{tokens: 3, loadErr: down}, code: refusal.UpstreamLost, run: unknown, crash: true, suspected: 1},
		{name: "lost before the start", engine: breakingEngine{startErr: engine.ErrLost, loadErr: down}, code: refusal.UpstreamLost, run: unknown, crash: true, suspected: 1},
		{name: "suspect again, no token", engine: breakingEngine{loadErr: down}, suspect: true, code: refusal.Poisonous, run: unknown, crash: true, convicted: 1},
		{name: "suspect again, after as many tokens", engine: breakingEngine{tokens: 3, loadErr: down}, suspect: true, code: refusal.Poisonous, run: unknown, crash: true, convicted: 1},
		{name: "suspect again, at another place", engine: breakingEngine{tokens: nearTokens + 1, loadErr: down}, suspect: true, code: refusal.UpstreamLost, run: unknown, crash: true, suspected: 1},
		{name: "suspect cut without a crash", engine: breakingEngine{load: engine.Load{Incarnation: 1}}, suspect: true, code: refusal.UpstreamLost, run: unknown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			found := new(verdicts)
			told, count := runLost(t, &c.engine, found, c.suspect)
			if told.GetCode() != string(c.code) || told.GetRun() != c.run || count != c.engine.tokens {
				t.Errorf("got %v after %d tokens", told, count)
			}
			if found.suspected != c.suspected || found.convicted != c.convicted {
				t.Errorf("reported %+v", found)
			}
			if told.GetSuspect() != c.crash {
				t.Errorf("suspect is %v", told.GetSuspect())
			}
		})
	}
}

// runLost sends one request to a runner on the engine and returns the refusal
// and the tokens that came before it.
func runLost(t *testing.T, e *breakingEngine, found *verdicts, suspect bool) (*wirepb.Refusal, int64) {
	t.Helper()
	index := cacheindex.New()
	index.Observe(1)
	r := New(Options{Driver: e, Queue: fairqueue.New(fairqueue.DefaultOptions(8)), Index: index, Suspects: found, Log: zerolog.Nop()})
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
	for _, event := range drain(stream) {
		count += event.GetTokens().GetCount()
		if told := event.GetRefusal(); told != nil {
			return told, count
		}
	}
	t.Fatal("no refusal")
	return nil, 0
}

func TestNewsOfAContentKeepsItFromTheEngine(t *testing.T) {
	const notRun = wirepb.RunState_RUN_NOT_RUN
	told, _ := runLost(t, &breakingEngine{tokens: 3}, &verdicts{recent: quarantine.StateSuspect}, false)
	if told.GetCode() != string(refusal.QueueFull) || told.GetRun() != notRun || !told.GetSuspect() {
		t.Errorf("an unwarned suspect got %v", told)
	}
	told, _ = runLost(t, &breakingEngine{tokens: 3}, &verdicts{recent: quarantine.StateConvicted}, true)
	if told.GetCode() != string(refusal.Quarantined) || told.GetRun() != notRun || told.GetRetryAfterMs() <= 0 {
		t.Errorf("a convicted content got %v", told)
	}
}
