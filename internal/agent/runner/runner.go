// Package runner is the agent's handler of prompts: it runs each on the engine
// beside it and streams the tokens to the router.
package runner

import (
	"context"
	"errors"
	"io"

	"github.com/greengagegate/greengagegate/internal/engine"
	"github.com/greengagegate/greengagegate/internal/fault"
	"github.com/greengagegate/greengagegate/internal/wire"
	"github.com/greengagegate/greengagegate/internal/wire/wirepb"
	"github.com/greengagegate/greengagegate/placement"
	"github.com/rs/zerolog"
)

// Options holds what a Runner works with.
type Options struct {
	Driver engine.Driver
	// Name is the upstream's name, told in refusals.
	Name string
	Log  zerolog.Logger
}

// Runner serves streams of KIND_RUN.
type Runner struct {
	options Options
}

// New returns a runner.
func New(options Options) *Runner {
	return &Runner{options: options}
}

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
	if err := r.run(ctx, request, stream); err != nil {
		r.options.Log.Debug().Err(err).Str("request", request.RequestId).Msg("runner: run ended early")
	}
}

// cancelOnLeave cancels the run when the router closes its side.
func cancelOnLeave(stream *wire.Stream, cancel context.CancelFunc) {
	defer cancel()
	_ = stream.Recv(new(wirepb.Open))
}

func (r *Runner) run(ctx context.Context, request *wirepb.RunRequest, stream *wire.Stream) error {
	run, err := r.options.Driver.Run(ctx, engineRequest(request))
	if err != nil {
		return stream.Send(r.refusalEvent("start run", err, startState(err)))
	}
	defer func() { _ = run.Close() }()
	for {
		event, err := run.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return stream.Send(r.refusalEvent("read tokens", err, wirepb.RunState_RUN_UNKNOWN))
		}
		if err := stream.Send(toWire(event)); err != nil {
			return err
		}
	}
}

func engineRequest(request *wirepb.RunRequest) engine.RunRequest {
	return engine.RunRequest{
		RequestID:    request.RequestId,
		Salt:         placement.Root(request.Customer, request.Model, request.Weights),
		Weights:      request.Weights,
		Prompt:       request.Prompt,
		MaxTokens:    request.MaxTokens,
		Priority:     request.Priority,
		ResumeOffset: request.ResumeOffset,
		Generated:    request.Generated,
	}
}

// startState says whether a run whose start failed may have begun.
func startState(err error) wirepb.RunState {
	for _, notRun := range []error{engine.ErrBusy, engine.ErrNotLoaded, engine.ErrUnreachable} {
		if errors.Is(err, notRun) {
			return wirepb.RunState_RUN_NOT_RUN
		}
	}
	return wirepb.RunState_RUN_UNKNOWN
}

func (r *Runner) refusalEvent(step string, err error, state wirepb.RunState) *wirepb.RunEvent {
	err = fault.Wrap(err, step, r.options.Name)
	return &wirepb.RunEvent{Event: &wirepb.RunEvent_Refusal{Refusal: &wirepb.Refusal{
		Code:    "engine_failed",
		Message: err.Error(),
		Run:     state,
		Step:    step,
		Peer:    r.options.Name,
	}}}
}

func toWire(event engine.RunEvent) *wirepb.RunEvent {
	switch event.Type {
	case engine.EventStart:
		return &wirepb.RunEvent{Event: &wirepb.RunEvent_Started{Started: &wirepb.RunStarted{
			PromptTokens: event.PromptTokens,
			CachedTokens: event.CachedTokens,
			Incarnation:  event.Incarnation,
		}}}
	case engine.EventTokens:
		return &wirepb.RunEvent{Event: &wirepb.RunEvent_Tokens{Tokens: &wirepb.RunTokens{
			Offset: event.Offset,
			Count:  event.Count,
			Text:   []byte(event.Text),
		}}}
	default:
		return &wirepb.RunEvent{Event: &wirepb.RunEvent_End{End: &wirepb.RunEnd{
			FinishReason: event.FinishReason,
			Usage: &wirepb.Usage{
				PromptTokens:     event.PromptTokens,
				CachedTokens:     event.CachedTokens,
				CompletionTokens: event.CompletionTokens,
			},
		}}}
	}
}
