// Package runner handles prompts in the agent: it queues each prompt fairly, runs it
// on the agent's engine and streams the tokens to the router.
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

// Options are the dependencies of a Runner.
type Options struct {
	Driver engine.Driver
	Queue  *fairqueue.Queue
	Index  *cacheindex.Index
	// Transfers is nil without a cache store.
	Transfers Transfers
	// Suspects records contents in flight at crashes; it may be nil.
	Suspects CrashRecorder
	// OnUnreachable is called when the engine is found unreachable or crashed; it may be nil.
	OnUnreachable func()
	// Upstream is the upstream's name, which refusals carry.
	Upstream string
	Log      zerolog.Logger
}

// Runner serves streams of wirepb.KIND_RUN.
type Runner struct {
	options  Options
	draining atomic.Bool
}

// New returns a runner.
func New(options Options) *Runner {
	return &Runner{options: options}
}

// Drain makes the runner refuse further prompts; those in flight continue.
func (r *Runner) Drain() { r.draining.Store(true) }

// Handle implements wire.Handler. It returns when the run has ended. The engine's run
// is cancelled when the router closes its side of the stream.
func (r *Runner) Handle(ctx context.Context, _ wire.Request, stream *wire.Stream) {
	request := new(wirepb.RunRequest)
	if err := stream.Recv(request); err != nil {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go cancelOnClose(stream, cancel)
	if err := r.serve(ctx, request, stream); err != nil {
		r.options.Log.Debug().Err(err).Str("request", request.RequestId).Msg("runner: could not send to the router; the request ends")
	}
}

// cancelOnClose calls cancel when the router closes its side of the stream.
func cancelOnClose(stream *wire.Stream, cancel context.CancelFunc) {
	defer cancel()
	_ = stream.Recv(new(wirepb.Open))
}

// serve queues the request and runs it. It returns the error of sending to the router.
func (r *Runner) serve(ctx context.Context, request *wirepb.RunRequest, stream *wire.Stream) error {
	if r.draining.Load() {
		return stream.Send(r.refusalEvent(refusal.Draining, wirepb.RunState_RUN_NOT_RUN, "the upstream is leaving"))
	}
	prefix := r.prepare(ctx, request)
	grant, err := r.options.Queue.Acquire(ctx, newTicket(ctx, request, prefix))
	if err != nil {
		prefix.withdraw()
		return stream.Send(r.refusalEvent(queueRefusalCode(err), wirepb.RunState_RUN_NOT_RUN, err.Error()))
	}
	run := &activeRun{runner: r, request: request, prefix: prefix, stream: stream, grant: grant}
	defer run.release()
	return run.execute(ctx)
}

// newTicket returns the request's ticket for the queue.
func newTicket(ctx context.Context, request *wirepb.RunRequest, prefix *cachedPrefix) fairqueue.Ticket {
	ticket := fairqueue.Ticket{
		Customer:      request.Customer,
		Weight:        request.CustomerWeight,
		PrefillTokens: uncachedTokens(request, prefix.expectedBlocks),
		DecodeTokens:  request.MaxTokens,
		Priority:      request.Priority,
		Suspect:       request.Suspect,
	}
	if deadline, ok := ctx.Deadline(); ok {
		ticket.Deadline = deadline
	}
	return ticket
}

// uncachedTokens estimates how many prompt tokens must be computed when the first
// blocks blocks are cached.
func uncachedTokens(request *wirepb.RunRequest, blocks int) int64 {
	if len(request.BlockHashes) == 0 {
		return request.PromptTokens
	}
	return max(0, request.PromptTokens-int64(blocks)*blockTokens(request))
}

// blockTokens estimates the size of a block in tokens.
func blockTokens(request *wirepb.RunRequest) int64 {
	return request.PromptTokens / int64(max(1, len(request.BlockHashes)))
}

func queueRefusalCode(err error) refusal.Code {
	switch {
	case errors.Is(err, fairqueue.ErrClosed):
		return refusal.Draining
	case errors.Is(err, fairqueue.ErrExpired):
		return refusal.DeadlineExceeded
	default:
		return refusal.QueueFull
	}
}

func (r *Runner) refusalEvent(code refusal.Code, state wirepb.RunState, message string) *wirepb.RunEvent {
	return &wirepb.RunEvent{Event: &wirepb.RunEvent_Refusal{Refusal: &wirepb.Refusal{
		Code:    string(code),
		Message: message,
		Run:     state,
		Step:    "run prompt",
		Peer:    r.options.Upstream,
	}}}
}

// activeRun is one prompt that the queue has admitted to the engine.
type activeRun struct {
	runner  *Runner
	request *wirepb.RunRequest
	prefix  *cachedPrefix
	stream  *wire.Stream
	grant   *fairqueue.Grant

	prefillTokens   int64
	generatedTokens int64
}

// release ends the request in the queue and reports the service that it received, in
// tokens. If no token was generated, it first withdraws the prompt's uncached blocks
// from the index.
func (a *activeRun) release() {
	if a.generatedTokens == 0 {
		a.prefix.withdraw()
	}
	a.grant.Release(fairqueue.ServiceTokens(a.prefillTokens, a.generatedTokens))
}

// execute waits for the import, starts the run and forwards its events. It returns the
// error of sending to the router.
func (a *activeRun) execute(ctx context.Context) error {
	options := a.runner.options
	a.prefix.awaitImport(ctx, blockTokens(a.request), options.Queue.PrefillRate())
	a.grant.SetPrefillTokens(uncachedTokens(a.request, a.prefix.expectedBlocks))
	if refused := a.refuseIfQuarantined(); refused != nil {
		return a.stream.Send(refused)
	}
	run, err := options.Driver.Run(ctx, toEngineRequest(a.request))
	if errors.Is(err, engine.ErrUnreachable) {
		a.runner.reportUnreachable()
	}
	if err != nil && startRefusalCode(err) != refusal.UpstreamLost {
		return a.stream.Send(a.runner.refusalEvent(startRefusalCode(err), wirepb.RunState_RUN_NOT_RUN, err.Error()))
	}
	if err != nil {
		return a.stream.Send(a.handleLostRun(ctx, err))
	}
	defer func() { _ = run.Close() }()
	return a.forward(ctx, run)
}

// reportUnreachable calls Options.OnUnreachable if it is set.
func (r *Runner) reportUnreachable() {
	if r.options.OnUnreachable != nil {
		r.options.OnUnreachable()
	}
}

// forward sends the engine's events to the router until the run ends.
func (a *activeRun) forward(ctx context.Context, run engine.Run) error {
	out := newSender(a.stream)
	for {
		event, err := run.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err == nil {
			err = event.Type.Check()
		}
		if err != nil {
			return errors.Join(out.flush(), a.stream.Send(a.handleLostRun(ctx, err)))
		}
		a.recordEvent(event)
		if err := out.send(event, hasMore(run)); err != nil {
			return err
		}
	}
}

// recordEvent updates the queue and the index from an event of the engine.
func (a *activeRun) recordEvent(event engine.RunEvent) {
	switch event.Type {
	case engine.EventStart:
		a.prefillTokens = event.PromptTokens - event.CachedTokens
		a.grant.BeginPrefill(a.prefillTokens)
		a.prefix.incarnation = event.Incarnation
		a.prefix.cachedBlocks = a.blocksFromTokens(event.CachedTokens)
		a.runner.options.Index.AddStarted(event.Incarnation, a.request.BlockHashes)
	case engine.EventTokens:
		if a.generatedTokens == 0 {
			a.recordFirstToken()
		}
		a.generatedTokens += event.Count
	}
}

// recordFirstToken records that the prompt is computed, so all of its blocks are cached.
func (a *activeRun) recordFirstToken() {
	a.grant.RecordFirstToken()
	if a.runner.options.Transfers != nil {
		a.runner.options.Transfers.RecordPrefill(salt(a.request), a.request.BlockHashes)
	}
}

// blocksFromTokens converts cached tokens to whole blocks. Only whole blocks have a hash,
// so the prompt tokens per hash are at least the size of a block, and rounding up
// gives the exact number.
func (a *activeRun) blocksFromTokens(cachedTokens int64) int {
	blocks := int64(len(a.request.BlockHashes))
	if a.request.PromptTokens <= 0 {
		return 0
	}
	return int(min(blocks, (cachedTokens*blocks+a.request.PromptTokens-1)/a.request.PromptTokens))
}

// salt returns the chain root of the request, which engines call the salt: it separates
// the cached blocks of customers, models and weights.
func salt(request *wirepb.RunRequest) uint64 {
	return placement.ChainRoot(request.Customer, request.Model, request.Weights)
}

func toEngineRequest(request *wirepb.RunRequest) engine.RunRequest {
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

func startRefusalCode(err error) refusal.Code {
	switch {
	case errors.Is(err, engine.ErrBusy):
		return refusal.QueueFull
	case errors.Is(err, engine.ErrNotLoaded), errors.Is(err, engine.ErrUnreachable):
		return refusal.UpstreamUnreachable
	default:
		return refusal.UpstreamLost
	}
}
