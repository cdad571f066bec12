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
	// maxPlacements bounds how often one prompt is placed anew.
	maxPlacements = 7

	placeRetryBase  = 30 * time.Millisecond
	placeRetryLimit = time.Second
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

// Placement is where a prompt may run, and the request for the agents there.
type Placement struct {
	Candidates []picker.Candidate
	Request    *wirepb.RunRequest
}

// Placer places a prompt anew, after all candidates have failed.
type Placer func(ctx context.Context) (Placement, error)

// Options holds what a Prompter works with.
type Options struct {
	Pool *wire.Pool
	Log  zerolog.Logger
	// Report tells the picker what came of a candidate.
	Report func(upstream string, outcome picker.Outcome)
	// Quarantine knows the contents that crash upstreams; it may be nil.
	Quarantine *quarantine.Manager
}

// Prompter runs prompts on candidates.
type Prompter struct {
	options   Options
	customers *retry.Budgets
	upstreams *retry.Budgets
}

// NewPrompter returns a prompter.
func NewPrompter(options Options) *Prompter {
	return &Prompter{
		options:   options,
		customers: retry.NewBudgets("customer"),
		upstreams: retry.NewBudgets("upstream"),
	}
}

// Run sends the prompt to the candidates in order until one completes it, and
// resumes it elsewhere when a stream is lost. It returns *Failure when the prompt
// can't go on.
func (p *Prompter) Run(ctx context.Context, first Placement, again Placer, sink Sink) (*wirepb.RunEnd, error) {
	p.customers.Deposit(first.Request.Customer)
	a := &attempt{request: first.Request, sink: sink}
	placed := first
	for round := 0; ; round++ {
		for _, candidate := range placed.Candidates {
			err := p.tryCandidate(ctx, candidate, a)
			if err == nil {
				return a.usage, nil
			}
			if errors.Is(err, errSink) || ctx.Err() != nil {
				return nil, fault.Wrap(err, "answer caller", "")
			}
			if a.final {
				return nil, &Failure{Refusal: a.refusal()}
			}
		}
		if round+1 == maxPlacements || !p.mayPlaceAgain(ctx, a, round) {
			return nil, &Failure{Refusal: a.refusal()}
		}
		next, err := again(ctx)
		if err != nil && !errors.Is(err, picker.ErrNoUpstream) {
			return nil, fault.Wrap(err, "place again", "")
		}
		placed = next
		if err != nil || !a.adopt(next.Request) {
			placed.Candidates = nil
		}
	}
}

// mayPlaceAgain pauses before another round. A request that was perhaps run
// spends from its customer's budget; a stream that has begun must go on.
func (p *Prompter) mayPlaceAgain(ctx context.Context, a *attempt, round int) bool {
	spends := a.request.ResumeOffset == 0 && a.refusal().Run != wirepb.RunState_RUN_NOT_RUN
	if spends && !p.customers.Withdraw(a.request.Customer) {
		return false
	}
	return pause.For(ctx, retry.Backoff(round, placeRetryBase, placeRetryLimit)) == nil
}

// tryCandidate runs the prompt on one candidate as what is known of its content allows.
func (p *Prompter) tryCandidate(ctx context.Context, candidate picker.Candidate, a *attempt) error {
	permit, err := p.admit(ctx, a)
	if err != nil {
		return err
	}
	defer permit.Release()
	name := candidate.Upstream.Name
	if a.tried > 0 && a.request.ResumeOffset == 0 && !p.upstreams.Withdraw(name) {
		a.note(refusal.New(refusal.RetryBudget, wirepb.RunState_RUN_NOT_RUN, "too many retries on the upstream", "run prompt", name))
		return errBudget
	}
	p.upstreams.Deposit(name)
	a.tried++
	err = p.runOn(ctx, candidate, a)
	if err != nil {
		p.options.Log.Debug().Err(err).Str("request", a.request.RequestId).Msg("dispatch: candidate failed")
	}
	p.learn(a, err)
	return err
}

func (p *Prompter) runOn(ctx context.Context, candidate picker.Candidate, a *attempt) error {
	address := candidate.Upstream.Address
	seen := p.watch(candidate)
	stream, err := p.options.Pool.Open(ctx, address, wirepb.Kind_KIND_RUN, a.request.RequestId)
	if err != nil {
		seen.failed()
		a.note(refusal.New(refusal.AgentUnreachable, wirepb.RunState_RUN_NOT_RUN, err.Error(), "run prompt", address))
		return err
	}
	defer func() { _ = stream.Close() }()
	a.request.ExpectedIncarnation = candidate.Incarnation
	a.request.AllowImport = candidate.Import
	if err := stream.Send(a.request); err != nil {
		a.note(lostRefusal(err, address))
		return err
	}
	recalled := p.watchRun(a, stream)
	defer recalled.stop()
	event := new(wirepb.RunEvent)
	for {
		if err := stream.Recv(event); err != nil {
			if ctx.Err() == nil && !recalled.done.Load() {
				seen.failed()
			}
			err = recalled.explain(a, err, address)
			return errors.Join(a.deliver(), err)
		}
		seen.see(event)
		done, err := a.apply(event, stream.Buffered())
		if done || err != nil {
			return err
		}
	}
}

func lostRefusal(err error, address string) *wirepb.Refusal {
	return refusal.New(refusal.AgentLost, wirepb.RunState_RUN_UNKNOWN, err.Error(), "run prompt", address)
}
