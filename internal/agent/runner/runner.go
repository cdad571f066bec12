// Package runner is the agent's handler of prompts: it queues each fairly, runs
// it on the engine beside the agent and streams the tokens to the router.
package runner

import (
	"context"
	"errors"
	"io"
	"sync/atomic"

	"github.com/greengagegate/greengagegate/internal/agent/cacheindex"
	"github.com/greengagegate/greengagegate/internal/agent/fairqueue"
	"github.com/greengagegate/greengagegate/internal/engine"
	"github.com/greengagegate/greengagegate/internal/refusal"
	"github.com/greengagegate/greengagegate/internal/wire"
	"github.com/greengagegate/greengagegate/internal/wire/wirepb"
	"github.com/greengagegate/greengagegate/placement"
	"github.com/rs/zerolog"
)

// Options holds what a Runner works with.
type Options struct {
	Driver engine.Driver
	Queue  *fairqueue.Queue
	Index  *cacheindex.Index
	// Transfers is nil without a KV store.
	Transfers Transfers
	// Suspects is told of requests that were in flight at a crash; it may be nil.
	Suspects Suspects
	// Unreachable is called when the engine proves to be down; it may be nil.
	Unreachable func()
	// Name is the upstream's name, told in refusals.
	Name string
	Log  zerolog.Logger
}

// Runner serves streams of KIND_RUN.
type Runner struct {
	options  Options
	draining atomic.Bool
}

// New returns a runner.
func New(options Options) *Runner {
	return &Runner{options: options}
}

// Drain refuses further prompts; those in flight go on.
func (r *Runner) Drain() { r.draining.Store(true) }

// Handle implements wire.Handler. It returns when the run has ended or the
// router has left, in which case the engine's run is cancelled.
func (r *Runner) Handle(ctx context.Context, _ wire.Request, stream *wire.Stream) {
	request := new(wirepb.RunRequest)
	if err := stream.Recv(request); err != nil {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go cancelOnLeave(stream, cancel)
	if err := r.serve(ctx, request, stream); err != nil {
		r.options.Log.Debug().Err(err).Str("request", request.RequestId).Msg("runner: run ended early")
	}
}

// cancelOnLeave cancels the run when the router closes its side.
func cancelOnLeave(stream *wire.Stream, cancel context.CancelFunc) {
	defer cancel()
	_ = stream.Recv(new(wirepb.Open))
}

func (r *Runner) serve(ctx context.Context, request *wirepb.RunRequest, stream *wire.Stream) error {
	if r.draining.Load() {
		return stream.Send(r.refuse(refusal.Draining, wirepb.RunState_RUN_NOT_RUN, "the upstream is leaving"))
	}
	prefix := r.prepare(ctx, request)
	grant, err := r.options.Queue.Acquire(ctx, ticket(ctx, request, prefix))
	if err != nil {
		prefix.abandon()
		return stream.Send(r.refuse(queueCode(err), wirepb.RunState_RUN_NOT_RUN, err.Error()))
	}
	run := &running{runner: r, request: request, prefix: prefix, stream: stream, grant: grant}
	defer run.release()
	return run.start(ctx)
}

// ticket describes the request to the queue.
func ticket(ctx context.Context, request *wirepb.RunRequest, prefix *prefix) fairqueue.Ticket {
	ticket := fairqueue.Ticket{
		Customer:      request.Customer,
		Weight:        request.CustomerWeight,
		PrefillTokens: uncached(request, prefix.cached),
		DecodeTokens:  request.MaxTokens,
		Priority:      request.Priority,
		Suspect:       request.Suspect,
	}
	if deadline, ok := ctx.Deadline(); ok {
		ticket.Deadline = deadline
	}
	return ticket
}

// uncached estimates the prompt tokens that are left to compute.
func uncached(request *wirepb.RunRequest, blocks int) int64 {
	if len(request.BlockHashes) == 0 {
		return request.PromptTokens
	}
	return max(0, request.PromptTokens-int64(blocks)*blockTokens(request))
}

// blockTokens estimates the size of a block.
func blockTokens(request *wirepb.RunRequest) int64 {
	return request.PromptTokens / int64(max(1, len(request.BlockHashes)))
}

func queueCode(err error) refusal.Code {
	switch {
	case errors.Is(err, fairqueue.ErrClosed):
		return refusal.Draining
	case errors.Is(err, fairqueue.ErrExpired):
		return refusal.DeadlineExceeded
	default:
		return refusal.QueueFull
	}
}

func (r *Runner) refuse(code refusal.Code, state wirepb.RunState, message string) *wirepb.RunEvent {
	return &wirepb.RunEvent{Event: &wirepb.RunEvent_Refusal{Refusal: &wirepb.Refusal{
		Code:    string(code),
		Message: message,
		Run:     state,
		Step:    "run prompt",
		Peer:    r.options.Name,
	}}}
}

// running is one prompt at the engine.
type running struct {
	runner  *Runner
	request *wirepb.RunRequest
	prefix  *prefix
	stream  *wire.Stream
	grant   *fairqueue.Grant

	prefill   int64
	generated int64
}

// release gives the place at the engine back with the service that was used.
func (x *running) release() {
	if x.generated == 0 {
		x.prefix.abandon()
	}
	x.grant.Release(fairqueue.Service(x.prefill, x.generated))
}

func (x *running) start(ctx context.Context) error {
	options := x.runner.options
	x.prefix.await(ctx, blockTokens(x.request), options.Queue.Rate())
	x.grant.SetPrefill(uncached(x.request, x.prefix.cached))
	if refused := x.unwarned(); refused != nil {
		return x.stream.Send(refused)
	}
	run, err := options.Driver.Run(ctx, engineRequest(x.request))
	if errors.Is(err, engine.ErrUnreachable) {
		x.runner.engineDown()
	}
	if err != nil && startCode(err) != refusal.UpstreamLost {
		return x.stream.Send(x.runner.refuse(startCode(err), wirepb.RunState_RUN_NOT_RUN, err.Error()))
	}
	if err != nil {
		return x.stream.Send(x.lost(ctx, err))
	}
	defer func() { _ = run.Close() }()
	return x.forward(ctx, run)
}

// engineDown keeps new work away from an engine until it reports again.
func (r *Runner) engineDown() {
	if r.options.Unreachable != nil {
		r.options.Unreachable()
	}
}

// forward passes the engine's events on until the end.
func (x *running) forward(ctx context.Context, run engine.Run) error {
	out := newSender(x.stream)
	for {
		event, err := run.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return errors.Join(out.flush(), x.stream.Send(x.lost(ctx, err)))
		}
		x.observe(event)
		if err := out.send(event, hasMore(run)); err != nil {
			return err
		}
	}
}

// observe lets the queue and the index learn from an event.
func (x *running) observe(event engine.RunEvent) {
	switch event.Type {
	case engine.EventStart:
		x.prefill = event.PromptTokens - event.CachedTokens
		x.grant.Begin(x.prefill)
		x.prefix.incarnation = event.Incarnation
		x.prefix.held = x.cachedBlocks(event.CachedTokens)
		x.runner.options.Index.Started(event.Incarnation, x.request.BlockHashes)
	case engine.EventTokens:
		if x.generated == 0 {
			x.firstToken()
		}
		x.generated += event.Count
	}
}

// firstToken says that the prompt is computed, so that all of its blocks are cached.
func (x *running) firstToken() {
	x.grant.FirstToken()
	if x.runner.options.Transfers != nil {
		x.runner.options.Transfers.Served(salt(x.request), x.request.BlockHashes)
	}
}

// cachedBlocks converts tokens to whole blocks. The prompt may end within a
// block, so rounding up gives the exact number.
func (x *running) cachedBlocks(cachedTokens int64) int {
	blocks := int64(len(x.request.BlockHashes))
	if x.request.PromptTokens <= 0 {
		return 0
	}
	return int(min(blocks, (cachedTokens*blocks+x.request.PromptTokens-1)/x.request.PromptTokens))
}

func salt(request *wirepb.RunRequest) uint64 {
	return placement.Root(request.Customer, request.Model, request.Weights)
}

func engineRequest(request *wirepb.RunRequest) engine.RunRequest {
	return engine.RunRequest{
		RequestID:    request.RequestId,
		Salt:         salt(request),
		Weights:      request.Weights,
		Prompt:       request.Prompt,
		MaxTokens:    request.MaxTokens,
		Priority:     request.Priority,
		ResumeOffset: request.ResumeOffset,
		Generated:    request.Generated,
	}
}

func startCode(err error) refusal.Code {
	switch {
	case errors.Is(err, engine.ErrBusy):
		return refusal.QueueFull
	case errors.Is(err, engine.ErrNotLoaded), errors.Is(err, engine.ErrUnreachable):
		return refusal.UpstreamUnreachable
	default:
		return refusal.UpstreamLost
	}
}
