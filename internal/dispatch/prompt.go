package dispatch

import (
	"context"
	"errors"
	"io"

	"github.com/greengagegate/greengagegate/internal/fault"
	"github.com/greengagegate/greengagegate/internal/picker"
	"github.com/greengagegate/greengagegate/internal/wire"
	"github.com/greengagegate/greengagegate/internal/wire/wirepb"
	"github.com/rs/zerolog"
)

// Sink receives a prompt's answer. A method's error, such as that of a caller
// who left, ends the run.
type Sink interface {
	// Tokens receives text in order, without gaps or repeats.
	Tokens(text []byte, count int64) error
}

// Failure is a request that got no whole answer.
type Failure struct {
	Refusal *wirepb.Refusal
}

// Error implements error.
func (f *Failure) Error() string { return f.Refusal.Code + ": " + f.Refusal.Message }

// Options holds what a Prompter works with.
type Options struct {
	Pool *wire.Pool
	Log  zerolog.Logger
	// Report tells the picker what came of a candidate.
	Report func(upstream string, outcome picker.Outcome)
}

// Prompter runs prompts on candidates.
type Prompter struct {
	options Options
}

// NewPrompter returns a prompter.
func NewPrompter(options Options) *Prompter {
	return &Prompter{options: options}
}

// attempt is the state of one prompt over its candidates.
type attempt struct {
	request *wirepb.RunRequest
	sink    Sink
	usage   *wirepb.RunEnd
	last    *wirepb.Refusal
}

// errSink marks an error of the caller's side, after which nothing is retried.
var errSink = errors.New("caller left")

// Run sends the prompt to the candidates in order until one completes it. It
// returns *Failure when none did.
func (p *Prompter) Run(ctx context.Context, candidates []picker.Candidate, request *wirepb.RunRequest, sink Sink) (*wirepb.RunEnd, error) {
	a := &attempt{request: request, sink: sink}
	for _, candidate := range candidates {
		err := p.runOn(ctx, candidate, a)
		if err == nil {
			return a.usage, nil
		}
		if errors.Is(err, errSink) || ctx.Err() != nil {
			return nil, fault.Wrap(err, "answer caller", "")
		}
		p.options.Log.Debug().Err(err).Str("request", request.RequestId).Msg("dispatch: candidate failed")
	}
	return nil, &Failure{Refusal: a.refusal()}
}

func (a *attempt) refusal() *wirepb.Refusal {
	if a.last != nil {
		return a.last
	}
	return &wirepb.Refusal{Code: "no_upstream", Message: "no upstream can serve the request", Run: wirepb.RunState_RUN_NOT_RUN}
}

func (p *Prompter) runOn(ctx context.Context, candidate picker.Candidate, a *attempt) error {
	address := candidate.Upstream.Address
	seen := p.watch(candidate)
	stream, err := p.options.Pool.Open(ctx, address, wirepb.Kind_KIND_RUN, a.request.RequestId)
	if err != nil {
		seen.failed()
		a.note(&wirepb.Refusal{Code: "agent_unreachable", Message: err.Error(), Run: wirepb.RunState_RUN_NOT_RUN})
		return err
	}
	defer func() { _ = stream.Close() }()
	a.request.ExpectedIncarnation = candidate.Incarnation
	a.request.AllowImport = candidate.Import
	if err := stream.Send(a.request); err != nil {
		a.note(lostRefusal(err))
		return err
	}
	for {
		event := new(wirepb.RunEvent)
		if err := stream.Recv(event); err != nil {
			if ctx.Err() == nil {
				seen.failed()
			}
			a.note(lostRefusal(err))
			return err
		}
		seen.see(event)
		done, err := a.apply(event)
		if done || err != nil {
			return err
		}
	}
}

func lostRefusal(err error) *wirepb.Refusal {
	return &wirepb.Refusal{Code: "agent_lost", Message: err.Error(), Run: wirepb.RunState_RUN_UNKNOWN}
}

// note keeps the refusal that is told when no candidate is left. Once a run may
// have begun, a later "not run" is no longer true of the whole request.
func (a *attempt) note(refusal *wirepb.Refusal) {
	if a.last != nil && a.last.Run != wirepb.RunState_RUN_NOT_RUN {
		refusal.Run = a.last.Run
	}
	a.last = refusal
}

func (a *attempt) apply(event *wirepb.RunEvent) (done bool, err error) {
	switch e := event.Event.(type) {
	case *wirepb.RunEvent_Tokens:
		return false, a.tokens(e.Tokens)
	case *wirepb.RunEvent_End:
		a.usage = e.End
		return true, nil
	case *wirepb.RunEvent_Refusal:
		a.note(e.Refusal)
		return false, fault.New(e.Refusal.Message, e.Refusal.Step, e.Refusal.Peer)
	default:
		return false, nil
	}
}

func (a *attempt) tokens(tokens *wirepb.RunTokens) error {
	if tokens.Offset != a.request.ResumeOffset {
		return fault.Wrap(io.ErrUnexpectedEOF, "check offset", "")
	}
	if err := a.sink.Tokens(tokens.Text, tokens.Count); err != nil {
		return errors.Join(errSink, err)
	}
	a.request.ResumeOffset += tokens.Count
	a.request.Generated = append(a.request.Generated, tokens.Text...)
	return nil
}
