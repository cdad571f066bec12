package runner

import (
	"context"
	"errors"
	"io"
	"net"
	"testing"

	"github.com/greengagegate/greengagegate/internal/agent/cacheindex"
	"github.com/greengagegate/greengagegate/internal/agent/fairqueue"
	"github.com/greengagegate/greengagegate/internal/engine"
	"github.com/greengagegate/greengagegate/internal/wire"
	"github.com/greengagegate/greengagegate/internal/wire/wirepb"
	"github.com/rs/zerolog"
)

// fakeEngine starts runs that return the events, or fails with err. Without events a
// run lasts until its context ends.
type fakeEngine struct {
	engine.Driver
	err    error
	events []engine.RunEvent
	closed chan struct{}
	// unreachable is called when the runner finds the engine unreachable.
	unreachable func()
}

func (f *fakeEngine) Run(ctx context.Context, _ engine.RunRequest) (engine.Run, error) {
	if f.err != nil {
		return nil, f.err
	}
	return &fakeRun{ctx: ctx, engine: f, events: f.events}, nil
}

// fakeTransfers offers two blocks of every prompt and counts calls.
type fakeTransfers struct{ imports, prefills int }

func (f *fakeTransfers) ImportableBlocks(context.Context, uint64, []uint64, int) (int, float64) {
	return 2, 1
}

func (f *fakeTransfers) Import(context.Context, uint64, []uint64, int) int {
	f.imports++
	return 2
}

func (f *fakeTransfers) RecordPrefill(uint64, []uint64) { f.prefills++ }

type fakeRun struct {
	ctx    context.Context
	engine *fakeEngine
	events []engine.RunEvent
}

func (r *fakeRun) Next() (engine.RunEvent, error) {
	if len(r.events) == 0 && len(r.engine.events) == 0 {
		<-r.ctx.Done()
		return engine.RunEvent{}, engine.ErrIncompleteAnswer
	}
	if len(r.events) == 0 {
		return engine.RunEvent{}, io.EOF
	}
	event := r.events[0]
	r.events = r.events[1:]
	return event, nil
}

func (r *fakeRun) Close() error {
	close(r.engine.closed)
	return nil
}

// openRun starts an agent with the engine and sends it one request.
func openRun(t *testing.T, f *fakeEngine, request *wirepb.RunRequest) (*wire.Stream, *Runner) {
	t.Helper()
	f.closed = make(chan struct{})
	index := cacheindex.New()
	index.SetIncarnation(1)
	queue := fairqueue.New(fairqueue.DefaultOptions(8))
	r := New(Options{Driver: f, Queue: queue, Index: index, Transfers: new(fakeTransfers), OnUnreachable: f.unreachable, Log: zerolog.Nop()})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := wire.NewServer(&wirepb.Hello{}, zerolog.Nop())
	server.Handle(wirepb.Kind_KIND_RUN, r.Handle)
	go func() { _ = server.Serve(listener) }()
	pool := wire.NewPool(&wirepb.Hello{}, wire.NewDialer(""))
	t.Cleanup(func() {
		pool.Close()
		_ = listener.Close()
		_ = server.Shutdown(context.Background())
	})
	stream, err := pool.Open(t.Context(), listener.Addr().String(), wirepb.Kind_KIND_RUN, "r")
	if err != nil {
		t.Fatal(err)
	}
	if err := stream.Send(request); err != nil {
		t.Fatal(err)
	}
	return stream, r
}

// readEvents returns the events up to the end of the stream.
func readEvents(stream *wire.Stream) (events []*wirepb.RunEvent) {
	for {
		event := new(wirepb.RunEvent)
		if stream.Recv(event) != nil {
			return events
		}
		events = append(events, event)
	}
}

// newRequest returns a request for a prompt of three blocks whose import is allowed.
func newRequest() *wirepb.RunRequest {
	return &wirepb.RunRequest{Customer: "a", BlockHashes: []uint64{1, 2, 3}, PromptTokens: 6_500, MaxTokens: 1, AllowImport: true}
}

// TestCompletedRunLeavesItsBlocksInTheIndex guards against probes that miss the cached
// blocks of a completed run, and against a request left in the queue's counts.
func TestCompletedRunLeavesItsBlocksInTheIndex(t *testing.T) {
	f := &fakeEngine{events: []engine.RunEvent{
		{Type: engine.EventStart, PromptTokens: 6_500, CachedTokens: 4_000, Incarnation: 1},
		{Type: engine.EventTokens, Count: 1, Text: "x"},
		{Type: engine.EventEnd},
	}}
	stream, r := openRun(t, f, newRequest())
	if events := readEvents(stream); len(events) != 3 || events[2].GetEnd() == nil {
		t.Fatalf("events %v", events)
	}
	transfers := r.options.Transfers.(*fakeTransfers)
	if blocks, _ := r.options.Index.CachedPrefix([]uint64{1, 2, 3}); blocks != 3 || transfers.imports != 1 || transfers.prefills != 1 {
		t.Fatalf("%d blocks in the index, transfers %+v; want 3 blocks and one call each", blocks, transfers)
	}
	if b := r.options.Queue.Backlog("a", 0, 0); b.Running != 0 || b.Tokens != 0 {
		t.Fatalf("backlog after the run: %+v, want none", b)
	}
}

// TestRunThatDidNotStartWithdrawsItsBlocks guards against probes that count blocks
// announced by a run that never started. Imported blocks stay in the index.
func TestRunThatDidNotStartWithdrawsItsBlocks(t *testing.T) {
	f := &fakeEngine{err: errors.Join(engine.ErrNotLoaded)}
	stream, r := openRun(t, f, newRequest())
	events := readEvents(stream)
	if len(events) != 1 || events[0].GetRefusal().GetRun() != wirepb.RunState_RUN_NOT_RUN {
		t.Fatalf("events %v", events)
	}
	if blocks, _ := r.options.Index.CachedPrefix([]uint64{1, 2, 3}); blocks != 2 {
		t.Fatalf("%d blocks in the index, want the 2 imported ones", blocks)
	}
}

// TestUnreachableEngineIsReportedAtOnce guards against an engine that gets requests
// between the first one that could not reach it and the next poll.
func TestUnreachableEngineIsReportedAtOnce(t *testing.T) {
	f := &fakeEngine{err: engine.ErrUnreachable}
	reported := make(chan struct{}, 1)
	f.unreachable = func() { reported <- struct{}{} }
	stream, _ := openRun(t, f, newRequest())
	events := readEvents(stream)
	if len(events) != 1 || events[0].GetRefusal().GetRun() != wirepb.RunState_RUN_NOT_RUN {
		t.Fatalf("events %v", events)
	}
	if len(reported) != 1 {
		t.Fatal("the engine was not reported as unreachable")
	}
}

// TestRouterDisconnectCancelsRun guards against a run that occupies the engine although
// its router no longer reads the answer.
func TestRouterDisconnectCancelsRun(t *testing.T) {
	f := &fakeEngine{}
	stream, r := openRun(t, f, newRequest())
	for r.options.Queue.Backlog("a", 0, 0).Running == 0 {
		if t.Context().Err() != nil {
			t.Fatal("run did not start")
		}
	}
	_ = stream.Close()
	<-f.closed
	for r.options.Queue.Backlog("a", 0, 0).Running != 0 {
		if t.Context().Err() != nil {
			t.Fatal("the request still counts as running after its router disconnected")
		}
	}
}
