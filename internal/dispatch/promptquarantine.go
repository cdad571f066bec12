package dispatch

import (
	"context"
	"time"

	"github.com/greengagegate/greengagegate/internal/metrics"
	"github.com/greengagegate/greengagegate/internal/quarantine"
	"github.com/greengagegate/greengagegate/internal/refusal"
	"github.com/greengagegate/greengagegate/internal/wire/wirepb"
)

// maxCrashes is the number of crashes at which a prompt that was in flight at each
// of them is given up and its content convicted, even if no agent reported the
// content as poisonous.
const maxCrashes = 3

// QuarantineFailure returns the failure of a prompt whose content is convicted, or nil if
// the content may run.
func (p *Prompter) QuarantineFailure(digest uint64) *Failure {
	state, remaining := p.quarantineState(digest)
	if state != quarantine.StateConvicted {
		return nil
	}
	return quarantinedFailure(remaining)
}

func quarantinedFailure(remaining time.Duration) *Failure {
	newRefusal := refusal.New(refusal.Quarantined, wirepb.RunState_RUN_NOT_RUN, "the request's content crashed upstreams", "run prompt", "")
	return &Failure{Refusal: refusal.WithRetryAfter(newRefusal, remaining)}
}

// quarantineState returns the state of a content and how long it still lasts.
func (p *Prompter) quarantineState(digest uint64) (quarantine.State, time.Duration) {
	if p.options.Quarantine == nil {
		return quarantine.StateClear, 0
	}
	return p.options.Quarantine.Lookup(digest)
}

// admit blocks until the prompt may run, and marks its request if the content is
// suspect. If the content is convicted, admit gives up the prompt and returns
// *Failure. It returns another error if ctx ends. The permit must be released if
// the error is nil.
func (p *Prompter) admit(ctx context.Context, run *promptRun) (quarantine.Permit, error) {
	if p.options.Quarantine == nil {
		return quarantine.Permit{}, nil
	}
	permit, err := p.options.Quarantine.Admit(ctx, run.request.Digest)
	if err != nil {
		return permit, err
	}
	if permit.State == quarantine.StateConvicted {
		failure := quarantinedFailure(permit.Remaining)
		run.giveUp(failure.Refusal)
		return permit, failure
	}
	run.request.Suspect = permit.State == quarantine.StateSuspect
	run.request.CrashTokens = permit.CrashTokens
	return permit, nil
}

// recordOutcome records in the quarantine what an attempt showed about the content:
// that it completed or that it was in flight at a crash. If an agent refused the
// content as convicted, recordOutcome records nothing and gives up the prompt.
func (p *Prompter) recordOutcome(run *promptRun, err error) {
	manager := p.options.Quarantine
	if manager == nil {
		return
	}
	switch {
	case err == nil:
		manager.Clear(run.request.Digest)
	case run.upstreamCrashed:
		p.recordCrash(run, manager)
	case run.refusedAsSuspect:
		manager.Suspect(run.request.Digest, run.lastRefusal.CrashTokens)
	case run.lastRefusal != nil && refusal.Code(run.lastRefusal.Code) == refusal.Quarantined:
		run.givenUp = true
	}
	run.upstreamCrashed = false
	run.refusedAsSuspect = false
}

// recordCrash counts a crash at which the prompt was in flight. If the agent
// reported the content as poisonous or this is the crash number maxCrashes,
// recordCrash convicts the content and gives up the prompt. Otherwise it makes the
// content suspect.
func (p *Prompter) recordCrash(run *promptRun, manager *quarantine.Manager) {
	run.crashes++
	metrics.Counter("dispatch.crashes").Inc(1)
	if refusal.Code(run.lastRefusal.Code) != refusal.Poisonous && run.crashes < maxCrashes {
		manager.Suspect(run.request.Digest, run.lastRefusal.CrashTokens)
		return
	}
	run.lastRefusal.Code = string(refusal.Poisonous)
	refusal.WithRetryAfter(run.lastRefusal, manager.Convict(run.request.Digest))
	run.givenUp = true
}
