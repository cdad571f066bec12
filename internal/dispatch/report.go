package dispatch

import (
	"time"

	"github.com/greengagegate/greengagegate/internal/picker"
	"github.com/greengagegate/greengagegate/internal/refusal"
	"github.com/greengagegate/greengagegate/internal/wire/wirepb"
)

// observation collects what the router observes of one attempt, and reports it
// to the picker.
type observation struct {
	prompter           *Prompter
	candidate          picker.Candidate
	start              time.Time
	cachedTokens       int64
	firstTokenReported bool
}

func (p *Prompter) newObservation(candidate picker.Candidate) *observation {
	return &observation{prompter: p, candidate: candidate, start: time.Now()}
}

func (o *observation) report(outcome picker.Outcome) {
	if o.prompter.options.Report != nil {
		o.prompter.options.Report(o.candidate.Upstream.Name, outcome)
	}
}

// reportFailure reports that the upstream was unreachable, broke off the run, or
// refused it because it can't take requests now, for a reason other than a full queue.
func (o *observation) reportFailure() { o.report(picker.Outcome{Kind: picker.OutcomeFailed}) }

// observe reports the outcome that an event of the run shows, if any. It leaves
// out a refusal with Suspect set and the state RUN_NOT_RUN: the agent refused
// because of the content and not because of the upstream's state.
func (o *observation) observe(event *wirepb.RunEvent) {
	switch e := event.Event.(type) {
	case *wirepb.RunEvent_Started:
		o.cachedTokens = e.Started.CachedTokens
	case *wirepb.RunEvent_Tokens:
		o.reportFirstToken()
	case *wirepb.RunEvent_Refusal:
		if !e.Refusal.Suspect || e.Refusal.Run != wirepb.RunState_RUN_NOT_RUN {
			o.reportRefusal(refusal.Code(e.Refusal.Code))
		}
	}
}

// reportFirstToken reports the time to the first token, once per attempt.
func (o *observation) reportFirstToken() {
	if o.firstTokenReported {
		return
	}
	o.firstTokenReported = true
	o.report(picker.Outcome{
		Kind:           picker.OutcomeFirstToken,
		ExpectedTTFT:   o.candidate.ExpectedTTFT,
		TTFT:           time.Since(o.start),
		ExpectedCached: o.candidate.CachedTokens,
		Cached:         o.cachedTokens,
	})
}

// reportRefusal reports a refusal whose code shows that the upstream is full or
// not available. Other codes are not reported.
func (o *observation) reportRefusal(code refusal.Code) {
	switch code {
	case refusal.QueueFull:
		o.report(picker.Outcome{Kind: picker.OutcomeQueueFull})
	case refusal.UpstreamLost, refusal.UpstreamUnreachable, refusal.CircuitOpen, refusal.Draining:
		o.reportFailure()
	}
}
