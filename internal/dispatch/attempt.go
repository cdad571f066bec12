package dispatch

import (
	"errors"

	"github.com/greengagegate/greengagegate/internal/fault"
	"github.com/greengagegate/greengagegate/internal/invariant"
	"github.com/greengagegate/greengagegate/internal/refusal"
	"github.com/greengagegate/greengagegate/internal/wire/wirepb"
)

var (
	// errSink marks an error of the caller's side, after which nothing is retried.
	errSink = errors.New("caller left")
	// errOffset reports tokens that do not continue those delivered.
	errOffset = errors.New("tokens do not continue the stream")
	// errIncomplete reports an end before all tokens had come.
	errIncomplete = errors.New("end before the last token")
	// errBudget reports a retry that the upstream's budget does not allow.
	errBudget = errors.New("retry budget is spent")
)

// attempt is the state of one prompt over its candidates. The request's resume
// offset and text are those delivered to the caller.
type attempt struct {
	request *wirepb.RunRequest
	sink    Sink
	usage   *wirepb.RunEnd
	last    *wirepb.Refusal
	// tried counts the candidates that were sent the prompt.
	tried int
	// crashes counts crashes of upstreams that ran the prompt.
	crashes int
	// crashed says that the last candidate's upstream crashed.
	crashed bool
	// final says that the prompt is given up.
	final bool
}

// adopt takes the request of a new placement. Once tokens were delivered the
// weights must be the same, or the answer would be of two models.
func (a *attempt) adopt(next *wirepb.RunRequest) bool {
	if next == nil || (a.request.ResumeOffset > 0 && next.Weights != a.request.Weights) {
		return false
	}
	next.ResumeOffset = a.request.ResumeOffset
	next.Generated = a.request.Generated
	next.Suspect = a.request.Suspect
	a.request = next
	return true
}

func (a *attempt) refusal() *wirepb.Refusal {
	if a.last != nil {
		return a.last
	}
	return refusal.New(refusal.NoUpstream, wirepb.RunState_RUN_NOT_RUN, "no upstream can serve the request", "run prompt", "")
}

// note keeps the refusal that is told when no candidate is left. Once a run may
// have begun, a later "not run" is no longer true of the whole request.
func (a *attempt) note(told *wirepb.Refusal) {
	if a.last != nil && a.last.Run != wirepb.RunState_RUN_NOT_RUN && told.Run == wirepb.RunState_RUN_NOT_RUN {
		told.Run = a.last.Run
	}
	a.last = told
}

// give ends the prompt with a refusal.
func (a *attempt) give(told *wirepb.Refusal) {
	a.note(told)
	a.final = true
}

func (a *attempt) apply(event *wirepb.RunEvent) (done bool, err error) {
	switch e := event.Event.(type) {
	case *wirepb.RunEvent_Tokens:
		return false, a.tokens(e.Tokens)
	case *wirepb.RunEvent_End:
		return true, a.end(e.End)
	case *wirepb.RunEvent_Refusal:
		a.crashed = e.Refusal.Suspect
		a.note(e.Refusal)
		return false, fault.New(e.Refusal.Message, e.Refusal.Step, e.Refusal.Peer)
	default:
		return false, nil
	}
}

func (a *attempt) tokens(tokens *wirepb.RunTokens) error {
	if tokens.Offset != a.request.ResumeOffset {
		a.note(refusal.New(refusal.UpstreamLost, wirepb.RunState_RUN_UNKNOWN, errOffset.Error(), "check offset", ""))
		return fault.Wrap(errOffset, "check offset", "")
	}
	if err := a.sink.Tokens(tokens.Text, tokens.Count); err != nil {
		return errors.Join(errSink, err)
	}
	a.request.ResumeOffset += tokens.Count
	a.request.Generated = append(a.request.Generated, tokens.Text...)
	return nil
}

// end checks that nothing is missing. The usage counts each token once, however
// often the prompt was resumed.
func (a *attempt) end(end *wirepb.RunEnd) error {
	delivered := a.request.ResumeOffset
	if end.Usage == nil {
		end.Usage = &wirepb.Usage{PromptTokens: a.request.PromptTokens}
	}
	if end.Usage.CompletionTokens > delivered {
		a.note(refusal.New(refusal.UpstreamLost, wirepb.RunState_RUN_UNKNOWN, errIncomplete.Error(), "check end", ""))
		return fault.Wrap(errIncomplete, "check end", "")
	}
	end.Usage.CompletionTokens = delivered
	invariant.Check(delivered <= a.request.MaxTokens, "dispatch.tokens_within_limit", "%d tokens of at most %d", delivered, a.request.MaxTokens)
	a.usage = end
	return nil
}
