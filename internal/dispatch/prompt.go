package dispatch

import (
	"context"
	"errors"
	"time"

	"github.com/greengagegate/greengagegate/internal/fault"
	"github.com/greengagegate/greengagegate/internal/pause"
	"github.com/greengagegate/greengagegate/internal/picker"
	"github.com/greengagegate/greengagegate/internal/quarantine"
	"github.com/greengagegate/greengagegate/internal/refusal"
	"github.com/greengagegate/greengagegate/internal/retry"
	"github.com/greengagegate/greengagegate/internal/wire"
	"github.com/greengagegate/greengagegate/internal/wire/wirepb"
	"github.com/rs/zerolog"
)

const (
	// maxPlacements bounds the placements of one prompt, the first one included.
	maxPlacements = 7

	// placeBackoffBase and placeBackoffLimit bound the backoff before a further
	// placement, which grows with each placement.
	placeBackoffBase  = 30 * time.Millisecond
	placeBackoffLimit = time.Second
)

// Sink receives a prompt's answer. An error of one of its methods, for instance
// because the caller disconnected, ends the run.
type Sink interface {
	// Tokens receives the text of count tokens. Calls are in order, without gaps or
	// repeats. The text is valid only until Tokens returns.
	Tokens(text []byte, count int64) error
}

// Failure is the error of a request that did not get a complete answer.
type Failure struct {
	Refusal *wirepb.Refusal
}

// Error implements error.
func (f *Failure) Error() string { return f.Refusal.Code + ": " + f.Refusal.Message }

// Placement holds the candidates that a prompt may run on, in order of
// preference, and the request for their agents.
type Placement struct {
	Candidates []picker.Candidate
	Request    *wirepb.RunRequest
}

// Placer returns a new placement of a prompt whose candidates have all failed. It
// returns picker.ErrNoUpstream if there is no candidate now; Prompter.Run then
// tries again later. Any other error ends the prompt.
type Placer func(ctx context.Context) (Placement, error)

// PrompterOptions configure a Prompter.
type PrompterOptions struct {
	Pool *wire.Pool
	Log  zerolog.Logger
	// Report is called with the name of an upstream and each outcome observed there,
	// also concurrently. It may be nil.
	Report func(upstream string, outcome picker.Outcome)
	// Quarantine knows the contents that crash upstreams. It may be nil.
	Quarantine *quarantine.Manager
}

// Prompter runs prompts on candidates. It is safe for concurrent use.
type Prompter struct {
	options         PrompterOptions
	customerBudgets *retry.Budgets
	upstreamBudgets *retry.Budgets
}

// NewPrompter returns a prompter.
func NewPrompter(options PrompterOptions) *Prompter {
	return &Prompter{
		options:         options,
		customerBudgets: retry.NewBudgets("customer"),
		upstreamBudgets: retry.NewBudgets("upstream"),
	}
}

// Run sends the prompt to the candidates in order until one completes it. After
// a stream broke it resumes the prompt on the next candidate, and after the last
// candidate it calls placeAgain for further ones, at most maxPlacements-1 times.
// It changes first.Request. It blocks until the prompt has ended.
//
// Run returns *Failure if the prompt can't be completed. It returns another error
// if the sink returned an error, ctx ended during an attempt, or placeAgain
// returned an error other than picker.ErrNoUpstream.
func (p *Prompter) Run(ctx context.Context, first Placement, placeAgain Placer, sink Sink) (*wirepb.RunEnd, error) {
	p.customerBudgets.Earn(first.Request.Customer)
	run := &promptRun{request: first.Request, sink: sink}
	placement := first
	for round := 0; ; round++ {
		for _, candidate := range placement.Candidates {
			err := p.tryCandidate(ctx, candidate, run)
			if err == nil {
				return run.runEnd, nil
			}
			if errors.Is(err, errSink) || ctx.Err() != nil {
				return nil, fault.Wrap(err, "answer caller", "")
			}
			if run.givenUp {
				return nil, &Failure{Refusal: run.finalRefusal()}
			}
		}
		if round+1 == maxPlacements || !p.waitToPlaceAgain(ctx, run, round) {
			return nil, &Failure{Refusal: run.finalRefusal()}
		}
		next, err := placeAgain(ctx)
		if err != nil && !errors.Is(err, picker.ErrNoUpstream) {
			return nil, fault.Wrap(err, "place again", "")
		}
		placement = next
		if err != nil || !run.adoptRequest(next.Request) {
			placement.Candidates = nil
		}
	}
}

// waitToPlaceAgain blocks for the backoff before another placement. The round is
// the number of placements before the current one. It returns false if a budget
// does not allow another placement or ctx ends. A prompt that may have run takes a
// retry from its customer's budget. A prompt whose answer has begun does not,
// because its stream has to be completed.
func (p *Prompter) waitToPlaceAgain(ctx context.Context, run *promptRun, round int) bool {
	needsBudget := run.request.ResumeOffset == 0 && run.finalRefusal().Run != wirepb.RunState_RUN_NOT_RUN
	if needsBudget && !p.customerBudgets.Spend(run.request.Customer) {
		return false
	}
	return pause.For(ctx, retry.Backoff(round, placeBackoffBase, placeBackoffLimit)) == nil
}

// tryCandidate runs the prompt on one candidate if the quarantine and the
// upstream's retry budget allow it. It returns nil if the prompt is complete.
func (p *Prompter) tryCandidate(ctx context.Context, candidate picker.Candidate, run *promptRun) error {
	permit, err := p.admit(ctx, run)
	if err != nil {
		return err
	}
	defer permit.Release()
	name := candidate.Upstream.Name
	if run.attempts > 0 && run.request.ResumeOffset == 0 && !p.upstreamBudgets.Spend(name) {
		run.recordRefusal(refusal.New(refusal.RetryBudget, wirepb.RunState_RUN_NOT_RUN, "too many retries on the upstream", "run prompt", name))
		return errRetryBudget
	}
	p.upstreamBudgets.Earn(name)
	run.attempts++
	err = p.runOn(ctx, candidate, run)
	if err != nil {
		p.options.Log.Debug().Err(err).Str("request", run.request.RequestId).Msg("dispatch: attempt at an upstream failed; the next candidate is tried unless the prompt has ended or is given up")
	}
	p.recordOutcome(run, err)
	return err
}

// runOn sends the prompt to one candidate's agent and delivers the answer until
// the run ends.
func (p *Prompter) runOn(ctx context.Context, candidate picker.Candidate, run *promptRun) error {
	address := candidate.Upstream.Address
	observed := p.newObservation(candidate)
	stream, err := p.options.Pool.Open(ctx, address, wirepb.Kind_KIND_RUN, run.request.RequestId)
	if err != nil {
		observed.reportFailure()
		run.recordRefusal(refusal.New(refusal.AgentUnreachable, wirepb.RunState_RUN_NOT_RUN, err.Error(), "run prompt", address))
		return err
	}
	defer func() { _ = stream.Close() }()
	run.request.ExpectedIncarnation = candidate.Incarnation
	run.request.AllowImport = candidate.Import
	if err := stream.Send(run.request); err != nil {
		run.recordRefusal(agentLostRefusal(err, address))
		return err
	}
	watch := p.watchSuspicion(run, stream)
	defer watch.stop()
	event := new(wirepb.RunEvent)
	for {
		if err := stream.Recv(event); err != nil {
			if ctx.Err() == nil && !watch.streamClosed.Load() {
				observed.reportFailure()
			}
			err = watch.recordStreamError(run, err, address)
			return errors.Join(run.deliver(), err)
		}
		observed.observe(event)
		done, err := run.apply(event, stream.Buffered())
		if done || err != nil {
			return err
		}
	}
}

func agentLostRefusal(err error, address string) *wirepb.Refusal {
	return refusal.New(refusal.AgentLost, wirepb.RunState_RUN_UNKNOWN, err.Error(), "run prompt", address)
}
