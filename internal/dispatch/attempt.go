package dispatch

import (
	"errors"
	"time"

	"github.com/greengagegate/greengagegate/internal/fault"
	"github.com/greengagegate/greengagegate/internal/invariant"
	"github.com/greengagegate/greengagegate/internal/refusal"
	"github.com/greengagegate/greengagegate/internal/wire/wirepb"
)

// maxDeliveryBytes bounds the text that is delivered at once.
const maxDeliveryBytes = 4 << 10

// noUpstreamRetry is when to ask again after no upstream could be found.
const noUpstreamRetry = time.Second

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
	// text and count are tokens received and not yet delivered.
	text  []byte
	count int64
	usage *wirepb.RunEnd
	last  *wirepb.Refusal
	// tried counts the candidates that were sent the prompt.
	tried int
	// crashes counts crashes of upstreams that ran the prompt.
	crashes int
	// crashed says that the last candidate's upstream crashed.
	crashed bool
	// warned says that the last candidate knew of a crash under the content.
	warned bool
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
	told := refusal.New(refusal.NoUpstream, wirepb.RunState_RUN_NOT_RUN, "no upstream can serve the request", "run prompt", "")
	return refusal.After(told, noUpstreamRetry)
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

// apply takes in an event. With more set another event has begun to arrive, and
// tokens may wait to be delivered with it.
func (a *attempt) apply(event *wirepb.RunEvent, more bool) (done bool, err error) {
	if tokens := event.GetTokens(); tokens != nil {
		return false, a.tokens(tokens, more)
	}
	if err := a.deliver(); err != nil {
		return false, err
	}
	switch e := event.Event.(type) {
	case *wirepb.RunEvent_End:
		return true, a.end(e.End)
	case *wirepb.RunEvent_Refusal:
		a.crashed = e.Refusal.Suspect && e.Refusal.Run != wirepb.RunState_RUN_NOT_RUN
		a.warned = e.Refusal.Suspect && !a.crashed
		a.note(e.Refusal)
		return false, fault.New(e.Refusal.Message, e.Refusal.Step, e.Refusal.Peer)
	default:
		return false, nil
	}
}

func (a *attempt) tokens(tokens *wirepb.RunTokens, more bool) error {
	if tokens.Offset != a.request.ResumeOffset+a.count {
		a.note(refusal.New(refusal.UpstreamLost, wirepb.RunState_RUN_UNKNOWN, errOffset.Error(), "check offset", ""))
		return errors.Join(a.deliver(), fault.Wrap(errOffset, "check offset", ""))
	}
	a.text = append(a.text, tokens.Text...)
	a.count += tokens.Count
	if more && len(a.text) < maxDeliveryBytes {
		return nil
	}
	return a.deliver()
}

// deliver passes the received tokens to the caller.
func (a *attempt) deliver() error {
	if a.count == 0 && len(a.text) == 0 {
		return nil
	}
	if err := a.sink.Tokens(a.text, a.count); err != nil {
		return errors.Join(errSink, err)
	}
	a.request.ResumeOffset += a.count
	a.request.Generated = append(a.request.Generated, a.text...)
	a.text = a.text[:0]
	a.count = 0
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
