package dispatch

import (
	"time"

	"github.com/greengagegate/greengagegate/internal/picker"
	"github.com/greengagegate/greengagegate/internal/refusal"
	"github.com/greengagegate/greengagegate/internal/wire/wirepb"
)

// observation is what the router sees of one candidate, for the picker.
type observation struct {
	prompter  *Prompter
	candidate picker.Candidate
	began     time.Time
	cached    int64
	answered  bool
}

func (p *Prompter) watch(candidate picker.Candidate) *observation {
	return &observation{prompter: p, candidate: candidate, began: time.Now()}
}

func (s *observation) report(outcome picker.Outcome) {
	if s.prompter.options.Report != nil {
		s.prompter.options.Report(s.candidate.Upstream.Name, outcome)
	}
}

// failed reports that the upstream could not be reached or broke off.
func (s *observation) failed() { s.report(picker.Outcome{Kind: picker.OutcomeFailed}) }

// see takes in an event of the run.
func (s *observation) see(event *wirepb.RunEvent) {
	switch e := event.Event.(type) {
	case *wirepb.RunEvent_Started:
		s.cached = e.Started.CachedTokens
	case *wirepb.RunEvent_Tokens:
		s.firstToken()
	case *wirepb.RunEvent_Refusal:
		if !e.Refusal.Suspect || e.Refusal.Run != wirepb.RunState_RUN_NOT_RUN {
			s.refused(refusal.Code(e.Refusal.Code))
		}
	}
}

func (s *observation) firstToken() {
	if s.answered {
		return
	}
	s.answered = true
	s.report(picker.Outcome{
		Kind:           picker.OutcomeFirstToken,
		Expected:       s.candidate.ExpectedWait,
		FirstToken:     time.Since(s.began),
		ExpectedCached: s.candidate.CachedTokens,
		Cached:         s.cached,
	})
}

// refused reports refusals that say something about the upstream's state.
func (s *observation) refused(code refusal.Code) {
	switch code {
	case refusal.QueueFull:
		s.report(picker.Outcome{Kind: picker.OutcomeFull})
	case refusal.UpstreamLost, refusal.UpstreamUnreachable, refusal.CircuitOpen, refusal.Draining:
		s.failed()
	}
}
