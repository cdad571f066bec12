package dispatch

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/greengagegate/greengagegate/internal/agent/cacheindex"
	"github.com/greengagegate/greengagegate/internal/agent/fairqueue"
	"github.com/greengagegate/greengagegate/internal/agent/runner"
	"github.com/greengagegate/greengagegate/internal/engine"
	"github.com/greengagegate/greengagegate/internal/object"
	"github.com/greengagegate/greengagegate/internal/picker"
	"github.com/greengagegate/greengagegate/internal/quarantine"
	"github.com/greengagegate/greengagegate/internal/testhost"
	"github.com/greengagegate/greengagegate/internal/wire"
	"github.com/greengagegate/greengagegate/internal/wire/wirepb"
	"github.com/greengagegate/greengagegate/membership"
	"github.com/greengagegate/greengagegate/store/memstore"
	"github.com/rs/zerolog"
)

const (
	// poisonText in a prompt crashes the engine at the start of the run.
	poisonText = "<<poison>>"
	// latePoisonText in a prompt crashes the engine after latePoisonTokens tokens.
	latePoisonText   = "<<poison after tokens>>"
	latePoisonTokens = 7
	// engineRestartTime is the time for which a crashed engine is unreachable.
	engineRestartTime = 400 * time.Millisecond
	tokenInterval     = 3 * time.Millisecond
	promptTokens      = 60
)

// fakeEngine generates numbered tokens and crashes on poisonText and
// latePoisonText.
type fakeEngine struct {
	engine.Driver
	mu          sync.Mutex
	incarnation uint64
	// crashed is closed when this incarnation crashes.
	crashed     chan struct{}
	availableAt time.Time
	crashes     int
	// cutOffset is the offset in the answer at which the next run breaks off without
	// a crash. 0 means that it does not break off.
	cutOffset int64
	// cutEvent is the event with which that run ends; nil if it breaks off.
	cutEvent *engine.RunEvent
	// stallNextRun holds the next run before its first token until its stream is
	// closed.
	stallNextRun bool
	// If latePoisonFromRunStart is true, the engine counts latePoisonTokens from the
	// start of each run, and not from the beginning of the answer.
	latePoisonFromRunStart bool
}

func newFakeEngine() *fakeEngine { return &fakeEngine{incarnation: 1, crashed: make(chan struct{})} }

func (e *fakeEngine) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	close(e.crashed)
	e.crashed = make(chan struct{})
	e.incarnation++
	e.crashes++
	e.availableAt = time.Now().Add(engineRestartTime)
}

func (e *fakeEngine) Load(context.Context) (engine.Load, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if time.Now().Before(e.availableAt) {
		return engine.Load{}, errors.New("connection refused")
	}
	return engine.Load{Incarnation: e.incarnation}, nil
}

func (e *fakeEngine) Run(ctx context.Context, request engine.RunRequest) (engine.Run, error) {
	e.mu.Lock()
	if time.Now().Before(e.availableAt) {
		e.mu.Unlock()
		return nil, engine.ErrUnreachable
	}
	run := &numberedRun{ctx: ctx, request: request, nextOffset: request.ResumeOffset, engineCrashed: e.crashed, incarnation: e.incarnation, cutOffset: e.cutOffset}
	run.stalls, e.stallNextRun = e.stallNextRun, false
	run.cutEvent = e.cutEvent
	e.cutOffset = 0
	if bytes.Contains(request.Prompt, []byte(latePoisonText)) {
		run.crashOffset = latePoisonTokens
		run.crashEngine = sync.OnceFunc(e.crash)
		if e.latePoisonFromRunStart {
			run.crashOffset += request.ResumeOffset
		}
	}
	e.mu.Unlock()
	if bytes.Contains(request.Prompt, []byte(poisonText)) {
		e.crash()
	}
	return run, nil
}

// numberedRun is a run in which the text of each token is its offset.
type numberedRun struct {
	ctx           context.Context
	request       engine.RunRequest
	nextOffset    int64
	incarnation   uint64
	engineCrashed chan struct{}
	cutOffset     int64
	// cutEvent is the last event of a run that is cut, if it is not nil.
	cutEvent *engine.RunEvent
	// crashOffset is the offset in the answer at which the run crashes the engine, if
	// crashEngine is not nil.
	crashOffset int64
	stalls      bool
	// crashEngine crashes the engine. It is nil if the run does not crash it.
	crashEngine func()
	started     bool
	ended       bool
}

func (r *numberedRun) Next() (engine.RunEvent, error) {
	if r.ended {
		return engine.RunEvent{}, io.EOF
	}
	select {
	case <-r.engineCrashed:
		return engine.RunEvent{}, engine.ErrIncompleteAnswer
	case <-r.ctx.Done():
		return engine.RunEvent{}, engine.ErrIncompleteAnswer
	case <-time.After(tokenInterval):
	}
	if !r.started {
		r.started = true
		return engine.RunEvent{Type: engine.EventStart, Incarnation: r.incarnation}, nil
	}
	if r.stalls {
		<-r.ctx.Done()
		return engine.RunEvent{}, engine.ErrIncompleteAnswer
	}
	if r.crashEngine != nil && r.nextOffset >= r.crashOffset {
		r.crashEngine()
		return engine.RunEvent{}, engine.ErrIncompleteAnswer
	}
	if r.cutOffset > 0 && r.nextOffset >= r.cutOffset && r.cutEvent != nil {
		r.ended = true
		return *r.cutEvent, nil
	}
	if r.cutOffset > 0 && r.nextOffset >= r.cutOffset {
		return engine.RunEvent{}, engine.ErrIncompleteAnswer
	}
	if r.nextOffset == r.request.MaxTokens {
		r.ended = true
		return engine.RunEvent{Type: engine.EventEnd, CompletionTokens: r.nextOffset}, nil
	}
	event := engine.RunEvent{Type: engine.EventTokens, Offset: r.nextOffset, Count: 1, Text: fmt.Sprintf("%d ", r.nextOffset)}
	r.nextOffset++
	return event, nil
}

func (r *numberedRun) Close() error { return nil }

// promptFleet is engines with their agents, and routers that exchange quarantine
// entries. All slices of engines are in the same order, and so are those of routers.
type promptFleet struct {
	t          *testing.T
	engines    []*fakeEngine
	agents     []*restartableAgent
	candidates []picker.Candidate
	routers    []*Prompter
	managers   []*quarantine.Manager
}

// processView is the membership view of a process: the process itself, then the routers.
type processView struct{ members []membership.Member }

func (v *processView) Self() membership.Member      { return v.members[0] }
func (v *processView) Members() []membership.Member { return v.members }
func (v *processView) Changed() <-chan struct{}     { return make(chan struct{}) }

// startServer starts a server with the handlers that register adds, and returns
// its address. The server stops at the end of the test.
func startServer(t *testing.T, register func(*wire.Server)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := wire.NewServer(&wirepb.Hello{}, zerolog.Nop())
	register(server)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() {
		_ = listener.Close()
		canceled, cancel := context.WithCancel(context.Background())
		cancel()
		_ = server.Shutdown(canceled)
	})
	return listener.Addr().String()
}

func newPromptFleet(t *testing.T, engines, routers int) *promptFleet {
	p := &promptFleet{t: t}
	set := object.NewSet(1)
	set.Fleet.QuarantineFor = object.Duration(time.Minute)
	var views []*processView
	var allManagers []*quarantine.Manager
	newManager := func(options quarantine.Options, self membership.Member) *quarantine.Manager {
		view := &processView{members: []membership.Member{self}}
		options.View, options.Source, options.Log = view, fixedSource{set}, zerolog.Nop()
		views = append(views, view)
		allManagers = append(allManagers, quarantine.New(options))
		return allManagers[len(allManagers)-1]
	}
	for i := range engines {
		e := newFakeEngine()
		name := fmt.Sprintf("e%d", i)
		index := cacheindex.New()
		index.SetIncarnation(1)
		pool := wire.NewPool(&wirepb.Hello{}, wire.NewDialer(""))
		t.Cleanup(pool.Close)
		manager := newManager(quarantine.Options{Pool: pool}, membership.Member{Process: name, Role: membership.RoleAgent})
		r := runner.New(runner.Options{
			Suspects: manager,
			Driver:   e, Queue: fairqueue.New(fairqueue.DefaultOptions(32)), Index: index, Upstream: name, Log: zerolog.Nop(),
		})
		agent := &restartableAgent{address: testhost.AnyPort(), handle: r.Handle}
		agent.start(t)
		t.Cleanup(agent.stop)
		address := agent.address
		p.agents = append(p.agents, agent)
		p.engines = append(p.engines, e)
		p.candidates = append(p.candidates, picker.Candidate{Upstream: &object.Upstream{Name: name, Address: address}})
	}
	st := memstore.New()
	var members []membership.Member
	for i := range routers {
		pool := wire.NewPool(&wirepb.Hello{}, wire.NewDialer(""))
		t.Cleanup(pool.Close)
		var manager *quarantine.Manager
		address := startServer(t, func(s *wire.Server) {
			s.Handle(wirepb.Kind_KIND_QUARANTINE, func(ctx context.Context, request wire.Request, stream *wire.Stream) {
				manager.Handle(ctx, request, stream)
			})
		})
		self := membership.Member{Process: fmt.Sprintf("r%d", i), Address: address, Role: membership.RoleRouter}
		manager = newManager(quarantine.Options{Pool: pool, Store: st}, self)
		members = append(members, self)
		p.managers = append(p.managers, manager)
		p.routers = append(p.routers, NewPrompter(PrompterOptions{Pool: pool, Quarantine: manager, Log: zerolog.Nop()}))
	}
	for i, view := range views {
		view.members = append(view.members, members...)
		if err := allManagers[i].Start(t.Context()); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = allManagers[i].Stop(context.Background()) })
	}
	return p
}

// answer is a sink that collects the answer to a prompt.
type answer struct {
	strings.Builder
	tokens int64
}

func (a *answer) Tokens(text []byte, count int64) error {
	a.Write(text)
	a.tokens += count
	return nil
}

// prompt sends one prompt through a router. Each placement has up to three
// engines in random order.
func (p *promptFleet) prompt(router int, digest uint64, content string) (*answer, *wirepb.RunEnd, error) {
	place := func(context.Context) (Placement, error) {
		order := append([]picker.Candidate(nil), p.candidates...)
		rand.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
		return Placement{order[:min(3, len(order))], &wirepb.RunRequest{
			RequestId: fmt.Sprint(digest), Customer: "limon", Prompt: []byte(content), MaxTokens: promptTokens, Digest: digest,
		}}, nil
	}
	first, _ := place(p.t.Context())
	got := new(answer)
	ctx, cancel := context.WithTimeout(p.t.Context(), 30*time.Second)
	defer cancel()
	end, err := p.routers[router].Run(ctx, first, place, got)
	return got, end, err
}

// checkComplete checks that the answer has all tokens in order, each one once.
func checkComplete(t *testing.T, got *answer, end *wirepb.RunEnd, err error) {
	t.Helper()
	var want strings.Builder
	for i := range promptTokens {
		fmt.Fprintf(&want, "%d ", i)
	}
	if err != nil {
		t.Errorf("prompt failed: %v", err)
		return
	}
	if got.String() != want.String() || end.Usage.CompletionTokens != promptTokens {
		t.Errorf("got answer %q with usage %v, want all 60 tokens once", got.String(), end.Usage)
	}
}

// crashCount returns the number of crashes of all engines.
func crashCount(engines []*fakeEngine) int {
	total := 0
	for _, e := range engines {
		e.mu.Lock()
		total += e.crashes
		e.mu.Unlock()
	}
	return total
}
