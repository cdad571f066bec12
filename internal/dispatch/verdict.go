package dispatch

import (
	"context"
	"time"

	"github.com/greengagegate/greengagegate/internal/metrics"
	"github.com/greengagegate/greengagegate/internal/quarantine"
	"github.com/greengagegate/greengagegate/internal/refusal"
	"github.com/greengagegate/greengagegate/internal/wire/wirepb"
)

// maxCrashes is the number of crashes after which a prompt is given up.
const maxCrashes = 3

// Refused returns the final answer for a content that is not run any more, or nil.
func (p *Prompter) Refused(digest uint64) *Failure {
	state, left := p.lookup(digest)
	if state != quarantine.StateConvicted {
		return nil
	}
	return quarantined(left)
}

func quarantined(left time.Duration) *Failure {
	told := refusal.New(refusal.Quarantined, wirepb.RunState_RUN_NOT_RUN, "the request's content crashed upstreams", "run prompt", "")
	return &Failure{Refusal: refusal.After(told, left)}
}

func (p *Prompter) lookup(digest uint64) (quarantine.State, time.Duration) {
	if p.options.Quarantine == nil {
		return quarantine.StateClear, 0
	}
	return p.options.Quarantine.Lookup(digest)
}

// admit waits until the prompt may run and marks a suspect. It gives up a
// prompt whose content is convicted.
func (p *Prompter) admit(ctx context.Context, a *attempt) (quarantine.Permit, error) {
	if p.options.Quarantine == nil {
		return quarantine.Permit{}, nil
	}
	permit, err := p.options.Quarantine.Admit(ctx, a.request.Digest)
	if err != nil {
		return permit, err
	}
	if permit.State == quarantine.StateConvicted {
		refused := quarantined(permit.Remaining)
		a.give(refused.Refusal)
		return permit, refused
	}
	a.request.Suspect = permit.State == quarantine.StateSuspect
	a.request.CrashTokens = permit.CrashTokens
	return permit, nil
}

// learn spreads what a run showed of its content.
func (p *Prompter) learn(a *attempt, err error) {
	known := p.options.Quarantine
	if known == nil {
		return
	}
	switch {
	case err == nil:
		known.Clear(a.request.Digest)
	case a.crashed:
		p.learnCrash(a, known)
	case a.warned:
		known.Suspect(a.request.Digest, a.last.CrashTokens)
	case a.last != nil && refusal.Code(a.last.Code) == refusal.Quarantined:
		a.final = true
	}
	a.crashed = false
	a.warned = false
}

func (p *Prompter) learnCrash(a *attempt, known *quarantine.Manager) {
	a.crashes++
	metrics.Counter("dispatch.crashes").Inc(1)
	if refusal.Code(a.last.Code) != refusal.Poisonous && a.crashes < maxCrashes {
		known.Suspect(a.request.Digest, a.last.CrashTokens)
		return
	}
	a.last.Code = string(refusal.Poisonous)
	refusal.After(a.last, known.Convict(a.request.Digest))
	a.final = true
}
