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
	poisonText   = "<<poison>>"
	latePoison   = "<<poison after tokens>>"
	lateTokens   = 7
	engineDown   = 400 * time.Millisecond
	tokenPause   = 3 * time.Millisecond
	promptTokens = 60
)

// fakeEngine generates numbered tokens and crashes on poison.
type fakeEngine struct {
	engine.Driver
	mu      sync.Mutex
	born    uint64
	life    chan struct{}
	upAt    time.Time
	crashes int
	// cutAfter breaks a run off after this many tokens without a crash, once.
	cutAfter int64
	// stalls holds the next run before its first token until its router leaves.
	stalls bool
	// lateFromStart counts the tokens of a late poison from the start of each
	// run instead of from the answer's beginning.
	lateFromStart bool
}

func newFakeEngine() *fakeEngine { return &fakeEngine{born: 1, life: make(chan struct{})} }

func (e *fakeEngine) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	close(e.life)
	e.life = make(chan struct{})
	e.born++
	e.crashes++
	e.upAt = time.Now().Add(engineDown)
}

func (e *fakeEngine) Load(context.Context) (engine.Load, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if time.Now().Before(e.upAt) {
		return engine.Load{}, errors.New("connection refused")
	}
	return engine.Load{Incarnation: e.born}, nil
}

func (e *fakeEngine) Run(ctx context.Context, request engine.RunRequest) (engine.Run, error) {
	e.mu.Lock()
	if time.Now().Before(e.upAt) {
		e.mu.Unlock()
		return nil, engine.ErrUnreachable
	}
	run := &numbered{ctx: ctx, request: request, next: request.ResumeOffset, life: e.life, born: e.born, cut: e.cutAfter}
	run.stalls, e.stalls = e.stalls, false
	e.cutAfter = 0
	if bytes.Contains(request.Prompt, []byte(latePoison)) {
		run.crashAt = lateTokens
		run.crash = sync.OnceFunc(e.crash)
		if e.lateFromStart {
			run.crashAt += request.ResumeOffset
		}
	}
	e.mu.Unlock()
	if bytes.Contains(request.Prompt, []byte(poisonText)) {
		e.crash()
	}
	return run, nil
}

// numbered is a run whose tokens are their offsets.
type numbered struct {
	ctx     context.Context
	request engine.RunRequest
	next    int64
	born    uint64
	life    chan struct{}
	cut     int64
	crashAt int64
	stalls  bool
	crash   func()
	started bool
	ended   bool
}

func (r *numbered) Next() (engine.RunEvent, error) {
	if r.ended {
		return engine.RunEvent{}, io.EOF
	}
	select {
	case <-r.life:
		return engine.RunEvent{}, engine.ErrLost
	case <-r.ctx.Done():
		return engine.RunEvent{}, engine.ErrLost
	case <-time.After(tokenPause):
	}
	if !r.started {
		r.started = true
		return engine.RunEvent{Type: engine.EventStart, Incarnation: r.born}, nil
	}
	if r.stalls {
		<-r.ctx.Done()
		return engine.RunEvent{}, engine.ErrLost
	}
	if r.crash != nil && r.next >= r.crashAt {
		r.crash()
		return engine.RunEvent{}, engine.ErrLost
	}
	if r.cut > 0 && r.next >= r.cut {
		return engine.RunEvent{}, engine.ErrLost
	}
	if r.next == r.request.MaxTokens {
		r.ended = true
		return engine.RunEvent{Type: engine.EventEnd, CompletionTokens: r.next}, nil
	}
	event := engine.RunEvent{Type: engine.EventTokens, Offset: r.next, Count: 1, Text: fmt.Sprintf("%d ", r.next)}
	r.next++
	return event, nil
}

func (r *numbered) Close() error { return nil }

// promptFleet is a few engines behind agents, and routers that share what they know.
type promptFleet struct {
	t       *testing.T
	engines []*fakeEngine
	agents  []*proxy
	targets []picker.Candidate
	routers []*Prompter
	known   []*quarantine.Manager
}

type routerView struct{ members []membership.Member }

func (v *routerView) Self() membership.Member      { return v.members[0] }
func (v *routerView) Members() []membership.Member { return v.members }
func (v *routerView) Changed() <-chan struct{}     { return make(chan struct{}) }

func serve(t *testing.T, register func(*wire.Server)) string {
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
		gone, cancel := context.WithCancel(context.Background())
		cancel()
		_ = server.Shutdown(gone)
	})
	return listener.Addr().String()
}

func newPromptFleet(t *testing.T, engines, routers int) *promptFleet {
	p := &promptFleet{t: t}
	set := object.NewSet(1)
	set.Fleet.QuarantineFor = object.Duration(time.Minute)
	var views []*routerView
	var all []*quarantine.Manager
	join := func(options quarantine.Options, self membership.Member) *quarantine.Manager {
		view := &routerView{members: []membership.Member{self}}
		options.View, options.Source, options.Log = view, source{set}, zerolog.Nop()
		views = append(views, view)
		all = append(all, quarantine.New(options))
		return all[len(all)-1]
	}
	for i := range engines {
		e := newFakeEngine()
		name := fmt.Sprintf("e%d", i)
		index := cacheindex.New()
		index.Observe(1)
		pool := wire.NewPool(&wirepb.Hello{}, wire.NewDialer(""))
		t.Cleanup(pool.Close)
		known := join(quarantine.Options{Pool: pool}, membership.Member{Process: name, Role: membership.RoleAgent})
		r := runner.New(runner.Options{
			Suspects: known,
			Driver:   e, Queue: fairqueue.New(fairqueue.DefaultOptions(32)), Index: index, Name: name, Log: zerolog.Nop(),
		})
		agent := &proxy{address: testhost.AnyPort(), handle: r.Handle}
		agent.start(t)
		t.Cleanup(agent.cut)
		address := agent.address
		p.agents = append(p.agents, agent)
		p.engines = append(p.engines, e)
		p.targets = append(p.targets, picker.Candidate{Upstream: &object.Upstream{Name: name, Address: address}})
	}
	st := memstore.New()
	var members []membership.Member
	for i := range routers {
		pool := wire.NewPool(&wirepb.Hello{}, wire.NewDialer(""))
		t.Cleanup(pool.Close)
		var known *quarantine.Manager
		address := serve(t, func(s *wire.Server) {
			s.Handle(wirepb.Kind_KIND_QUARANTINE, func(ctx context.Context, request wire.Request, stream *wire.Stream) {
				known.Handle(ctx, request, stream)
			})
		})
		self := membership.Member{Process: fmt.Sprintf("r%d", i), Address: address, Role: membership.RoleRouter}
		known = join(quarantine.Options{Pool: pool, Store: st}, self)
		members = append(members, self)
		p.known = append(p.known, known)
		p.routers = append(p.routers, NewPrompter(Options{Pool: pool, Quarantine: known, Log: zerolog.Nop()}))
	}
	for i, view := range views {
		view.members = append(view.members, members...)
		if err := all[i].Start(t.Context()); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = all[i].Stop(context.Background()) })
	}
	return p
}

// text collects an answer.
type text struct {
	strings.Builder
	count int64
}

func (a *text) Tokens(text []byte, count int64) error {
	a.Write(text)
	a.count += count
	return nil
}

// prompt sends one prompt through a router, on engines in random order.
func (p *promptFleet) prompt(router int, digest uint64, content string) (*text, *wirepb.RunEnd, error) {
	place := func(context.Context) (Placement, error) {
		order := append([]picker.Candidate(nil), p.targets...)
		rand.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
		return Placement{order[:min(3, len(order))], &wirepb.RunRequest{
			RequestId: fmt.Sprint(digest), Customer: "limon", Prompt: []byte(content), MaxTokens: promptTokens, Digest: digest,
		}}, nil
	}
	first, _ := place(p.t.Context())
	answer := new(text)
	ctx, cancel := context.WithTimeout(p.t.Context(), 30*time.Second)
	defer cancel()
	end, err := p.routers[router].Run(ctx, first, place, answer)
	return answer, end, err
}

// checkWhole fails unless the answer has all tokens once, in order.
func checkWhole(t *testing.T, answer *text, end *wirepb.RunEnd, err error) {
	t.Helper()
	var want strings.Builder
	for i := range promptTokens {
		fmt.Fprintf(&want, "%d ", i)
	}
	if err != nil {
		t.Errorf("prompt: %v", err)
		return
	}
	if answer.String() != want.String() || end.Usage.CompletionTokens != promptTokens {
		t.Errorf("got %q and %v", answer.String(), end.Usage)
	}
}

func crashesOf(engines []*fakeEngine) int {
	total := 0
	for _, e := range engines {
		e.mu.Lock()
		total += e.crashes
		e.mu.Unlock()
	}
	return total
}
